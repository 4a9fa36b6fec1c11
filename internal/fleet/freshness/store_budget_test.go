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

// This file counts the reads of the store that keep a fleet's configuration fresh, on a simulated clock: Trackers read
// the store when they request it and send heartbeats as the daemon does.

// Parameters of the daemon's heartbeats and reads.
const (
	step               = 100 * time.Millisecond
	heartbeatSteps     = 5
	heartbeatsPerRound = 2
	// readsOfChange is how many reads applying a new head takes: its pointer, the head and one changed part.
	readsOfChange = 3
	// storeReads is how many reads the store can serve per second.
	storeReads = 2000
)

// By default the outage is short and the fleet has a hundred instances, so that the test ends within seconds. The
// figures for the target size come from
//
//	go test ./internal/fleet/freshness -run StoresBudget -v -fleet 330 -outage 10m
var (
	outage = flag.Duration("outage", time.Minute, "duration of the simulated store outage")
	fleet  = flag.Int("fleet", 100, "number of instances in the larger fleet")
)

// simulatedInstance is one instance.
type simulatedInstance struct {
	tracker           *freshness.Tracker
	self              freshness.Member
	revision          int64
	heartbeatTargets  []int
	sendsNoHeartbeats bool
}

// fleetSimulation holds the instances and the store.
type fleetSimulation struct {
	members         []*simulatedInstance
	random          *rand.Rand
	revision        int64
	down            bool
	steps           int
	readsThisSecond int
	peakReads       int
	totalReads      int
	heartbeats      int
}

func newFleetSimulation(size int) *fleetSimulation {
	s := &fleetSimulation{random: rand.New(rand.NewPCG(1, 2)), revision: 1}
	for i := range size {
		self := freshness.Member{Name: fmt.Sprint("instance-", i), Incarnation: "a"}
		s.members = append(s.members, &simulatedInstance{self: self, tracker: &freshness.Tracker{Self: self}})
	}
	for _, m := range s.members {
		s.install(m)
	}
	return s
}

func (s *fleetSimulation) install(m *simulatedInstance) {
	head := freshness.Head{Revision: s.revision, Epoch: 1}
	for _, other := range s.members {
		head.Members = append(head.Members, other.self)
	}
	m.tracker.Install(head)
	m.revision = s.revision
}

// run lets time pass and returns the mean and the highest number of reads per second.
func (s *fleetSimulation) run(duration time.Duration) (mean, peak float64) {
	s.totalReads, s.peakReads, s.readsThisSecond, s.heartbeats = 0, 0, 0, 0
	for range duration / step {
		time.Sleep(step)
		s.steps++
		for i, m := range s.members {
			s.read(m)
			if (s.steps+i)%heartbeatSteps == 0 && !m.sendsNoHeartbeats {
				s.sendHeartbeats(i)
			}
		}
		if s.steps%int(time.Second/step) == 0 {
			s.peakReads = max(s.peakReads, s.readsThisSecond)
			s.readsThisSecond = 0
		}
	}
	return float64(s.totalReads) / duration.Seconds(), float64(s.peakReads)
}

func (s *fleetSimulation) count(reads int) {
	s.readsThisSecond += reads
	s.totalReads += reads
}

func (s *fleetSimulation) read(m *simulatedInstance) {
	if !m.tracker.ShouldReadStore() {
		return
	}
	s.count(1)
	if s.down {
		m.tracker.RecordReadFailure(time.Now())
		return
	}
	m.tracker.RecordRead(time.Now(), s.revision)
	if m.revision < s.revision {
		s.count(readsOfChange - 1)
		s.install(m)
	}
}

// sendHeartbeats sends heartbeats to some members, in turn.
func (s *fleetSimulation) sendHeartbeats(i int) {
	m := s.members[i]
	others := len(s.members) - 1
	count := min(heartbeatCount(m.tracker, others), others)
	for range count {
		if len(m.heartbeatTargets) == 0 {
			m.heartbeatTargets = s.random.Perm(len(s.members))
		}
		peer := m.heartbeatTargets[0]
		m.heartbeatTargets = m.heartbeatTargets[1:]
		if peer == i {
			continue
		}
		s.heartbeats++
		asker, _ := m.tracker.Confirmed()
		s.members[peer].tracker.RecordHeartbeat(m.self, asker)
		s.members[peer].tracker.MergeReportBitmap(m.tracker.ReportBitmap())
		revision, age := s.members[peer].tracker.Confirmed()
		m.tracker.RecordReply(freshness.Reply{
			Member: s.members[peer].self, SentAt: time.Now(), Revision: revision, ConfirmedAge: age,
		})
		m.tracker.MergeReportBitmap(s.members[peer].tracker.ReportBitmap())
	}
}

