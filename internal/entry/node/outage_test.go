package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/fleet/replica"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// Nobody has the store's word for a second and a half, and then an upstream's entry is gone. Where the store was away
// for all, the upstream may live and write again soon. Where only the instance that reads for all was cut off, the
// upstream has left: requests that still go there after two seconds meet a closed port, or another service.
func TestEntryRemovedAfterAGap(t *testing.T) {
	for _, c := range []struct {
		name       string
		ownFailed  bool
		peersAway  []string
		stillTaken bool
	}{
		{"the reader was cut off", false, []string{"b"}, false},
		{"this instance was the reader", true, nil, false},
		{"the store was away for all", true, []string{"b", "c", "d"}, true},
		{"the store was away, and half have noticed", true, []string{"b"}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var suspended time.Duration
				n := uncheckedNode(&suspended)
				n.Decoder = namesOnly{}
				upstream := traffic.Upstream{ID: "u", Service: "s"}
				n.advice.Pool.Declare(time.Now(), upstream)
				n.merge(replica.Batch{Snapshot: true, Through: 1}, time.Now(), fromStore)
				time.Sleep(outageGap + 50*time.Millisecond)
				if c.ownFailed {
					n.storeFailed.Store(time.Now().UnixNano())
				}
				for _, peer := range []string{"b", "c", "d"} {
					n.overlay.heard(peer, time.Now())
				}
				for _, peer := range c.peersAway {
					n.overlay.setStoreUnreachable(time.Now(), peer, true)
				}
				removed := replica.Item{Key: "u", Revision: 2, Removed: true}
				is.True(n.merge(replica.Batch{After: 1, Through: 2, Items: []replica.Item{removed}}, time.Now(), fromStore))
				is.Equal(n.advice.Pool.Takes(upstream), c.stillTaken)
			})
		})
	}
}

// namesOnly takes each key for an upstream's.
type namesOnly struct{ Decoder }

func (namesOnly) UpstreamID(key string) (id string, ok bool) { return key, true }

// The store is away, and all instances of a large fleet try to reach it. If each tried as often as in a small fleet,
// the store would come back to hundreds of calls a second, and each of them is billed.
func TestTriesOfALargeFleetAreNotMoreThanThoseOfASmallOne(t *testing.T) {
	is := is.New(t)
	perSecond := func(peers int) float64 { return float64(peers+1) / failurePause(peers).Seconds() }
	small := perSecond(peersAtFullPace)
	for _, peers := range []int{0, 6, 10, 75, 329} {
		is.True(perSecond(peers) <= 1.05*small)
	}
	is.Equal(failurePause(6), readPause) // a small fleet notices the store's return as soon as before
}

func (namesOnly) EvacuatedDataCentre(string) (string, bool) { return "", false }
