package node

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/fleet/replica"
	"lacewingrock.example/lacewingrock/internal/fleet/roster"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// Guards against a wrong conclusion when no instance receives a confirmation for a second and a half and an upstream's
// entry is then removed. If the store was unreachable for all, the upstream may be alive and write its entry again
// soon. If only the reader was cut off, the upstream has left: requests sent there after two seconds reach a closed
// port or another service.
func TestEntryRemovedAfterAGap(t *testing.T) {
	for _, c := range []struct {
		name             string
		ownFailed        bool
		peersUnreachable []string
		stillAccepted    bool
	}{
		{"another reader cut off", false, []string{"b"}, false},
		{"this instance was the reader and was cut off", true, nil, false},
		{"store unreachable for all", true, []string{"b", "c", "d"}, true},
		{"store unreachable, noticed by half", true, []string{"b"}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var suspended time.Duration
				n := nodeWithoutFenceChecks(&suspended)
				n.Decoder = keysAsUpstreams{}
				upstream := traffic.Upstream{ID: "u", Service: "s"}
				n.sharedState.Pool.Declare(time.Now(), upstream)
				n.merge(replica.Batch{Snapshot: true, Through: 1}, time.Now(), sourceStore)
				time.Sleep(outageThreshold + 50*time.Millisecond)
				if c.ownFailed {
					n.storeFailedAt.Store(time.Now().UnixNano())
				}
				for _, peer := range []string{"b", "c", "d"} {
					n.overlay.recordContact(peer, time.Now())
				}
				for _, peer := range c.peersUnreachable {
					n.overlay.setStoreUnreachable(time.Now(), peer, true)
				}
				removed := replica.Item{Key: "u", Revision: 2, Removed: true}
				is.True(n.merge(replica.Batch{After: 1, Through: 2, Items: []replica.Item{removed}}, time.Now(), sourceStore))
				is.Equal(n.sharedState.Pool.IsChoiceValid(time.Now(), upstream), c.stillAccepted)
			})
		})
	}
}

// Guards against callers that are refused through an outage of the store that begins soon after another one: the entry of a
// living upstream has expired, and there was no time to write it again.
func TestEntryExpiredBeforeTheNextOutage(t *testing.T) {
	const between, outage = 1400 * time.Millisecond, 4 * time.Second
	for _, c := range []struct {
		name    string
		returns bool
	}{{"the upstream lives", true}, {"the upstream has gone", false}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var suspended time.Duration
				n := nodeWithoutFenceChecks(&suspended)
				n.Decoder = upstreamDecoder{}
				revision := int64(1)
				n.merge(replica.Batch{Snapshot: true, Through: revision}, time.Now(), sourceStore)
				change := func(items ...replica.Item) {
					batch := replica.Batch{After: revision}
					for _, item := range items {
						revision++
						item.Revision = revision
						batch.Items = append(batch.Items, item)
					}
					batch.Through = revision
					is.True(n.merge(batch, time.Now(), sourceStore))
				}
				pass := func(length time.Duration, reached bool) {
					for range length / (100 * time.Millisecond) {
						time.Sleep(100 * time.Millisecond)
						if reached {
							change()
						} else {
							n.storeFailedAt.Store(time.Now().UnixNano())
						}
						n.removeExpired(time.Now())
					}
				}
				upstream := upstreamOfLife(7)
				entry := upstreamChange(t, 1, &upstream).Items[0]
				isKnown := func() bool {
					_, known := n.sharedState.Pool.Upstream("u")
					return known
				}
				change(entry)
				pass(outage, false)
				change(replica.Item{Key: "u", Removed: true})
				pass(between, true)
				is.True(isKnown())
				pass(outage, false)
				is.True(isKnown())
				change()
				pass(2*time.Second, true)
				is.True(isKnown())
				if c.returns {
					change(entry)
				}
				pass(entryGracePeriod, true)
				is.Equal(isKnown(), c.returns)
			})
		})
	}
}

// keysAsUpstreams treats each key as the key of an upstream.
type keysAsUpstreams struct{ Decoder }

func (keysAsUpstreams) UpstreamID(key string) (id string, ok bool) { return key, true }

// Guards against too many calls while the store is unreachable and all instances of a large fleet retry. If each
// retried as often as in a small fleet, the store would come back to hundreds of calls a second, and each of them is
// billed.
func TestFailureBackoffGrowsWithFleetSize(t *testing.T) {
	is := is.New(t)
	perSecond := func(peers int) float64 { return float64(peers+1) / failureBackoff(peers).Seconds() }
	small := perSecond(peersAtBaseInterval)
	for _, peers := range []int{0, 6, 10, 75, 329} {
		is.True(perSecond(peers) <= 1.05*small)
	}
	is.Equal(failureBackoff(6), readCheckInterval) // a small fleet detects the end of the outage as fast as before
}

func (keysAsUpstreams) EvacuatedDataCentre(string) (string, bool) { return "", false }

// Guards against an instance that is cut off and takes what it knows for all there is, and against one that continues no
// streams during an outage of the store, although nobody can learn of a new upstream then.
func TestViewIsCurrentInAnOutageOnly(t *testing.T) {
	for _, c := range []struct {
		name string
		// confirmed is how long ago the store confirmed what the instance knows; negative if it never did.
		confirmed time.Duration
		ownFailed bool
		// reachable are the peers of which messages have arrived since, and failing those that cannot reach the store.
		reachable []string
		failing   []string
		current   bool
	}{
		{"never confirmed", -1, true, []string{"b", "c", "d"}, []string{"b", "c", "d"}, false},
		{"confirmed a moment ago", time.Second, false, nil, nil, true},
		{"the store is down for all", 10 * time.Second, true, []string{"b", "c", "d"}, []string{"b", "c", "d"}, true},
		{"the store is down, and half of the others are seen", 10 * time.Second, true, []string{"b", "c"}, []string{"b", "c"}, true},
		{"only this instance cannot reach it", 10 * time.Second, true, []string{"b", "c", "d"}, nil, false},
		{"cut off from the store and from the others", 10 * time.Second, true, nil, nil, false},
		{"cut off with one other", 10 * time.Second, true, []string{"b"}, []string{"b"}, false},
		{"cut off, after a last message of most others", 10 * time.Second, true, []string{"b early", "c early"}, nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var suspended time.Duration
				n := nodeWithoutFenceChecks(&suspended)
				members := []roster.Instance{{Name: n.self.Name}, {Name: "b"}, {Name: "c"}, {Name: "d"}}
				n.overlay.setMembers(time.Now(), members)
				for _, peer := range members[1:] {
					n.overlay.recordContact(peer.Name, time.Now())
				}
				time.Sleep(time.Millisecond)
				if c.confirmed >= 0 {
					n.merge(replica.Batch{Snapshot: true, Through: 1}, time.Now(), sourceStore)
					for _, peer := range c.reachable {
						name, early := strings.CutSuffix(peer, " early")
						if early {
							n.overlay.recordContact(name, time.Now().Add(time.Millisecond))
						}
					}
					time.Sleep(c.confirmed)
				}
				if c.ownFailed {
					n.storeFailedAt.Store(time.Now().UnixNano())
				}
				for _, peer := range c.reachable {
					if !strings.HasSuffix(peer, " early") {
						n.overlay.recordContact(peer, time.Now())
					}
				}
				for _, peer := range c.failing {
					n.overlay.setStoreUnreachable(time.Now(), peer, true)
				}
				is.Equal(n.isViewCurrent(), c.current)
			})
		})
	}
}