// heartbeatCount returns how many members get a heartbeat in one round.
func heartbeatCount(tracker *freshness.Tracker, others int) int {
	if _, age := tracker.Confirmed(); age >= 0 && age < freshness.Bound*3/5 {
		return heartbeatsPerRound
	}
	rounds := float64(freshness.Bound/2) / float64(heartbeatSteps*step)
	return max(heartbeatsPerRound, int(math.Ceil(float64(others)/rounds)))
}

// runUntil lets time pass until the condition holds, at most two minutes. It returns how long that took and the most
// reads in any second.
func (s *fleetSimulation) runUntil(condition func() bool) (took time.Duration, most float64) {
	startedAt := time.Now()
	for !condition() && time.Since(startedAt) < 2*time.Minute {
		_, peak := s.run(time.Second)
		most = max(most, peak)
	}
	return time.Since(startedAt), most
}

// heartbeatsPerSecond returns how many heartbeats per second each sender sent in the last run.
func (s *fleetSimulation) heartbeatsPerSecond(duration time.Duration, senders int) float64 {
	return float64(s.heartbeats) / duration.Seconds() / float64(senders)
}

// countFresh counts the members whose configuration is fresh.
func (s *fleetSimulation) countFresh() (count int) {
	for _, m := range s.members {
		if m.tracker.Fresh() == nil {
			count++
		}
	}
	return count
}

func (s *fleetSimulation) allHave(revision int64) bool {
	for _, m := range s.members {
		if m.revision < revision {
			return false
		}
	}
	return true
}

// The store serves some two thousand reads per second, and this number grows only slowly with the fleet. If each
// instance read on its own schedule, confirmations alone would use up the store, or all instances at once would
// overload it again when it recovers from an outage.
//
// In the outage only five instances of the larger fleet send heartbeats, and only in its first and last ten seconds, as
// heartbeats cause no reads in between; all send them again once it ends.
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
				s := newFleetSimulation(c.instances)
				s.run(10 * time.Second)
				mean, peak := s.run(20 * time.Second)
				t.Logf("normal operation: %.1f reads/s, %.0f in the worst second, %d of %d fresh, %.1f heartbeats/s sent by each",
					mean, peak, s.countFresh(), c.instances, s.heartbeatsPerSecond(20*time.Second, c.instances))
				is.True(peak <= storeReads/4)
				is.Equal(s.countFresh(), c.instances)

				s.down = true
				s.limitSenders(c.sampled)
				_, outagePeak := s.run(10 * time.Second)
				s.limitSenders(c.quiet)
				mean, peak = s.run(*outage - 20*time.Second)
				s.limitSenders(c.sampled)
				s.run(10 * time.Second)
				t.Logf("outage of %v: %.0f reads in the worst of the first ten seconds, then %.1f reads/s, %.0f in the worst second; %d of the %d that send heartbeats are fresh, %.1f heartbeats/s sent by each",
					*outage, outagePeak, mean, peak, s.countFresh(), c.sampled, s.heartbeatsPerSecond(10*time.Second, c.sampled))
				is.True(outagePeak <= storeReads/4)
				is.True(peak <= storeReads/4)
				is.Equal(s.countFresh(), c.sampled)

				s.down = false
				s.limitSenders(c.instances)
				mean, peak = s.run(10 * time.Second)
				t.Logf("first ten seconds after the outage: %.1f reads/s, %.0f in the worst second, %d of %d fresh", mean, peak, s.countFresh(), c.instances)
				is.True(peak <= storeReads/4)
				is.Equal(s.countFresh(), c.instances)

				s.revision++
				appliedAfter, most := s.runUntil(func() bool { return s.allHave(s.revision) })
				known, _ := s.runUntil(func() bool { return s.members[0].tracker.InForceEverywhere(s.revision) })
				t.Logf("change: applied by all within %v, known to be in force by one instance after %v; %.0f reads in the worst second", appliedAfter, appliedAfter+known, most)
				is.True(most <= storeReads/2)
				is.True(s.allHave(s.revision))
			})
		})
	}
}

// limitSenders lets only the first members, as many as given, send heartbeats.
func (s *fleetSimulation) limitSenders(senders int) {
	for i, m := range s.members {
		m.sendsNoHeartbeats = i >= senders
	}
}
