package pool_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

// brittle_test.go simulates a service whose upstreams state that they are brittle, in steps of a millisecond.

const (
	brittleInstances = 7
	brittleUpstreams = 3
	brittleWork      = 30 * time.Millisecond
	// brittleFrom is when the upstreams state it, queueLessFrom when they queue less, and brittleUntil when it is over.
	brittleFrom   = 2 * time.Second
	queueLessFrom = 5 * time.Second
	brittleUntil  = 15 * time.Second
	// reportDelay is how long a report to a holder takes, responseDelay the same for a request or response.
	reportDelay   = 10 * time.Millisecond
	responseDelay = time.Millisecond
	// fallTime is how long an upstream is away after it fell over.
	fallTime = 3 * time.Second
)

// brittleSimulated is an upstream that falls over if it has to turn away more requests in a second than it bears.
type brittleSimulated struct {
	ends      []time.Time
	rejected  []time.Time
	downUntil time.Time
	falls     int
}

type brittleOutcome int

const (
	brittleServed brittleOutcome = iota
	brittleRejected
	brittleBroken
)

// accept returns how a request ends that arrives now, and when.
func (u *brittleSimulated) accept(now time.Time, queue, bears int, brittle bool) (brittleOutcome, time.Time) {
	if now.Before(u.downUntil) {
		return brittleBroken, now
	}
	u.ends = slices.DeleteFunc(u.ends, func(end time.Time) bool { return !end.After(now) })
	if len(u.ends) < plainSlots+queue {
		begins := now
		if waiting := len(u.ends) - plainSlots; waiting >= 0 {
			slices.SortFunc(u.ends, time.Time.Compare)
			begins = u.ends[waiting]
		}
		u.ends = append(u.ends, begins.Add(brittleWork))
		return brittleServed, begins.Add(brittleWork)
	}
	u.rejected = append(slices.DeleteFunc(u.rejected, func(at time.Time) bool { return now.Sub(at) >= time.Second }), now)
	if brittle && len(u.rejected) > bears {
		u.falls++
		u.downUntil = now.Add(fallTime)
		u.rejected, u.ends = nil, nil
	}
	return brittleRejected, now
}

// brittleEvent is something that happens later.
type brittleEvent struct {
	at time.Time
	do func(now time.Time)
}

type brittleFleet struct {
	instances []*pool.Pool
	upstreams map[string]*brittleSimulated
	holders   map[string]int
	events    []brittleEvent
	served    int
}

func newBrittleFleet(now time.Time) *brittleFleet {
	f := &brittleFleet{upstreams: map[string]*brittleSimulated{}, holders: map[string]int{}}
	for range brittleInstances {
		instance := &pool.Pool{Settings: pool.DefaultSettings()}
		instance.Configure(map[string]traffic.Service{"app": {Name: "app"}})
		f.instances = append(f.instances, instance)
	}
	for number := range brittleUpstreams {
		id := fmt.Sprint("u", number)
		f.upstreams[id] = &brittleSimulated{}
		f.holders[id] = number
		for _, instance := range f.instances {
			instance.Declare(now, traffic.Upstream{ID: id, Service: "app", BatchSlots: plainSlots})
		}
	}
	return f
}

func (f *brittleFleet) later(at time.Time, do func(now time.Time)) {
	f.events = append(f.events, brittleEvent{at: at, do: do})
}

