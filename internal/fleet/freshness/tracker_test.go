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

// three is a tracker of member a on revision 3, in a fleet of a, b and c.
func three() *freshness.Tracker {
	t := &freshness.Tracker{Self: member("a", 1), Bound: bound}
	t.Install(freshness.Head{
		Revision: 3, Epoch: 3,
		Members: []freshness.Member{member("a", 1), member("b", 2), member("c", 3)},
	})
	return t
}

func reply(m freshness.Member, asked time.Time, revision int64) freshness.Reply {
	return freshness.Reply{Member: m, SentAt: asked, Revision: revision, ConfirmedAge: -1}
}

// A peer's answer spent longer in the network than knowledge lasts. It tells what the peer knew when it
// was asked; taken for news, it would keep an instance serving what was withdrawn meanwhile.
func TestLateAnswerConfirmsOnlyFromWhenItWasAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, tracker, asked := is.New(t), three(), time.Now()
		time.Sleep(bound - time.Second)
		tracker.RecordReply(reply(member("b", 2), asked, 3))
		is.NoErr(tracker.Fresh())
		time.Sleep(time.Second)
		is.True(tracker.Fresh() != nil)
	})
}

// A process was restarted and is a member under its new incarnation. A late answer of the old process,
// from its old address, must not pass for proof that the new one has ended, or changes would count as
// in force though the new process still serves the old.
func TestLateAnswerOfAnOldProcessEndsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, tracker, asked := is.New(t), three(), time.Now()
		tracker.Install(freshness.Head{
			Revision: 4, Epoch: 4, Members: []freshness.Member{member("a", 1), member("c", 3)},
		})
		tracker.RecordReply(reply(member("c", 3), time.Now(), 4))
		time.Sleep(bound + bound/10)
		is.True(tracker.InForceEverywhere(4))
		renewed := freshness.Member{Name: "b", Incarnation: "b#2", Since: 5}
		tracker.Install(freshness.Head{
			Revision: 5, Epoch: 5, Members: []freshness.Member{member("a", 1), renewed, member("c", 3)},
		})
		tracker.RecordReply(reply(member("c", 3), time.Now(), 5))
		tracker.RecordReply(reply(member("b", 2), asked, 3))
		is.True(!tracker.InForceEverywhere(5))
	})
}

// One instance is frozen, so it never tells the new revision. The operator must neither wait for ever
// nor be told too early: the change is in force once the frozen one cannot be fresh any more.
func TestWaitInForceWithOneFrozen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, tracker, began := is.New(t), three(), time.Now()
		tracker.RecordReply(reply(member("b", 2), time.Now(), 3))
		is.NoErr(tracker.WaitInForce(context.Background(), 3))
		waited := time.Since(began)
		is.True(waited > bound && waited < bound+bound/10)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		is.True(tracker.WaitInForce(ctx, 4) != nil)
	})
}

// Every instance reading the store each second would take a sixth of its reads at 330 instances, and
// all of them together would meet it when it comes back from an outage.
func TestFewReadTheStore(t *testing.T) {
	tests := []struct {
		name      string
		instances int
		down      bool
		most      int // reads a second
	}{
		{"today", 8, false, 4},
		{"today, store down", 8, true, 12},
		{"target", 330, false, 4},
		{"target, store down", 330, true, 20},
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

// countReads runs a fleet in which each instance hears the newest confirmation there is.
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
		time.Sleep(beatEvery)
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

// TestInstanceThatIsBehindReadsAtOnce guards against an instance that puts off reading a newer head that a peer has reported:
// if the store goes down meanwhile it refuses all callers until the store is back.
func TestInstanceThatIsBehindReadsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, tracker := is.New(t), three()
		tracker.RecordRead(time.Now(), 3)
		time.Sleep(150 * time.Millisecond)
		is.True(!tracker.ShouldReadStore())
		tracker.RecordReply(reply(member("b", 2), time.Now(), 4))
		is.True(tracker.ShouldReadStore())
		tracker.RecordReadFailure(time.Now()) // a store that is down is asked no more often than before
		time.Sleep(500 * time.Millisecond)
		is.True(!tracker.ShouldReadStore())
		time.Sleep(500 * time.Millisecond)
		is.True(tracker.ShouldReadStore())
	})
}
