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

// fleet is some instances that exchange heartbeats.
type fleet struct {
	limit     quota.Limit
	ledgers   map[string]*quota.Ledger
	starts    map[string]int
	cut       map[string]bool
	down      map[string]bool
	names     []string
	admitted  []admission
	lastBeats time.Time
	// someEvery is how often all hear what others admitted lately, beside all that they admitted; 0 for never.
	someEvery time.Duration
	lastSome  time.Time
	shared    map[string]quota.Totals
	// every is the pace of the heartbeats, and urgent has an instance tell the others at once when its ledger
	// asks for that.
	every  time.Duration
	urgent bool
	told   int
}

type admission struct {
	at   time.Time
	cost float64
}

func newFleet(limit quota.Limit, count int) *fleet {
	f := &fleet{
		limit: limit, ledgers: map[string]*quota.Ledger{}, starts: map[string]int{},
		cut: map[string]bool{}, down: map[string]bool{}, every: beat,
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
	ledger.SetPeers(time.Now(), others)
	f.ledgers[name] = ledger
	f.starts[name]++
	f.down[name] = false
}

// setRate has all instances learn of another limit, a share of the highest.
func (f *fleet) setRate(share float64) {
	limit := quota.Limit{Rate: f.limit.Rate * share, Burst: f.limit.Burst * share}
	for _, ledger := range f.ledgers {
		ledger.SetLimits(time.Now(), map[string]quota.Limit{workspace: limit})
	}
}

const beat = 250 * time.Millisecond

// pass lets time go by, with heartbeats between all that reach each other.
func (f *fleet) pass(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
		if f.someEvery > 0 && time.Since(f.lastSome) >= f.someEvery {
			f.lastSome = time.Now()
			f.shareSome()
		}
		if time.Since(f.lastBeats) < f.every {
			continue
		}
		f.lastBeats = time.Now()
		for _, from := range f.names {
			f.tell(from, f.names)
		}
	}
}

// tell has those of the named instances that an instance reaches hear what it admitted.
func (f *fleet) tell(from string, names []string) {
	for _, to := range names {
		if from == to || f.cut[from] || f.cut[to] || f.down[from] || f.down[to] {
			continue
		}
		incarnation := fmt.Sprint(from, f.starts[from])
		f.ledgers[to].MergeTotals(time.Now(), from, incarnation, f.ledgers[from].OwnTotals())
		f.ledgers[from].MergeTotals(time.Now(), to, fmt.Sprint(to, f.starts[to]), f.ledgers[to].OwnTotals())
	}
}

// shareSome has all instances hear what each admitted lately.
func (f *fleet) shareSome() {
	for _, from := range f.names {
		own := f.ledgers[from].OwnTotals()
		some := own.ChangedSince(f.shared[from])
		f.shared[from] = own
		if len(some) == 0 {
			continue
		}
		for _, to := range f.names {
			if from != to {
				f.ledgers[to].MergePartialTotals(time.Now(), from, fmt.Sprint(from, f.starts[from]), some)
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
		f.told++
		f.tell(name, names)
	}
	return ok
}

// most is the most that was admitted in any span of a length.
func (f *fleet) most(span time.Duration) (most float64) {
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

// window, overshoot and slack are what operators allow.
const (
	window    = 8 * time.Second
	overshoot = 1.1
	slack     = 17_000
)

func (f *fleet) allowed() float64 {
	return (f.limit.Rate*window.Seconds()+f.limit.Burst)*overshoot + slack
}

// The balancer sends all callers of a workspace to one of eight instances. With equal shares seven eighths
// of its rate would lie where nobody asks, and requests within the rate would be refused.
func TestSkewedBalancerRefusesNobodyWithinTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(quota.Limit{Rate: 50_000, Burst: 50_000}, 8)
		f.pass(3 * time.Second)
		refused := 0
		for range 400 {
			if !f.admit("instance0", 2400) {
				refused++
			}
			f.pass(60 * time.Millisecond) // 40,000 a second
		}
		is.Equal(refused, 0)
	})
}

// One workspace sends five times its rate, evenly to all instances. Each of them may admit against the
// same tokens until it hears of the others; the debt has to be paid back before more is admitted.
func TestFloodStaysWithinTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(quota.Limit{Rate: 50_000, Burst: 50_000}, 8)
		f.pass(3 * time.Second)
		for i := range 1600 {
			f.admit(f.names[i%len(f.names)], 2500)
			f.pass(10 * time.Millisecond)
		}
		is.True(f.most(window) <= f.allowed())
		is.True(f.most(window) >= 0.9*f.limit.Rate*window.Seconds()) // and the rate is not left unused
	})
}

