package suspect_test

// What clears requests and prompt parts reaches those that need it, whoever ends, is cut off or states it at one time.

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
)

// expire ends a life of an upstream by the expiry of its entry, with a request of one instance in flight there.
func expire(is *is.I, fleet []*suspect.Tracker, in *suspect.Tracker, life traffic.Life, number int) {
	for _, one := range fleet {
		one.RecordExpiry(time.Now(), life)
	}
	is.True(in.RecordUnfinished(time.Now(), life, suspect.Attempt{
		Fingerprint: suspect.Fingerprint(fmt.Sprint("request ", number)), Parts: parts("sound"), Began: time.Now(),
	}))
}

// Guards against a part that a later instance refuses for lives that go on, as the instance that was in flight there has ended.
func TestLivesThatGoOnAreStatedAfterTheEndOfTheObserver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		observer, other, late := newTracker(), newTracker(), newTracker()
		var lives []traffic.Life
		for number := range 4 {
			life := traffic.Life{Upstream: fmt.Sprint("u", number), StartedMillis: 1}
			lives = append(lives, life)
			expire(is, []*suspect.Tracker{observer, other}, observer, life, number)
			time.Sleep(apart)
		}
		other.Merge(time.Now(), observer.Records(time.Now()))
		stored := observer.Unstored(time.Now(), 16) // it ends then
		is.True(len(stored) > 0)
		for _, record := range stored {
			other.MergeStored(time.Now(), record)
		}
		for _, life := range lives {
			other.RecordAlive(time.Now(), life)
		}
		is.Equal(other.Crashes(parts("sound")[0]), 0)
		is.True(len(other.Unstored(time.Now(), 16)) > 0) // the store lacks that
		for _, record := range stored {
			late.MergeStored(time.Now(), record)
		}
		for range 30 {
			other.Merge(time.Now(), late.Records(time.Now()))
			late.Merge(time.Now(), other.Records(time.Now()))
			time.Sleep(time.Second)
		}
		is.Equal(late.Crashes(parts("sound")[0]), 0)
		is.Equal(partVerdict(late, parts("sound")...), suspect.Free)
	})
}

// Guards against an observer that took the loss of its link for the end of a life, of which all others know that it goes on.
func TestObserverWithAnotherSignLearnsThatALifeGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		observer, other := newTracker(), newTracker()
		for number := range 4 {
			life := traffic.Life{Upstream: fmt.Sprint("u", number), StartedMillis: 1}
			observer.RecordEnd(time.Now(), life)
			other.RecordExpiry(time.Now(), life)
			is.True(observer.RecordUnfinished(time.Now(), life, suspect.Attempt{
				Fingerprint: suspect.Fingerprint(fmt.Sprint("request ", number)), Parts: parts("sound"), Began: time.Now(),
			}))
			other.Merge(time.Now(), observer.Records(time.Now()))
			time.Sleep(apart)
			observer.RecordAlive(time.Now(), life)
			other.RecordAlive(time.Now(), life)
		}
		for range 20 {
			other.Merge(time.Now(), observer.Records(time.Now()))
			observer.Merge(time.Now(), other.Records(time.Now()))
			time.Sleep(time.Second)
		}
		is.Equal(observer.Crashes(parts("sound")[0]), 0)
	})
}

// Guards against two instances that state at the same time what clears a part, and neither then, while a third one that came back
// lacks it; the one in flight at the crashes has ended.
func TestReturningInstanceLearnsAtOnceWhatClearsAPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		u, first, second, back := &upstreams{tracker: newTracker()}, newTracker(), newTracker(), newTracker()
		for _, one := range []*suspect.Tracker{first, second} {
			one.RecordCompletion(time.Now(), "other", parts("sound")...)
		}
		for range 4 {
			u.crash(parts("sound"))
			for _, one := range []*suspect.Tracker{first, second, back} {
				one.Merge(time.Now(), u.tracker.Records(time.Now()))
			}
		}
		a, b := first.Records(time.Now()), second.Records(time.Now()) // back receives neither, and the observer ends
		first.Merge(time.Now(), b)
		second.Merge(time.Now(), a)
		time.Sleep(settled)
		for range 2 {
			for _, one := range []*suspect.Tracker{first, second} {
				one.Merge(time.Now(), back.Records(time.Now()))
			}
			back.Merge(time.Now(), first.Records(time.Now()))
			back.Merge(time.Now(), second.Records(time.Now()))
			time.Sleep(250 * time.Millisecond)
		}
		is.Equal(partVerdict(back, parts("sound")...), suspect.Free)
	})
}

