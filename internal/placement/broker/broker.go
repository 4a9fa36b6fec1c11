package broker

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// broker.go orders the asks and gives out the permits.

// tokensPerSecond is how much waiting demand weighs like one second of waiting: about one or two usual
// requests. Measured: 50 to 800 differ by less than two seeds do.
const tokensPerSecond = 400

// forgetAsk is how long an ask counts that is not repeated; holders repeat theirs every second.
const forgetAsk = 3 * time.Second

// mostUnused is how many unused permits are kept: the weight store takes two at once at full speed.
const mostUnused = 2

// recentHalfLife is the time in which a workspace's past loads count half.
const recentHalfLife = 10 * time.Second

// Broker gives out permits. Set the exported field before use; one goroutine owns it.
//
// Made for popularity that shifts and for cold engines, when many more loads are wanted than the weight
// store can serve. The harm it prevents: all of them at once, each slower than the other, so that the
// callers wait for everything and get nothing in time.
type Broker struct {
	Settings Settings

	asks     map[Load]ask
	inFlight map[Load]time.Time
	unused   float64
	counted  time.Time
	recent   map[string]decaying
}

// ask is what a holder wants. since is when the longest waiting request came.
type ask struct {
	Asked
	since time.Time
	last  time.Time
	heard time.Time
}

// decaying is a count that halves every recentHalfLife.
type decaying struct {
	value float64
	at    time.Time
}

func (d decaying) of(now time.Time) float64 {
	return d.value * math.Exp2(-now.Sub(d.at).Seconds()/recentHalfLife.Seconds())
}

// Handle takes one event that happened at now and returns the answers that are due.
func (b *Broker) Handle(now time.Time, event Event) (actions []Action) {
	b.prepare(now)
	b.refill(now)
	switch e := event.(type) {
	case Asked:
		b.asks[e.Load] = ask{Asked: e, since: now.Add(-e.Waited), last: now.Add(e.Patience), heard: now}
	case Withdrawn:
		b.withdrawn(e)
	case Ended:
		delete(b.asks, e.Load)
		delete(b.inFlight, e.Load)
	case Tick:
	}
	b.forget(now)
	if len(b.asks) == 0 {
		return nil
	}
	return b.answer(now)
}

func (b *Broker) prepare(now time.Time) {
	if b.asks != nil {
		return
	}
	b.asks = make(map[Load]ask)
	b.inFlight = make(map[Load]time.Time)
	b.recent = make(map[string]decaying)
	b.counted = now
	b.unused = mostUnused
}

func (b *Broker) refill(now time.Time) {
	b.unused = min(mostUnused, b.unused+b.Settings.Rate*now.Sub(b.counted).Seconds())
	b.counted = now
}

// withdrawn takes the ask back, or the permit: one that was not used did not reach the weight store.
func (b *Broker) withdrawn(e Withdrawn) {
	delete(b.asks, e.Load)
	if _, permitted := b.inFlight[e.Load]; permitted {
		delete(b.inFlight, e.Load)
		b.unused = min(mostUnused, b.unused+1)
	}
}

// forget drops asks that are not repeated and permits whose end was never told: their holder may be
// gone, and its share of the eight in flight would be lost for good.
func (b *Broker) forget(now time.Time) {
	for load, a := range b.asks {
		if now.Sub(a.heard) > forgetAsk {
			delete(b.asks, load)
		}
	}
	for load, until := range b.inFlight {
		if !now.Before(until) {
			delete(b.inFlight, load)
		}
	}
}

// answer permits the foremost asks while the budget lasts, and refuses those whose turn comes only
// after the last of their waiting has given up.
func (b *Broker) answer(now time.Time) (actions []Action) {
	left := 0
	for _, a := range b.ordered(now) {
		if b.unused >= 1 && len(b.inFlight) < b.Settings.InFlight {
			b.permit(now, a.ask)
			actions = append(actions, Permit{Load: a.Load, UseWithin: b.Settings.UseWithin})
			continue
		}
		left++
		turn := time.Duration((float64(left) - b.unused) / b.Settings.Rate * float64(time.Second))
		if now.Add(turn).After(a.last) {
			delete(b.asks, a.Load)
			actions = append(actions, Refuse{Load: a.Load, RetryAfter: turn})
		}
	}
	return actions
}

func (b *Broker) permit(now time.Time, a ask) {
	delete(b.asks, a.Load)
	b.unused--
	b.inFlight[a.Load] = now.Add(b.Settings.Lapse)
	b.recent[a.Workspace] = decaying{value: b.recent[a.Workspace].of(now) + 1, at: now}
}

// scored is an ask with its place in the order.
type scored struct {
	ask
	score float64
}

// ordered lists the asks, foremost first: those that waited longest and have the most demand waiting,
// and of workspaces that had few loads lately. Ties go by name, so that equal runs decide equally.
func (b *Broker) ordered(now time.Time) []scored {
	list := make([]scored, 0, len(b.asks))
	for _, a := range b.asks {
		list = append(list, scored{ask: a, score: b.score(now, a)})
	}
	slices.SortFunc(list, func(x, y scored) int {
		return cmp.Or(
			cmp.Compare(y.score, x.score),
			cmp.Compare(x.Load.Upstream, y.Load.Upstream),
			cmp.Compare(x.Load.Model.Adapter, y.Load.Model.Adapter),
			cmp.Compare(x.Load.Model.Version, y.Load.Model.Version),
		)
	})
	return list
}

func (b *Broker) score(now time.Time, a ask) float64 {
	waited := now.Sub(a.since).Seconds()
	return (waited + a.Demand/tokensPerSecond) / (1 + b.recent[a.Workspace].of(now))
}