// A fleet of eighty exchanges heartbeats every two seconds, and a workspace sends seven times its rate to all of
// them. In the two seconds until they hear of each other all would admit against the same tokens, several times
// what was bought. So whoever admits while there is little left tells at once; a workspace with plenty left
// causes no messages.
func TestFloodStaysWithinTheRateOfALargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(quota.Limit{Rate: 60_000, Burst: 60_000}, 80)
		f.every = 2 * time.Second
		f.urgent = true
		for _, ledger := range f.ledgers {
			ledger.PeerTimeout = 3 * f.every
		}
		f.pass(3 * time.Second)
		for i := range 200 {
			f.admit(f.names[(i*37)%len(f.names)], 600) // 12,000 a second
			f.pass(50 * time.Millisecond)
		}
		is.Equal(f.told, 0)
		for i := range 1600 {
			f.admit(f.names[(i*37)%len(f.names)], 2100) // 420,000 a second
			f.admit(f.names[(i*37+11)%len(f.names)], 2100)
			f.pass(10 * time.Millisecond)
		}
		t.Logf("%.0f in %s, %.0f allowed; %d times told at once", f.most(window), window, f.allowed(), f.told)
		is.True(f.most(window) <= f.allowed())
		is.True(f.most(window) >= 0.9*f.limit.Rate*window.Seconds())
		is.True(f.told < 1500)
	})
}

// Guards against a large fleet in which each instance admits so little for a workspace that it does not let the others
// know, and all together admit several times the rate.
func TestFloodOverManyInstancesStaysWithinTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(quota.Limit{Rate: 500_000, Burst: 500_000}, 195)
		f.every = 4900 * time.Millisecond
		f.urgent = true
		f.someEvery = time.Second
		f.shared = make(map[string]quota.Totals)
		for _, ledger := range f.ledgers {
			ledger.PeerTimeout = 3 * f.every
		}
		f.pass(5 * time.Second)
		for i := range 900 {
			for j := range 15 { // 3,000,000 a second
				f.admit(f.names[(i*15+j)*37%len(f.names)], 2000)
			}
			f.pass(10 * time.Millisecond)
		}
		t.Logf("%.0f in %s, %.0f allowed; %d times told at once", f.most(window), window, f.allowed(), f.told)
		is.True(f.most(window) <= f.allowed())
		is.True(f.most(window) >= 0.9*f.limit.Rate*window.Seconds())
	})
}

// Guards against a large fleet that admits too much for seconds after a limit was lowered, and then refuses everybody
// until the debt is paid. Each instance sees few of the requests, and all hear of each other only every few seconds.
func TestLoweredLimitOfALargeFleetIsSpentEvenly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(quota.Limit{Rate: 200_000, Burst: 200_000}, 60)
		f.every = 4500 * time.Millisecond
		f.someEvery = time.Second
		f.shared = make(map[string]quota.Totals)
		for _, ledger := range f.ledgers {
			ledger.PeerTimeout = 3 * f.every
		}
		f.pass(5 * time.Second)
		f.setRate(0.5)
		const span = 24
		admitted := make([]float64, span)
		for second := range span {
			for i := range 100 { // 150,000 a second of 100,000
				if name := f.names[(second*100+i)*37%len(f.names)]; f.admit(name, 1500) {
					admitted[second] += 1500
				}
				f.pass(10 * time.Millisecond)
			}
		}
		t.Logf("admitted in each second: %.0f", admitted)
		is.True(f.most(window) <= f.allowed())
		for _, tokens := range admitted[2:] {
			is.True(tokens >= 0.6*100_000)
		}
	})
}

// The callers of a workspace reach two of many instances. Those two need to hear of each other at once; telling
// all the others would only load them.
func TestOnlyThoseWhoAdmitAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(quota.Limit{Rate: 1000, Burst: 1000}, 40)
		f.pass(2 * time.Second)
		is.True(f.admit("instance1", 700))
		f.pass(time.Second) // a heartbeat
		_, admitted := f.ledgers["instance0"].Admit(time.Now(), workspace, 700)
		is.True(admitted)
		is.Equal(len(f.ledgers["instance0"].TakeUrgentRecipients(time.Now())), 39) // it has just begun
		f.pass(2 * time.Second)
		_, admitted = f.ledgers["instance0"].Admit(time.Now(), workspace, 700)
		is.True(admitted)
		is.Equal(f.ledgers["instance0"].TakeUrgentRecipients(time.Now()), []string{"instance1"})
	})
}

