package quota_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lacewingrock.example/lacewingrock/internal/admission/quota"
	"lacewingrock.example/lacewingrock/internal/proof/bubble"
)

const workspace = "w"

// fleet is a set of instances that exchange heartbeats.
type fleet struct {
	limit          quota.Limit
	ledgers        map[string]*quota.Ledger
	starts         map[string]int
	partitioned    map[string]bool
	down           map[string]bool
	names          []string
	admitted       []admission
	lastHeartbeats time.Time
	// partialEvery is the interval of partial updates, which all instances receive in addition to all totals; 0 for
	// none.
	partialEvery time.Duration
	lastPartial  time.Time
	lastShared   map[string]quota.Totals
	// heartbeatEvery is the heartbeat interval. If urgent is set, an instance sends its totals at once when its
	// ledger requires it.
	heartbeatEvery time.Duration
	urgent         bool
	urgentUpdates  int
	// rosterDelay is how long after its start an instance knows of the others.
	rosterDelay time.Duration
	unknowing   map[*quota.Ledger]unknowing
}

// unknowing is an instance that does not know the others yet.
type unknowing struct {
	others []string
	until  time.Time
}

type admission struct {
	at   time.Time
	cost float64
}

func newFleet(limit quota.Limit, count int) *fleet {
	f := &fleet{
		limit: limit, ledgers: map[string]*quota.Ledger{}, starts: map[string]int{},
		partitioned: map[string]bool{}, down: map[string]bool{}, heartbeatEvery: heartbeat,
		unknowing: map[*quota.Ledger]unknowing{},
	}
	for i := range count {
		f.names = append(f.names, fmt.Sprint("instance", i))
	}
	for _, name := range f.names {
		f.start(name)
	}
	return f
}

func (f *fleet) start(name string) {
	ledger := &quota.Ledger{Self: name}
	ledger.SetLimits(time.Now(), map[string]quota.Limit{workspace: f.limit})
	var others []string
	for _, other := range f.names {
		if other != name {
			others = append(others, other)
		}
	}
	if f.rosterDelay == 0 {
		ledger.SetPeers(time.Now(), others)
	} else {
		f.unknowing[ledger] = unknowing{others: others, until: time.Now().Add(f.rosterDelay)}
	}
	f.ledgers[name] = ledger
	f.starts[name]++
	f.down[name] = false
}

// setRate scales the limit of all instances to a fraction of the highest.
func (f *fleet) setRate(fraction float64) {
	limit := quota.Limit{Rate: f.limit.Rate * fraction, Burst: f.limit.Burst * fraction}
	for _, ledger := range f.ledgers {
		ledger.SetLimits(time.Now(), map[string]quota.Limit{workspace: limit})
	}
}

const heartbeat = 250 * time.Millisecond

// advance lets time pass, with heartbeats between all instances that reach each other.
func (f *fleet) advance(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
		for ledger, u := range f.unknowing {
			if !time.Now().Before(u.until) {
				ledger.SetPeers(time.Now(), u.others)
				delete(f.unknowing, ledger)
			}
		}
		if f.partialEvery > 0 && time.Since(f.lastPartial) >= f.partialEvery {
			f.lastPartial = time.Now()
			f.sendPartial()
		}
		if time.Since(f.lastHeartbeats) < f.heartbeatEvery {
			continue
		}
		f.lastHeartbeats = time.Now()
		for _, from := range f.names {
			f.send(from, f.names)
		}
	}
}

// send delivers an instance's totals to those of the named instances that it reaches, and their totals back.
func (f *fleet) send(from string, names []string) {
	for _, to := range names {
		if from == to || f.partitioned[from] || f.partitioned[to] || f.down[from] || f.down[to] {
			continue
		}
		incarnation := fmt.Sprint(from, f.starts[from])
		f.ledgers[to].MergeTotals(time.Now(), from, incarnation, f.ledgers[from].OwnTotals())
		f.ledgers[from].MergeTotals(time.Now(), to, fmt.Sprint(to, f.starts[to]), f.ledgers[to].OwnTotals())
	}
}

// sendPartial delivers each instance's recently changed totals to all others.
func (f *fleet) sendPartial() {
	for _, from := range f.names {
		own := f.ledgers[from].OwnTotals()
		partial := own.ChangedSince(f.lastShared[from])
		f.lastShared[from] = own
		if len(partial) == 0 {
			continue
		}
		for _, to := range f.names {
			if from != to {
				f.ledgers[to].MergePartialTotals(time.Now(), from, fmt.Sprint(from, f.starts[from]), partial)
			}
		}
	}
}

