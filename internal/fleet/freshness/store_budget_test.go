package freshness_test

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/fleet/freshness"
)

// This file counts what a fleet's knowledge costs the store, on the paused clock: Trackers that read the
// store when they say so and send heartbeats as the daemon does.

// The figures of the daemon's heartbeats and reads.
const (
	step        = 100 * time.Millisecond
	beatSteps   = 5
	beatsAtOnce = 2
	// readsOfChange is what taking up a new head reads: its pointer, the head and one changed part.
	readsOfChange = 3
	// storeReads is what the store takes in a second.
	storeReads = 2000
)

// Every run of the tests takes a short outage and a fleet of a hundred, to end within seconds. The target's
// figures come from
//
//	go test ./internal/fleet/freshness -run StoresBudget -v -fleet 330 -outage 10m
var (
	outage = flag.Duration("outage", time.Minute, "how long the store is down in the count of its reads")
	fleet  = flag.Int("fleet", 100, "how many instances the larger fleet has")
)

// fleetMember is one instance.
type fleetMember struct {
	tracker  *freshness.Tracker
	self     freshness.Member
	revision int64
	queue    []int
	silent   bool
}

// fleetWorld is the instances and the store.
type fleetWorld struct {
	members  []*fleetMember
	random   *rand.Rand
	revision int64
	down     bool
	steps    int
	second   int
	peak     int
	total    int
	pings    int
}

func newFleetWorld(size int) *fleetWorld {
	w := &fleetWorld{random: rand.New(rand.NewPCG(1, 2)), revision: 1}
	for i := range size {
		self := freshness.Member{Name: fmt.Sprint("instance-", i), Incarnation: "a"}
		w.members = append(w.members, &fleetMember{self: self, tracker: &freshness.Tracker{Self: self}})
	}
	for _, m := range w.members {
		w.install(m)
	}
	return w
}

func (w *fleetWorld) install(m *fleetMember) {
	head := freshness.Head{Revision: w.revision, Epoch: 1}
	for _, other := range w.members {
		head.Members = append(head.Members, other.self)
	}
	m.tracker.Install(head)
	m.revision = w.revision
}

// run lets time pass and returns the reads a second in the mean, and the most in any second.
func (w *fleetWorld) run(duration time.Duration) (mean, peak float64) {
	w.total, w.peak, w.second, w.pings = 0, 0, 0, 0
	for range duration / step {
		time.Sleep(step)
		w.steps++
		for i, m := range w.members {
			w.read(m)
			if (w.steps+i)%beatSteps == 0 && !m.silent {
				w.beat(i)
			}
		}
		if w.steps%int(time.Second/step) == 0 {
			w.peak = max(w.peak, w.second)
			w.second = 0
		}
	}
	return float64(w.total) / duration.Seconds(), float64(w.peak)
}

func (w *fleetWorld) count(reads int) {
	w.second += reads
	w.total += reads
}

func (w *fleetWorld) read(m *fleetMember) {
	if !m.tracker.ShouldReadStore() {
		return
	}
	w.count(1)
	if w.down {
		m.tracker.RecordReadFailure(time.Now())
		return
	}
	m.tracker.RecordRead(time.Now(), w.revision)
	if m.revision < w.revision {
		w.count(readsOfChange - 1)
		w.install(m)
	}
}

// beat asks some members, in turn.
func (w *fleetWorld) beat(i int) {
	m := w.members[i]
	others := len(w.members) - 1
	count := min(beats(m.tracker, others), others)
	for range count {
		if len(m.queue) == 0 {
			m.queue = w.random.Perm(len(w.members))
		}
		peer := m.queue[0]
		m.queue = m.queue[1:]
		if peer == i {
			continue
		}
		w.pings++
		asker, _ := m.tracker.Confirmed()
		w.members[peer].tracker.RecordHeartbeat(m.self, asker)
		w.members[peer].tracker.MergeReportBitmap(m.tracker.ReportBitmap())
		revision, age := w.members[peer].tracker.Confirmed()
		m.tracker.RecordReply(freshness.Reply{
			Member: w.members[peer].self, SentAt: time.Now(), Revision: revision, ConfirmedAge: age,
		})
		m.tracker.MergeReportBitmap(w.members[peer].tracker.ReportBitmap())
	}
}