// Guards against a returning instance that is never sent what clears a part, as both the observer of the crashes and the one with completions
// have ended.
func TestAnyInstanceStatesWhatARecordLacks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		u, clearer, witness, back := &upstreams{tracker: newTracker()}, newTracker(), newTracker(), newTracker()
		for range 4 {
			u.crash(parts("sound"))
		}
		for _, one := range []*suspect.Tracker{clearer, witness, back} {
			one.Merge(time.Now(), u.tracker.Records(time.Now()))
		}
		clearer.RecordCompletion(time.Now(), "other", parts("sound")...)
		witness.Merge(time.Now(), clearer.Records(time.Now()))
		for range 30 {
			time.Sleep(time.Second)
			witness.Merge(time.Now(), back.Records(time.Now()))
			back.Merge(time.Now(), witness.Records(time.Now()))
		}
		is.Equal(partVerdict(back, parts("sound")...), suspect.Free)
	})
}

// Guards against clears that a state which travels slowly states, so that those that lack them refuse the part meanwhile.
func TestClearsInAPeriodicStateStayDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		u, user, lacking := &upstreams{tracker: newTracker()}, newTracker(), newTracker()
		user.RecordCompletion(time.Now(), "other", parts("sound")...)
		due := false
		for range 4 {
			u.crash(parts("sound"))
			for _, one := range []*suspect.Tracker{user, lacking} {
				one.Merge(time.Now(), u.tracker.Records(time.Now()))
			}
			due = due || user.IsStatementDue()
			user.Records(time.Now()) // not urgent: lacking does not have it yet
		}
		time.Sleep(settled)
		is.True(due || partVerdict(lacking, parts("sound")...) == suspect.Free)
	})
}

// Guards against a clear that is never stated, as it is found longer after the crash than clears are stated for.
func TestRequestClearedAfterSomeTimeIsStated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		observer, other := newTracker(), newTracker()
		var lives []traffic.Life
		for number := range 1 {
			life := traffic.Life{Upstream: fmt.Sprint("u", number), StartedMillis: 1}
			lives = append(lives, life)
			observer.RecordExpiry(time.Now(), life)
			is.True(observer.RecordUnfinished(time.Now(), life, suspect.Attempt{Fingerprint: "request", Parts: parts("sound"), Began: time.Now()}))
			time.Sleep(apart)
		}
		other.Merge(time.Now(), observer.Records(time.Now()))
		time.Sleep(15 * time.Second)
		for _, life := range lives {
			observer.RecordAlive(time.Now(), life)
		}
		for range 10 {
			other.Merge(time.Now(), observer.Records(time.Now()))
			time.Sleep(time.Second)
		}
		is.Equal(other.Crashes("request"), 0)
		is.Equal(other.Crashes(parts("sound")[0]), 0)
	})
}

// Guards against a clear by a response without a length, known seconds after its end, that is not stated.
func TestEndedCompletionIsStated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		u, clearer, other := &upstreams{tracker: newTracker()}, newTracker(), newTracker()
		for range 1 {
			u.crash(parts("sound"))
		}
		for _, one := range []*suspect.Tracker{clearer, other} {
			one.Merge(time.Now(), u.tracker.Records(time.Now()))
		}
		life := traffic.Life{Upstream: "v", StartedMillis: 1}
		clearer.RecordUnfinished(time.Now(), life, suspect.Attempt{Fingerprint: "x", Parts: parts("sound"), Began: time.Now(), Ended: true})
		time.Sleep(15 * time.Second)
		clearer.RecordUnfinished(time.Now(), life, suspect.Attempt{Fingerprint: "y", Parts: parts("z"), Began: time.Now(), Ended: true})
		is.Equal(clearer.Crashes(parts("sound")[0]), 0)
		for range 10 {
			other.Merge(time.Now(), clearer.Records(time.Now()))
			u.tracker.Merge(time.Now(), clearer.Records(time.Now()))
			time.Sleep(time.Second)
		}
		is.Equal(other.Crashes(parts("sound")[0]), 0)
		is.Equal(u.tracker.Crashes(parts("sound")[0]), 0)
	})
}