func (f *fleet) admit(name string, cost float64) bool {
	if f.down[name] {
		return false
	}
	_, ok := f.ledgers[name].Admit(time.Now(), workspace, cost)
	if ok {
		f.admitted = append(f.admitted, admission{at: time.Now(), cost: cost})
	}
	if names := f.ledgers[name].TakeUrgentRecipients(time.Now()); len(names) > 0 && f.urgent {
		f.urgentUpdates++
		f.send(name, names)
	}
	return ok
}

// maxAdmitted returns the most that was admitted in any period of the given length.
func (f *fleet) maxAdmitted(span time.Duration) (most float64) {
	for i, first := range f.admitted {
		total := 0.0
		for _, later := range f.admitted[i:] {
			if later.at.Sub(first.at) > span {
				break
			}
			total += later.cost
		}
		most = max(most, total)
	}
	return most
}

// window, overshoot and slack define what operators allow.
const (
	window    = 8 * time.Second
	overshoot = 1.1
	slack     = 17_000
)

func (f *fleet) allowed() float64 {
	return (f.limit.Rate*window.Seconds()+f.limit.Burst)*overshoot + slack
}

// Guards against refusals within the rate when the load balancer sends all callers of a workspace to one of eight
// instances. With equal shares, seven eighths of the rate would be assigned to instances that get no requests.
func TestSkewedBalancerRefusesNobodyWithinTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(quota.Limit{Rate: 50_000, Burst: 50_000}, 8)
		f.advance(3 * time.Second)
		refused := 0
		for range 400 {
			if !f.admit("instance0", 2400) {
				refused++
			}
			f.advance(60 * time.Millisecond) // 40,000 a second
		}
		is.Equal(refused, 0)
	})
}

// Guards against spending above the rate when a workspace sends five times its rate, evenly to all instances. Each
// instance may admit against the same tokens until it receives the others' totals; the debt must be paid before
// more is admitted.
func TestFloodStaysWithinTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(quota.Limit{Rate: 50_000, Burst: 50_000}, 8)
		f.advance(3 * time.Second)
		for i := range 1600 {
			f.admit(f.names[i%len(f.names)], 2500)
			f.advance(10 * time.Millisecond)
		}
		is.True(f.maxAdmitted(window) <= f.allowed())
		is.True(f.maxAdmitted(window) >= 0.9*f.limit.Rate*window.Seconds()) // and the rate is not left unused
	})
}

// Guards against spending several times the rate in a fleet of eighty that exchanges heartbeats every two seconds,
// when a workspace sends seven times its rate to all instances. Without urgent updates, all would admit against the
// same tokens for those two seconds. Instances that admit from a low bucket must send their totals at once; a
// workspace with a full bucket must cause no messages.
func TestFloodStaysWithinTheRateOfALargeFleet(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(quota.Limit{Rate: 60_000, Burst: 60_000}, 80)
		f.heartbeatEvery = 2 * time.Second
		f.urgent = true
		for _, ledger := range f.ledgers {
			ledger.PeerTimeout = 3 * f.heartbeatEvery
		}
		f.advance(3 * time.Second)
		for i := range 200 {
			f.admit(f.names[(i*37)%len(f.names)], 600) // 12,000 a second
			f.advance(50 * time.Millisecond)
		}
		is.Equal(f.urgentUpdates, 0)
		for i := range 1600 {
			f.admit(f.names[(i*37)%len(f.names)], 2100) // 420,000 a second
			f.admit(f.names[(i*37+11)%len(f.names)], 2100)
			f.advance(10 * time.Millisecond)
		}
		t.Logf("%.0f in %s, %.0f allowed; %d urgent updates", f.maxAdmitted(window), window, f.allowed(), f.urgentUpdates)
		is.True(f.maxAdmitted(window) <= f.allowed())
		is.True(f.maxAdmitted(window) >= 0.9*f.limit.Rate*window.Seconds())
		is.True(f.urgentUpdates < 1500)
	})
}

// Guards against a large fleet in which each instance admits so little for a workspace that it sends no urgent
// update, while all together admit several times the rate.
func TestFloodOverManyInstancesStaysWithinTheRate(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(quota.Limit{Rate: 500_000, Burst: 500_000}, 195)
		f.heartbeatEvery = 4900 * time.Millisecond
		f.urgent = true
		f.partialEvery = time.Second
		f.lastShared = make(map[string]quota.Totals)
		for _, ledger := range f.ledgers {
			ledger.PeerTimeout = 3 * f.heartbeatEvery
		}
		f.advance(5 * time.Second)
		for i := range 900 {
			for j := range 15 { // 3,000,000 a second
				f.admit(f.names[(i*15+j)*37%len(f.names)], 2000)
			}
			f.advance(10 * time.Millisecond)
		}
		t.Logf("%.0f in %s, %.0f allowed; %d urgent updates", f.maxAdmitted(window), window, f.allowed(), f.urgentUpdates)
		is.True(f.maxAdmitted(window) <= f.allowed())
		is.True(f.maxAdmitted(window) >= 0.9*f.limit.Rate*window.Seconds())
	})
}