// runDue runs the events that are due, in order.
func (f *brittleFleet) runDue(now time.Time) {
	for {
		slices.SortStableFunc(f.events, func(a, b brittleEvent) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
		if len(f.events) == 0 || f.events[0].at.After(now) {
			return
		}
		event := f.events[0]
		f.events = f.events[1:]
		event.do(event.at)
	}
}

// report sends the load of an instance to the holder of an upstream.
func (f *brittleFleet) report(now time.Time, from int, id string) {
	holder := f.holders[id]
	if holder == from {
		return
	}
	f.later(now.Add(reportDelay), func(now time.Time) {
		held := func(upstream string) bool { return f.holders[upstream] == holder }
		f.instances[holder].RecordPeerReport(now, fmt.Sprint(from), f.instances[from].Report(held))
	})
}

// call sends one request at an instance: it is admitted by the holder of the upstream, or tried at the next one.
func (f *brittleFleet) call(now time.Time, from int, queue, bears int, brittle bool) {
	instance := f.instances[from]
	query := pool.Query{Service: "app", OnTime: 150 * time.Millisecond, Objective: 150 * time.Millisecond}
	for range brittleUpstreams {
		choice, err := instance.Choose(now, query)
		if err != nil {
			return
		}
		id := choice.Upstream.ID
		if holder := f.holders[id]; choice.LoadStale && holder != from {
			instance.RecordHolderLoad(now, id, f.instances[holder].TotalExcluding(now, id, fmt.Sprint(from)))
		}
		query.Exclude = append(query.Exclude, id)
		if choice.Brittle {
			if wait, admitted := f.instances[f.holders[id]].AdmitBrittle(now, id); !admitted {
				instance.RecordBrittleRefusal(now, id, wait)
				continue
			}
		}
		attempt := instance.Begin(now, choice, query)
		f.report(now, from, id)
		f.later(now.Add(responseDelay), func(now time.Time) {
			outcome, end := f.upstreams[id].accept(now, queue, bears, brittle)
			f.later(end.Add(responseDelay), func(now time.Time) {
				if outcome != brittleBroken {
					instance.RecordBrittleness(now, "app", pool.Brittleness{Brittle: brittle, Rejections: bears * boolInt(brittle)})
				}
				switch outcome {
				case brittleServed:
					f.served++
					attempt.RecordAnswer(now)
					instance.Finish(now, attempt, pool.EndServed)
				case brittleRejected:
					instance.Finish(now, attempt, pool.EndRefused)
				case brittleBroken:
					instance.Finish(now, attempt, pool.EndUnreachable)
				}
				f.report(now, from, id)
			})
		})
		return
	}
}

func boolInt(value bool) int {
	if value {
		return 1
	}
	return 0
}

// Guards against upstreams that fall over because the fleet sends them more than they have room for while they state that
// they cannot bear many rejections: each instance alone rejects few, all together too many.
func TestBrittleUpstreamsAreNotOverfilled(t *testing.T) {
	for _, c := range []struct {
		name string
		// factor is the load as a multiple of what the upstreams can do; queue is how many wait at most later.
		factor float64
		queue  int
		bears  int
	}{
		{"half load, no queue", 0.5, 0, 3},
		{"overload, no queue", 1.5, 0, 3},
		{"overload, short queue", 1.5, 3, 5},
		{"heavy overload, no queue", 4, 0, 8},
		{"heavy overload, one rejection", 4, 2, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			start := time.Unix(0, 0)
			f := newBrittleFleet(start)
			perMilli := c.factor * brittleUpstreams * plainSlots / float64(brittleWork.Milliseconds())
			for now := start; now.Sub(start) < brittleUntil+time.Second; now = now.Add(time.Millisecond) {
				f.runDue(now)
				elapsed := now.Sub(start)
				brittle := elapsed >= brittleFrom && elapsed < brittleUntil
				queue := plainQueue
				if brittle && elapsed >= queueLessFrom {
					queue = c.queue
				}
				for arrivals := random.Float64() * 2 * perMilli; arrivals > random.Float64(); arrivals-- {
					f.call(now, random.IntN(brittleInstances), queue, c.bears, brittle)
				}
			}
			falls := 0
			for _, upstream := range f.upstreams {
				falls += upstream.falls
			}
			possible := min(c.factor, 1) * 1000 * (brittleUntil + time.Second).Seconds() * brittleUpstreams * plainSlots / float64(brittleWork.Milliseconds())
			t.Logf("falls: %d, served %d of %.0f possible", falls, f.served, possible)
			if float64(falls) > 2+brittleUpstreams/10.0 {
				t.Errorf("the upstreams fell over %d times", falls)
			}
			if float64(f.served) < possible/2 {
				t.Errorf("served %d of %.0f possible", f.served, possible)
			}
		})
	}
}