// An instance is cut off from the others while a workspace floods both sides. The cut one cannot know what
// the others admit, and they cannot know what it does; each side keeps to its own part.
func TestCutInstanceKeepsToItsPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(quota.Limit{Rate: 50_000, Burst: 50_000}, 4)
		f.pass(3 * time.Second)
		f.cut["instance0"] = true
		for i := range 1600 {
			f.admit(f.names[i%len(f.names)], 2500)
			f.pass(10 * time.Millisecond)
		}
		is.True(f.most(window) <= f.allowed())
	})
}

// All instances are killed and start again at once, while a workspace floods them. None of them knows what
// was admitted right before; with full buckets the burst would be given out a second time.
func TestRestartOfAllGivesNoSecondBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(quota.Limit{Rate: 30_000, Burst: 60_000}, 6)
		f.pass(4 * time.Second)
		for i := range 1000 {
			if i%300 == 299 {
				for _, name := range f.names {
					f.start(name)
				}
			}
			f.admit(f.names[i%len(f.names)], 2500)
			f.pass(10 * time.Millisecond)
		}
		is.True(f.most(window) <= f.allowed())
	})
}

// A request costs more than the workspace's burst. It is admitted while nothing is owed, as it could never
// run otherwise, and the debt holds up the next ones.
func TestRequestAboveTheBurstRunsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(quota.Limit{Rate: 4000, Burst: 4000}, 1)
		f.pass(2 * time.Second)
		is.True(f.admit("instance0", 7000))
		retryAfter, admitted := f.ledgers["instance0"].Admit(time.Now(), workspace, 100)
		is.True(!admitted)
		is.True(retryAfter >= 700*time.Millisecond) // 3,000 owed at 4,000 a second
		f.pass(retryAfter)
		is.True(f.admit("instance0", 100)) // the time to come back was true
	})
}

// A request was admitted and then found no upstream. Its caller comes back and must not pay twice.
func TestRefundGivesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(quota.Limit{Rate: 1000, Burst: 1000}, 2)
		f.pass(2 * time.Second)
		is.True(f.admit("instance0", 1000))
		is.True(!f.admit("instance0", 1000))
		f.ledgers["instance0"].Refund(workspace, 1000)
		is.True(f.admit("instance0", 1000))
		is.Equal(f.ledgers["instance0"].OwnTotals()[workspace], 1000.0)
	})
}

// Instances are cut off, killed and started again at any moment while a workspace sends at any pace, and
// its limit is lowered. Whatever happens, no span holds more than operators allow. The allowance counts
// from the limit that was highest, and while nobody is heard the instances may each spend what was left.
func TestNoSpanHoldsMoreThanAllowed(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fault := bubble.Check(t, func() string {
			count := rapid.IntRange(2, 8).Draw(rt, "instances")
			f := newFleet(quota.Limit{Rate: 50_000, Burst: 50_000}, count)
			f.pass(3 * time.Second)
			for range rapid.IntRange(100, 400).Draw(rt, "steps") {
				name := rapid.SampledFrom(f.names).Draw(rt, "who")
				switch rapid.IntRange(0, 60).Draw(rt, "event") {
				case 0:
					f.cut[name] = !f.cut[name]
				case 1:
					f.down[name] = true
				case 2:
					f.start(name)
				case 3:
					f.setRate(rapid.Float64Range(0.1, 1).Draw(rt, "share"))
				default:
					f.admit(name, rapid.Float64Range(100, 5000).Draw(rt, "cost"))
				}
				f.pass(10 * time.Millisecond)
			}
			if got := f.most(window); got > f.allowed() {
				return fmt.Sprintf("%.0f in %s, %.0f allowed", got, window, f.allowed())
			}
			return ""
		})
		if fault != "" {
			rt.Fatal(fault)
		}
	})
}

// A workspace sends eight requests in the same moment, and two of them put it over its rate. Told only when its
// debt is paid, the other six come back together: one is admitted, and five callers hear for the second time that
// there is no room.
func TestCallersComeBackInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ledger := &quota.Ledger{Self: "a"}
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

// A workspace sends many times its rate for seconds. A line for all who are refused would give its tokens to callers
// who have waited too long to gain by them; who comes next is told a time at which he is still on time.
func TestNobodyIsToldToComeBackMuchTooLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ledger := &quota.Ledger{Self: "a"}
		ledger.SetLimits(time.Now(), map[string]quota.Limit{workspace: {Rate: 10_000, Burst: 1_000}})
		for range 400 {
			time.Sleep(10 * time.Millisecond)
			if after, admitted := ledger.Admit(time.Now(), workspace, 600); !admitted {
				is.True(after < 800*time.Millisecond)
			}
		}
	})
}
