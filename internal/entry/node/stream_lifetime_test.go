package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/fleet/replica"
	"lacewingrock.example/lacewingrock/internal/fleet/softwarerecord"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// Guards against a stream that goes on at another software version at an instance that has started since a configuration
// shortened the timeout of its route: only the record in the store says how long the stream may live. A deployment that is
// younger than that needs such a record as well.
func TestInstanceThatStartsTakesOverTheLifetimeOfStreams(t *testing.T) {
	const lifetime, shorter, sinceChange = 20 * time.Second, 6 * time.Second, time.Second
	for _, c := range []struct {
		name string
		// age is that of the deployment when the configuration shortens the timeout.
		age time.Duration
	}{{"served for the lifetime of a stream", lifetime}, {"served for 5 s", 5 * time.Second}, {"just started", 0}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var suspended time.Duration
				before := nodeWithoutFenceChecks(&suspended)
				before.origins.setLifetime(time.Now(), lifetime)
				before.updateStreamLifetime(time.Now())
				before.sharedState.Pool.Declare(time.Now(), traffic.Upstream{ID: "u1", Service: "s", Software: "v1"})
				before.sharedState.Pool.Declare(time.Now(), traffic.Upstream{ID: "u2", Service: "s", Software: "v2"})
				time.Sleep(c.age)
				before.origins.setLifetime(time.Now(), shorter)
				before.updateStreamLifetime(time.Now())
				time.Sleep(sinceChange)
				due := before.sharedState.Pool.UnstoredSoftware(time.Now())
				is.Equal(len(due), 1)
				value, err := softwarerecord.Encode(softwarerecord.Record{
					Versions: due[0].Versions, StreamLifetime: due[0].StreamLifetime, Partial: due[0].Partial,
				})
				is.NoErr(err)

				started := nodeWithoutFenceChecks(&suspended)
				started.origins.setLifetime(time.Now(), shorter)
				started.updateStreamLifetime(time.Now())
				started.sharedState.Pool.Declare(time.Now(), traffic.Upstream{ID: "u2", Service: "s", Software: "v2"})
				started.applySoftwareRecord("s", replica.Item{Key: softwarerecord.Key("s"), Value: value, Revision: 1})
				time.Sleep(lifetime - sinceChange - time.Millisecond) // the last stream of before may still be resumed
				started.updateStreamLifetime(time.Now())
				_, known := started.soleSoftware("s")
				is.True(!known)
				time.Sleep(2 * sinceChange)
				started.updateStreamLifetime(time.Now())
				sole, known := started.soleSoftware("s")
				is.True(known)
				is.Equal(sole.Software, "v2")
			})
		})
	}
}

// Guards against a record in the store that keeps the lifetime of streams which have all ended, so that instances that start
// refuse to continue others for longer than necessary.
func TestRecordOfSoftwareHasTheLifetimeOfStreams(t *testing.T) {
	const lifetime, shorter = 20 * time.Second, 6 * time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var suspended time.Duration
		n := nodeWithoutFenceChecks(&suspended)
		recorded := func() (lifetimes []time.Duration) {
			n.updateStreamLifetime(time.Now())
			for _, record := range n.sharedState.Pool.UnstoredSoftware(time.Now()) {
				n.sharedState.Pool.RecordStoredSoftware(time.Now(), record)
				lifetimes = append(lifetimes, record.StreamLifetime)
			}
			return lifetimes
		}
		n.origins.setLifetime(time.Now(), lifetime)
		n.updateStreamLifetime(time.Now())
		n.sharedState.Pool.Declare(time.Now(), traffic.Upstream{ID: "u1", Service: "s", Software: "v1"})
		time.Sleep(lifetime)
		is.Equal(recorded(), []time.Duration{lifetime})
		n.origins.setLifetime(time.Now(), shorter)
		time.Sleep(lifetime - time.Millisecond)
		is.Equal(recorded(), nil)
		time.Sleep(time.Millisecond)
		is.Equal(recorded(), []time.Duration{shorter})
		is.Equal(recorded(), nil)
		n.origins.setLifetime(time.Now(), lifetime)
		is.Equal(recorded(), []time.Duration{lifetime})
	})
}
