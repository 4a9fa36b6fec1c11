package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"lacewingrock.example/lacewingrock/internal/placement/model"
)

// cases.go defines the workloads and generates their requests. Every policy gets exactly the same requests.

// The sizes of the current deployments.
const (
	instances    = 8
	upstreams    = 9
	adapterSlots = 8
	batchSlots   = 8
	workspaces   = 5
	adapters     = 3000
)

// The work of a request: a fixed time to the first token, then a fixed time for each token.
const (
	timeToFirstToken = 100 * time.Millisecond
	timePerToken     = 20 * time.Millisecond
	meanTokens       = 200
)

// The Zipf exponents of the popularity of a workspace's adapters. Keeping the best 72 versions loaded would
// leave 0.72 loads per second with the default exponent and 1.31 with the wide one. The weight store allows
// two.
const (
	defaultSkew = 1.8
	wideSkew    = 1.6
)

// Times of a case: requests that arrive before warmUp are simulated but not counted.
const (
	warmUp     = 60 * time.Second
	caseLength = 240 * time.Second
	// disturbanceStart is when the fault or change of a case begins.
	disturbanceStart = 100 * time.Second
)

// trafficShares holds the five workspaces' shares of the requests, which are also their weights.
var trafficShares = [workspaces]float64{0.35, 0.25, 0.2, 0.12, 0.08}

// rateOversubscription is the workspaces' rate limit as a multiple of their usual traffic. Rate limits are
// oversubscribed: not all of them can be used up at once.
const rateOversubscription = 6

// burstSeconds is the workspaces' burst, in seconds of their rate.
const burstSeconds = 10

// Case is one named workload.
type Case struct {
	Name        string
	Description string
	// Load is the offered work as a share of the capacity of all batch slots.
	Load float64
	// Flood multiplies the traffic of the largest workspace from disturbanceStart on.
	Flood float64
	// Mixed makes most requests short and a few very long.
	Mixed bool
	// Shift moves the popularity to other adapters at disturbanceStart.
	Shift bool
	// Slow multiplies the time per token of the first upstream from disturbanceStart on.
	Slow float64
	// Restart restarts the first upstream at disturbanceStart, with nothing loaded.
	Restart bool
	// FailedLoads is the share of loads that fail.
	FailedLoads float64
	// SlowStore multiplies the time of a load from disturbanceStart on.
	SlowStore float64
	// Poison is the number of poison requests. They crash each upstream that runs them, and their
	// callers retry them.
	Poison int
	// Lopsided sends half of all requests to one instance.
	Lopsided bool
	// Skew is the exponent of the adapters' popularity; zero means defaultSkew.
	Skew float64
	// BelowCapacity marks a case in which no refusal is expected.
	BelowCapacity bool
}

// Cases returns the workloads in the order of the tables.
func Cases() []Case {
	return []Case{
		{Name: "steady", Description: "skewed popularity", Load: 0.6, BelowCapacity: true},
		{Name: "wide", Description: "wider popularity: loads near the weight store's limit", Load: 0.6, Skew: wideSkew},
		{Name: "shift", Description: "popularity moves to other adapters", Load: 0.6, Shift: true},
		{Name: "flood", Description: "one workspace at five times its usual traffic", Load: 0.6, Flood: 5},
		{Name: "slow-upstream", Description: "one upstream three times slower", Load: 0.6, Slow: 3},
		{Name: "mixed", Description: "short and very long work", Load: 0.6, Mixed: true, BelowCapacity: true},
		{Name: "saturated", Description: "one and a half times the capacity", Load: 1.5},
		{Name: "cold", Description: "one upstream restarts with nothing loaded", Load: 0.6, Restart: true},
		{Name: "failed-loads", Description: "one load in five fails", Load: 0.6, FailedLoads: 0.2},
		{Name: "poison", Description: "three requests crash each upstream that runs them", Load: 0.6, Poison: 3},
		{Name: "slow-store", Description: "loads take four times as long", Load: 0.6, SlowStore: 4},
		{Name: "lopsided", Description: "half of the requests reach one instance", Load: 0.6, Lopsided: true, BelowCapacity: true},
	}
}

