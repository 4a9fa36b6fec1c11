package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"lacewingrock.example/lacewingrock/internal/placement/model"
)

// cases.go names the loads and makes their requests. Every policy gets the very same requests.

// The sizes of today's deployments.
const (
	instances  = 8
	upstreams  = 9
	slots      = 8
	batch      = 8
	workspaces = 5
	adapters   = 3000
)

// The work of a request: a fixed time to the first token, then one token after the other.
const (
	firstToken = 100 * time.Millisecond
	tokenTime  = 20 * time.Millisecond
	usualWork  = 200
)

// The exponents of the popularity of a workspace's adapters (Zipf). With the usual one the best 72
// versions to keep would leave 0.72 loads a second, with the wide one 1.31, of the two that the weight
// store allows.
const (
	usualSkew = 1.8
	wideSkew  = 1.6
)

// Lengths of a case: requests that arrive before warm are played and not counted.
const (
	warm   = 60 * time.Second
	length = 240 * time.Second
	// turn is when what a case is about begins.
	turn = 100 * time.Second
)

// shares of the five workspaces in the requests; their weights are the same.
var shares = [workspaces]float64{0.35, 0.25, 0.2, 0.12, 0.08}

// overRate is the workspaces' rate as a multiple of what they usually send. Rates are oversold: not
// all of them can be used at once.
const overRate = 6

// burstTime is the workspaces' burst, as seconds of their rate.
const burstTime = 10

// Case is one named load.
type Case struct {
	Name  string
	About string
	// Load is the work offered as a share of what all batch places can do.
	Load float64
	// Flood multiplies what the largest workspace sends from turn on.
	Flood float64
	// Mixed makes most requests short and a few very long.
	Mixed bool
	// Shift moves the popularity to other adapters at turn.
	Shift bool
	// Slow multiplies the token time of the first upstream from turn on.
	Slow float64
	// Restart restarts the first upstream, cold, at turn.
	Restart bool
	// FailedLoads is the share of loads that fail.
	FailedLoads float64
	// SlowStore multiplies the time of a load from turn on.
	SlowStore float64
	// Poison is how many requests crash each upstream that runs them, sent again by their callers.
	Poison int
	// Lopsided sends half of all requests to one instance.
	Lopsided bool
	// Skew is the exponent of the adapters' popularity, usualSkew if zero.
	Skew float64
	// BelowCapacity tells that no refusal is to be expected.
	BelowCapacity bool
}

// Cases lists the loads in the order of the tables.
func Cases() []Case {
	return []Case{
		{Name: "steady", About: "skewed popularity", Load: 0.6, BelowCapacity: true},
		{Name: "wide", About: "wider popularity: loads near the weight store's limit", Load: 0.6, Skew: wideSkew},
		{Name: "shift", About: "popularity moves to other adapters", Load: 0.6, Shift: true},
		{Name: "flood", About: "one workspace at five times its usual", Load: 0.6, Flood: 5},
		{Name: "slow-upstream", About: "one upstream three times slower", Load: 0.6, Slow: 3},
		{Name: "mixed", About: "short and very long work", Load: 0.6, Mixed: true, BelowCapacity: true},
		{Name: "saturated", About: "half as much again as fits", Load: 1.5},
		{Name: "cold", About: "one upstream restarts with nothing loaded", Load: 0.6, Restart: true},
		{Name: "failed-loads", About: "one load in five fails", Load: 0.6, FailedLoads: 0.2},
		{Name: "poison", About: "three requests crash each upstream that runs them", Load: 0.6, Poison: 3},
		{Name: "slow-store", About: "loads take four times as long", Load: 0.6, SlowStore: 4},
		{Name: "lopsided", About: "half of the requests reach one instance", Load: 0.6, Lopsided: true, BelowCapacity: true},
	}
}

func (c Case) skew() float64 {
	if c.Skew == 0 {
		return usualSkew
	}
	return c.Skew
}

// request is one caller's request.
type request struct {
	id        string
	at        time.Duration
	instance  int
	workspace int
	ref       model.Reference
	tokens    float64
	cost      float64
	patience  time.Duration
	poison    bool
}

// work is how long the request occupies a batch place at full speed.
func (r request) work() time.Duration {
	return firstToken + time.Duration(r.tokens*float64(tokenTime))
}

// generator draws the requests of a case.
type generator struct {
	load  Case
	rng   *rand.Rand
	ranks []float64
}

// requests draws all requests of a case, by time.
func requests(load Case, seed int64) (list []request) {
	g := generator{load: load, rng: rand.New(rand.NewPCG(uint64(seed), 1)), ranks: zipf(adapters/workspaces, load.skew())}
	for w := range workspaces {
		g.draw(w, &list)
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].at < list[j].at })
	for i := range list {
		list[i].id = fmt.Sprintf("r%d", i)
	}
	g.poison(list)
	return list
}

// ratePerSecond is how many requests a second a workspace usually sends.
func ratePerSecond(load Case, workspace int) float64 {
	mean := firstToken.Seconds() + usualWork*tokenTime.Seconds()
	return load.Load * shares[workspace] * upstreams * batch / mean
}

// draw draws one workspace's requests: independent arrivals at a steady rate.
func (g generator) draw(workspace int, list *[]request) {
	for at := time.Duration(0); at < length; {
		rate := ratePerSecond(g.load, workspace)
		if g.load.Flood > 0 && workspace == 0 && at >= turn {
			rate *= g.load.Flood
		}
		at += time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
		*list = append(*list, g.one(at, workspace))
	}
}

func (g generator) one(at time.Duration, workspace int) request {
	tokens := g.tokens()
	return request{
		at:        at,
		instance:  g.instance(),
		workspace: workspace,
		ref:       g.adapter(at, workspace),
		tokens:    tokens,
		cost:      tokens * (1 + g.rng.Float64()/2),
		patience:  g.patience(),
	}
}

// tokens has the mean usualWork in either mix.
func (g generator) tokens() float64 {
	if !g.load.Mixed {
		return usualWork * (0.5 + g.rng.Float64())
	}
	if g.rng.Float64() < 0.1 {
		return 1640
	}
	return 40
}

// patience: look-ups are given up early, drafts late.
func (g generator) patience() time.Duration {
	return 5*time.Second + time.Duration(g.rng.Float64()*float64(15*time.Second))
}

func (g generator) instance() int {
	if g.load.Lopsided && g.rng.Float64() < 0.5 {
		return 0
	}
	return g.rng.IntN(instances)
}

// adapter draws by popularity. A shift turns the ranking by a third: what was idle becomes hot.
func (g generator) adapter(at time.Duration, workspace int) model.Reference {
	each := adapters / workspaces
	rank := sort.SearchFloat64s(g.ranks, g.rng.Float64())
	if g.load.Shift && at >= turn {
		rank = (rank + each/3) % each
	}
	return model.Reference{Adapter: fmt.Sprintf("w%d-a%d", workspace, rank), Version: "v1"}
}

// poison marks requests after the turn, evenly spread.
func (g generator) poison(list []request) {
	next := turn
	left := g.load.Poison
	for i := range list {
		if left > 0 && list[i].at >= next {
			list[i].poison = true
			next += (length - turn) / time.Duration(g.load.Poison+1)
			left--
		}
	}
}

// zipf is the cumulative distribution of n ranks.
func zipf(n int, exponent float64) []float64 {
	ranks := make([]float64, n)
	sum := 0.0
	for i := range ranks {
		sum += math.Pow(float64(i+1), -exponent)
		ranks[i] = sum
	}
	for i := range ranks {
		ranks[i] /= sum
	}
	return ranks
}