// Guards against a large fleet that admits too much for seconds after a limit was lowered, and then refuses every
// request until the debt is paid. Each instance sees few of the requests, and heartbeats between all are sent only
// every few seconds.
func TestLoweredLimitOfALargeFleetIsSpentEvenly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(quota.Limit{Rate: 200_000, Burst: 200_000}, 60)
		f.heartbeatEvery = 4500 * time.Millisecond
		f.partialEvery = time.Second
		f.lastShared = make(map[string]quota.Totals)
		for _, ledger := range f.ledgers {
			ledger.PeerTimeout = 3 * f.heartbeatEvery
		}
		f.advance(5 * time.Second)
		f.setRate(0.5)
		const span = 24
		admitted := make([]float64, span)
		for second := range span {
			for i := range 100 { // 150,000 a second of 100,000
				if name := f.names[(second*100+i)*37%len(f.names)]; f.admit(name, 1500) {
					admitted[second] += 1500
				}
				f.advance(10 * time.Millisecond)
			}
		}
		t.Logf("admitted in each second: %.0f", admitted)
		is.True(f.maxAdmitted(window) <= f.allowed())
		for _, tokens := range admitted[2:] {
			is.True(tokens >= 0.6*100_000)
		}
	})
}

// Guards against needless messages when a workspace's callers reach only two of many instances. Those two must
// receive each other's totals at once; sending them to all others would only cause load.
func TestUrgentUpdatesGoOnlyToActivePeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(quota.Limit{Rate: 1000, Burst: 1000}, 40)
		f.advance(2 * time.Second)
		is.True(f.admit("instance1", 700))
		f.advance(time.Second) // a heartbeat
		_, admitted := f.ledgers["instance0"].Admit(time.Now(), workspace, 700)
		is.True(admitted)
		is.Equal(len(f.ledgers["instance0"].TakeUrgentRecipients(time.Now())), 39) // it has just begun to admit
		f.advance(2 * time.Second)
		_, admitted = f.ledgers["instance0"].Admit(time.Now(), workspace, 700)
		is.True(admitted)
		is.Equal(f.ledgers["instance0"].TakeUrgentRecipients(time.Now()), []string{"instance1"})
	})
}

// Guards against spending above the rate when an instance is partitioned from the others while a workspace floods
// both sides. Neither side knows what the other admits; each must stay within its own share.
func TestPartitionedInstanceStaysWithinItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(quota.Limit{Rate: 50_000, Burst: 50_000}, 4)
		f.advance(3 * time.Second)
		f.partitioned["instance0"] = true
		for i := range 1600 {
			f.admit(f.names[i%len(f.names)], 2500)
			f.advance(10 * time.Millisecond)
		}
		is.True(f.maxAdmitted(window) <= f.allowed())
	})
}

// Guards against a burst that is granted twice when all instances are killed and restart at once under a flood.
// None of them knows what was admitted right before; full buckets would grant the burst a second time.
func TestFullRestartGrantsNoSecondBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(quota.Limit{Rate: 30_000, Burst: 60_000}, 6)
		f.advance(4 * time.Second)
		for i := range 1000 {
			if i%300 == 299 {
				for _, name := range f.names {
					f.start(name)
				}
			}
			f.admit(f.names[i%len(f.names)], 2500)
			f.advance(10 * time.Millisecond)
		}
		is.True(f.maxAdmitted(window) <= f.allowed())
	})
}

// Guards against a request that costs more than its workspace's burst and therefore never runs. It must be admitted
// while there is no debt; its own debt then delays the next requests.
func TestRequestAboveTheBurstRunsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(quota.Limit{Rate: 4000, Burst: 4000}, 1)
		f.advance(2 * time.Second)
		is.True(f.admit("instance0", 7000))
		retryAfter, admitted := f.ledgers["instance0"].Admit(time.Now(), workspace, 100)
		is.True(!admitted)
		is.True(retryAfter >= 700*time.Millisecond) // a debt of 3,000 at 4,000 a second
		f.advance(retryAfter)
		is.True(f.admit("instance0", 100)) // the retry time was accurate
	})
}

// Guards against charging a request twice: it was admitted, found no upstream, and its caller retries.
func TestRefundReturnsTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(quota.Limit{Rate: 1000, Burst: 1000}, 2)
		f.advance(2 * time.Second)
		is.True(f.admit("instance0", 1000))
		is.True(!f.admit("instance0", 1000))
		f.ledgers["instance0"].Refund(workspace, 1000, time.Now())
		is.True(f.admit("instance0", 1000))
		is.Equal(f.ledgers["instance0"].OwnTotals()[workspace], 1000.0)
	})
}

