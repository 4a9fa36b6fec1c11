package freshness_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/fleet/freshness"
)

func member(name string, since int64) freshness.Member {
	return freshness.Member{Name: name, Incarnation: name + "#1", Since: since}
}

// newTrackerOfThree returns a tracker of member a at revision 3, in a fleet of a, b and c.
func newTrackerOfThree() *freshness.Tracker {
	t := &freshness.Tracker{Self: member("a", 1), Bound: bound}
	t.Install(freshness.Head{
		Revision: 3, Epoch: 3,
		Members: []freshness.Member{member("a", 1), member("b", 2), member("c", 3)},
	})
	return t
}

func reply(m freshness.Member, sentAt time.Time, revision int64) freshness.Reply {
	return freshness.Reply{Member: m, SentAt: sentAt, Revision: revision, ConfirmedAge: -1}
}

// A peer's reply was in transit for longer than a confirmation lasts. It states what the peer knew when the heartbeat
// was sent. If it counted from its arrival, the instance would go on serving what was withdrawn meanwhile.
func TestLateReplyConfirmsFromTheTimeOfItsHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, tracker, sentAt := is.New(t), newTrackerOfThree(), time.Now()
		time.Sleep(bound - time.Second)
		tracker.RecordReply(reply(member("b", 2), sentAt, 3))
		is.NoErr(tracker.Fresh())
		time.Sleep(time.Second)
		is.True(tracker.Fresh() != nil)
	})
}

// A process was restarted and is a member under its new incarnation. A late reply of the old process must not mark the
// new one as ended, or changes would count as in force while the new process still serves the old configuration.
func TestLateReplyOfAnOldIncarnationEndsNoMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, tracker, sentAt := is.New(t), newTrackerOfThree(), time.Now()
		tracker.Install(freshness.Head{
			Revision: 4, Epoch: 4, Members: []freshness.Member{member("a", 1), member("c", 3)},
		})
		tracker.RecordReply(reply(member("c", 3), time.Now(), 4))
		time.Sleep(bound + bound/10)
		is.True(tracker.InForceEverywhere(4))
		restarted := freshness.Member{Name: "b", Incarnation: "b#2", Since: 5}
		tracker.Install(freshness.Head{
			Revision: 5, Epoch: 5, Members: []freshness.Member{member("a", 1), restarted, member("c", 3)},
		})
		tracker.RecordReply(reply(member("c", 3), time.Now(), 5))
		tracker.RecordReply(reply(member("b", 2), sentAt, 3))
		is.True(!tracker.InForceEverywhere(5))
	})
}

// One instance is frozen, so it never reports the new revision. The operator must neither wait forever nor be told too
// early: the change is in force once the frozen instance cannot be fresh any more.
func TestWaitInForceWithOneFrozen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, tracker, startedAt := is.New(t), newTrackerOfThree(), time.Now()
		tracker.RecordReply(reply(member("b", 2), time.Now(), 3))
		is.NoErr(tracker.WaitInForce(context.Background(), 3))
		waited := time.Since(startedAt)
		is.True(waited > bound && waited < bound+bound/10)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		is.True(tracker.WaitInForce(ctx, 4) != nil)
	})
}

// If every instance read the store each second, 330 instances would use a sixth of its capacity, and all of them would
// hit it at once when it recovers from an outage.
func TestFewInstancesReadTheStore(t *testing.T) {
	tests := []struct {
		name      string
		instances int
		down      bool
		most      int // reads a second
	}{
		{"current size", 8, false, 4},
		{"current size, store down", 8, true, 12},
		{"target size", 330, false, 4},
		{"target size, store down", 330, true, 20},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const seconds = 60
				reads := countReads(tt.instances, seconds, tt.down)
				t.Logf("%d instances: %.1f reads a second", tt.instances, float64(reads)/seconds)
				is.New(t).True(reads <= tt.most*seconds)
			})
		})
	}
}

// countReads simulates a fleet in which each instance receives the newest confirmation, and returns the number of
// reads.
func countReads(instances, seconds int, down bool) (reads int) {
	var members []freshness.Member
	for i := range instances {
		members = append(members, member(string(rune('A'+i%26))+string(rune('a'+i/26)), 1))
	}
	var trackers []*freshness.Tracker
	for _, m := range members {
		tracker := &freshness.Tracker{Self: m, Bound: bound}
		tracker.Install(freshness.Head{Revision: 1, Epoch: 1, Members: members})
		tracker.RecordRead(time.Now(), 1)
		trackers = append(trackers, tracker)
	}
	newest := time.Now()
	for range seconds * 4 {
		time.Sleep(heartbeatInterval)
		for i, tracker := range trackers {
			peer := freshness.Reply{Member: members[(i+1)%instances], SentAt: time.Now(), Revision: 1, ConfirmedAge: time.Since(newest)}
			tracker.RecordReply(peer)
			if !tracker.ShouldReadStore() {
				continue
			}
			reads++
			if down {
				tracker.RecordReadFailure(time.Now())
				continue
			}
			tracker.RecordRead(time.Now(), 1)
			newest = time.Now()
		}
	}
	return reads
}

// TestInstanceThatIsBehindReadsAtOnce guards against an instance that delays reading a newer head that a peer has
// reported: if the store goes down meanwhile, it refuses all callers until the store recovers.
func TestInstanceThatIsBehindReadsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, tracker := is.New(t), newTrackerOfThree()
		tracker.RecordRead(time.Now(), 3)
		time.Sleep(150 * time.Millisecond)
		is.True(!tracker.ShouldReadStore())
		tracker.RecordReply(reply(member("b", 2), time.Now(), 4))
		is.True(tracker.ShouldReadStore())
		tracker.RecordReadFailure(time.Now()) // an unavailable store is read no more often than before
		time.Sleep(500 * time.Millisecond)
		is.True(!tracker.ShouldReadStore())
		time.Sleep(500 * time.Millisecond)
		is.True(tracker.ShouldReadStore())
	})
}