func (c Case) skew() float64 {
	if c.Skew == 0 {
		return defaultSkew
	}
	return c.Skew
}

// request is one request of a caller.
type request struct {
	id        string
	at        time.Duration
	instance  int
	workspace int
	ref       model.Reference
	tokens    float64
	cost      float64
	timeout   time.Duration
	poison    bool
}

// work returns how long the request occupies a batch slot at full speed.
func (r request) work() time.Duration {
	return timeToFirstToken + time.Duration(r.tokens*float64(timePerToken))
}

// generator generates the requests of a case at random.
type generator struct {
	load       Case
	rng        *rand.Rand
	popularity []float64
}

// requests generates all requests of a case, sorted by arrival time.
func requests(load Case, seed int64) (list []request) {
	g := generator{load: load, rng: rand.New(rand.NewPCG(uint64(seed), 1)), popularity: zipfCDF(adapters/workspaces, load.skew())}
	for w := range workspaces {
		g.addWorkspaceRequests(w, &list)
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].at < list[j].at })
	for i := range list {
		list[i].id = fmt.Sprintf("r%d", i)
	}
	g.markPoison(list)
	return list
}

// ratePerSecond returns the usual request rate of a workspace.
func ratePerSecond(load Case, workspace int) float64 {
	mean := timeToFirstToken.Seconds() + meanTokens*timePerToken.Seconds()
	return load.Load * trafficShares[workspace] * upstreams * batchSlots / mean
}

// addWorkspaceRequests generates one workspace's requests: a Poisson process with a steady rate.
func (g generator) addWorkspaceRequests(workspace int, list *[]request) {
	for at := time.Duration(0); at < caseLength; {
		rate := ratePerSecond(g.load, workspace)
		if g.load.Flood > 0 && workspace == 0 && at >= disturbanceStart {
			rate *= g.load.Flood
		}
		at += time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
		*list = append(*list, g.newRequest(at, workspace))
	}
}

func (g generator) newRequest(at time.Duration, workspace int) request {
	tokens := g.tokens()
	return request{
		at:        at,
		instance:  g.instance(),
		workspace: workspace,
		ref:       g.adapter(at, workspace),
		tokens:    tokens,
		cost:      tokens * (1 + g.rng.Float64()/2),
		timeout:   g.timeout(),
	}
}

// tokens returns the length of an answer. Its mean is meanTokens with and without Mixed.
func (g generator) tokens() float64 {
	if !g.load.Mixed {
		return meanTokens * (0.5 + g.rng.Float64())
	}
	if g.rng.Float64() < 0.1 {
		return 1640
	}
	return 40
}

// timeout returns the time within which the caller wants an answer: short for look-ups, long for drafts.
func (g generator) timeout() time.Duration {
	return 5*time.Second + time.Duration(g.rng.Float64()*float64(15*time.Second))
}

func (g generator) instance() int {
	if g.load.Lopsided && g.rng.Float64() < 0.5 {
		return 0
	}
	return g.rng.IntN(instances)
}

// adapter picks an adapter by popularity. A shift rotates the ranking by a third, so that idle adapters become
// popular.
func (g generator) adapter(at time.Duration, workspace int) model.Reference {
	each := adapters / workspaces
	rank := sort.SearchFloat64s(g.popularity, g.rng.Float64())
	if g.load.Shift && at >= disturbanceStart {
		rank = (rank + each/3) % each
	}
	return model.Reference{Adapter: fmt.Sprintf("w%d-a%d", workspace, rank), Version: "v1"}
}

// markPoison marks evenly spaced requests after disturbanceStart as poison requests.
func (g generator) markPoison(list []request) {
	next := disturbanceStart
	remaining := g.load.Poison
	for i := range list {
		if remaining > 0 && list[i].at >= next {
			list[i].poison = true
			next += (caseLength - disturbanceStart) / time.Duration(g.load.Poison+1)
			remaining--
		}
	}
}

// zipfCDF returns the cumulative distribution function of a Zipf distribution of n ranks.
func zipfCDF(n int, exponent float64) []float64 {
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