// Guards against spending above the allowance under arbitrary partitions, kills, restarts, request costs and limit
// reductions. The allowance is computed from the highest limit, and while no peer is reachable each instance may
// spend what was left.
func TestNoSpanHoldsMoreThanAllowed(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fault := bubble.Check(t, func() string {
			count := rapid.IntRange(2, 8).Draw(rt, "instances")
			f := newFleet(quota.Limit{Rate: 50_000, Burst: 50_000}, count)
			f.advance(3 * time.Second)
			for range rapid.IntRange(100, 400).Draw(rt, "steps") {
				name := rapid.SampledFrom(f.names).Draw(rt, "who")
				switch rapid.IntRange(0, 60).Draw(rt, "event") {
				case 0:
					f.partitioned[name] = !f.partitioned[name]
				case 1:
					f.down[name] = true
				case 2:
					f.start(name)
				case 3:
					f.setRate(rapid.Float64Range(0.1, 1).Draw(rt, "share"))
				default:
					f.admit(name, rapid.Float64Range(100, 5000).Draw(rt, "cost"))
				}
				f.advance(10 * time.Millisecond)
			}
			if got := f.maxAdmitted(window); got > f.allowed() {
				return fmt.Sprintf("%.0f in %s, %.0f allowed", got, window, f.allowed())
			}
			return ""
		})
		if fault != "" {
			rt.Fatal(fault)
		}
	})
}

// Guards against repeated refusals when a workspace sends eight requests at the same moment and two of them exceed
// its rate. If the other six all got the end of the debt as their retry time, they would retry together: one would
// be admitted and five refused again.
func TestCallersComeBackInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ledger := &quota.Ledger{Self: "a"}
		ledger.SetPeers(time.Now(), nil)
		ledger.SetLimits(time.Now(), map[string]quota.Limit{workspace: {Rate: 10_000, Burst: 1_000}})
		time.Sleep(time.Second) // a new bucket is empty
		var returns []time.Duration
		for range 8 {
			if after, admitted := ledger.Admit(time.Now(), workspace, 600); !admitted {
				returns = append(returns, after)
			}
		}
		is.Equal(len(returns), 6)
		began := time.Now()
		for _, after := range returns {
			time.Sleep(time.Until(began.Add(after)))
			_, admitted := ledger.Admit(time.Now(), workspace, 600)
			is.True(admitted)
		}
		is.True(time.Since(began) < time.Second)
	})
}

// Guards against retry times that are too late to be of use when a workspace sends many times its rate for seconds.
// A queue of all refused requests would give the tokens to callers that have waited too long; each caller must get
// a retry time at which its request can still start on time.
func TestNobodyIsToldToComeBackMuchTooLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ledger := &quota.Ledger{Self: "a"}
		ledger.SetPeers(time.Now(), nil)
		ledger.SetLimits(time.Now(), map[string]quota.Limit{workspace: {Rate: 10_000, Burst: 1_000}})
		for range 400 {
			time.Sleep(10 * time.Millisecond)
			if after, admitted := ledger.Admit(time.Now(), workspace, 600); !admitted {
				is.True(after < 800*time.Millisecond)
			}
		}
	})
}

// Guards against spending above the rate when instances are stopped and started in turn under a flood: one that has just
// started knows neither what the others have admitted nor their debt.
func TestRollingRestartStaysWithinTheRate(t *testing.T) {
	for _, c := range []struct {
		name string
		down time.Duration
	}{
		{"back at once", 100 * time.Millisecond},
		{"away for three seconds", 3 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(quota.Limit{Rate: 30_000, Burst: 58_000}, 8)
				f.urgent = true
				f.advance(10 * time.Second)
				f.rosterDelay = 200 * time.Millisecond
				back := map[string]time.Time{}
				begun := time.Now()
				next := 0
				for i := 0; time.Since(begun) < 16*time.Second; i++ {
					if next < len(f.names) && time.Since(begun) > time.Duration(next+1)*time.Second {
						name := f.names[next]
						f.down[name] = true
						back[name] = time.Now().Add(c.down)
						next++
					}
					for name, at := range back {
						if !time.Now().Before(at) {
							f.start(name)
							delete(back, name)
						}
					}
					f.admit(f.names[(i*3)%len(f.names)], float64(400+(i*1571)%6400))
					f.advance(10 * time.Millisecond)
				}
				t.Logf("%.0f in %s, %.0f allowed", f.maxAdmitted(window), window, f.allowed())
				is.True(f.maxAdmitted(window) <= f.allowed())
			})
		})
	}
}