// beats is how many members are asked at a time.
func beats(tracker *freshness.Tracker, others int) int {
	if _, age := tracker.Confirmed(); age >= 0 && age < freshness.Bound*3/5 {
		return beatsAtOnce
	}
	rounds := float64(freshness.Bound/2) / float64(beatSteps*step)
	return max(beatsAtOnce, int(math.Ceil(float64(others)/rounds)))
}

// until lets time pass until the condition holds, and returns how long it took; at most two minutes.
func (w *fleetWorld) until(condition func() bool) (took time.Duration, most float64) {
	began := time.Now()
	for !condition() && time.Since(began) < 2*time.Minute {
		_, peak := w.run(time.Second)
		most = max(most, peak)
	}
	return time.Since(began), most
}

// beatsEach is how many heartbeats a second each of the senders asked for in the last run.
func (w *fleetWorld) beatsEach(duration time.Duration, senders int) float64 {
	return float64(w.pings) / duration.Seconds() / float64(senders)
}

// fresh counts the members that may act.
func (w *fleetWorld) fresh() (count int) {
	for _, m := range w.members {
		if m.tracker.Fresh() == nil {
			count++
		}
	}
	return count
}

func (w *fleetWorld) allHave(revision int64) bool {
	for _, m := range w.members {
		if m.revision < revision {
			return false
		}
	}
	return true
}

// The store takes some two thousand reads a second, and more only slowly as the fleet grows. A fleet in
// which each instance read by itself would take it up with nothing but confirmations, or meet its return
// from an outage with all instances at once and bring it down again.
//
// In the outage only five instances of the larger fleet send heartbeats, and only for its first and last ten
// seconds, as heartbeats bring no read about then; all send them again from its end on.
func TestReadsStayWithinTheStoresBudget(t *testing.T) {
	cases := []struct {
		instances int
		sampled   int
		quiet     int
	}{
		{8, 8, 8},
		{*fleet, 5, 0},
	}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.instances), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newFleetWorld(c.instances)
				w.run(10 * time.Second)
				mean, peak := w.run(20 * time.Second)
				t.Logf("at rest: %.1f reads/s, %.0f in the worst second, %d of %d fresh, %.1f heartbeats/s asked by each",
					mean, peak, w.fresh(), c.instances, w.beatsEach(20*time.Second, c.instances))
				is.True(peak <= storeReads/4)
				is.Equal(w.fresh(), c.instances)

				w.down = true
				w.silence(c.sampled)
				_, first := w.run(10 * time.Second)
				w.silence(c.quiet)
				mean, peak = w.run(*outage - 20*time.Second)
				w.silence(c.sampled)
				w.run(10 * time.Second)
				t.Logf("in an outage of %v: %.0f in the worst of the first ten seconds, then %.1f reads/s, %.0f in the worst second; %d of the %d that send heartbeats are fresh, %.1f heartbeats/s asked by each",
					*outage, first, mean, peak, w.fresh(), c.sampled, w.beatsEach(10*time.Second, c.sampled))
				is.True(first <= storeReads/4)
				is.True(peak <= storeReads/4)
				is.Equal(w.fresh(), c.sampled)

				w.down = false
				w.silence(c.instances)
				mean, peak = w.run(10 * time.Second)
				t.Logf("in the ten seconds after it: %.1f reads/s, %.0f in the worst second, %d of %d fresh", mean, peak, w.fresh(), c.instances)
				is.True(peak <= storeReads/4)
				is.Equal(w.fresh(), c.instances)

				w.revision++
				had, most := w.until(func() bool { return w.allHave(w.revision) })
				known, _ := w.until(func() bool { return w.members[0].tracker.InForceEverywhere(w.revision) })
				t.Logf("after a change: all have it within %v, one instance knows so after %v; %.0f reads in the worst second", had, had+known, most)
				is.True(most <= storeReads/2)
				is.True(w.allHave(w.revision))
			})
		})
	}
}

// silence lets only the first so many members send heartbeats.
func (w *fleetWorld) silence(speaking int) {
	for i, m := range w.members {
		m.silent = i >= speaking
	}
}
