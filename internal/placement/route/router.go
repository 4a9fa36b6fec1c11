package route

import (
	"math"
	"slices"
	"time"

	"lacewingrock.example/lacewingrock/internal/catalog/resource"
	"lacewingrock.example/lacewingrock/internal/placement/model"
)

// router.go compares a bounded number of upstreams for each request, some that have the version loaded and some near its
// home on the ring, and chooses the one with the earliest expected completion.

// maxResidentCandidates and maxHomeCandidates bound the cost of a decision independently of the size of the fleet.
// More than eight replicas are considered in rotation. A busy home is replaced by the next two upstreams on the ring.
const (
	maxResidentCandidates = 8
	maxHomeCandidates     = 3
)

// maxEvictionCost bounds the cost of an eviction, in multiples of the price of a load: a version in demand is loaded
// again once and then stays loaded. Measured: 4 and 8 give the same result, and 1 gives 3 in 100 more stalls.
const maxEvictionCost = 4

// Router chooses upstreams. Set the exported field before use. It is not safe for concurrent use.
type Router struct {
	Settings Settings

	upstreams    map[string]*upstream
	rings        map[string]ring
	resident     map[model.Reference][]*upstream
	pendingLoads map[model.Reference]pendingLoad
	lastExpiry   time.Time
	loadRate     decayingCount
	rotation     int
}

// pendingLoad is a load that requests of this instance wait for, since a choice that needed it.
type pendingLoad struct {
	upstream *upstream
	since    time.Time
}

// SetUpstreams replaces the declared upstreams. Call it when the configuration changes.
func (r *Router) SetUpstreams(declared []resource.Upstream) {
	r.initialize()
	previous := r.upstreams
	r.upstreams = make(map[string]*upstream, len(declared))
	byModel := make(map[string][]*upstream)
	for _, d := range declared {
		u := previous[d.Meta.Name]
		if u == nil {
			u = &upstream{}
		}
		u.declared = d
		r.upstreams[d.Meta.Name] = u
		byModel[d.BaseModel] = append(byModel[d.BaseModel], u)
	}
	r.rings = make(map[string]ring, len(byModel))
	for baseModel, members := range byModel {
		r.rings[baseModel] = newRing(members)
	}
	for name, u := range previous {
		if r.upstreams[name] == nil {
			r.index(u, nil)
		}
	}
}

// SetLeaving replaces the set of upstreams that are leaving according to sources other than the configuration.
func (r *Router) SetLeaving(names []string) {
	for name, u := range r.upstreams {
		u.leaving = slices.Contains(names, name)
	}
}

// UpdateSummary stores the summary of a holder. A summary older than the stored one is dropped.
func (r *Router) UpdateSummary(now time.Time, summary Summary) {
	u := r.upstreams[summary.Upstream]
	if u == nil || summary.Epoch < u.summary.Epoch || !summary.At.After(u.summary.At) {
		return
	}
	r.countLoads(now, u, summary)
	r.index(u, summary.Resident)
	u.summary = summary
	u.dropSentBefore(summary.At)
}

// Choose selects an upstream and counts the request as sent there until a newer summary arrives.
//
// It handles skewed popularity, one slow upstream and full saturation. Random or even spreading would need a load for
// every request, and plain affinity would queue all requests of a hot adapter behind one upstream.
func (r *Router) Choose(now time.Time, query Query) (choice Choice, err error) {
	best := candidate{}
	buffer := [maxResidentCandidates + maxHomeCandidates + 1]candidate{}
	for _, c := range r.candidates(now, query, buffer[:0]) {
		if best.upstream == nil || c.total < best.total {
			best = c
		}
	}
	if best.upstream == nil {
		return Choice{}, ErrNoUpstream
	}
	best.upstream.recordSent(now, r.workTime(now, best.upstream, query))
	if best.reason == ReasonProbe {
		best.upstream.nextProbe = now.Add(r.Settings.ProbeInterval)
	}
	if best.needsLoad {
		r.addPendingLoad(now, query.Model, best.upstream)
	}
	return Choice{Upstream: best.upstream.name(), Reason: best.reason, Expected: best.wait, NeedsLoad: best.needsLoad}, nil
}

// RecordOutcome records the outcome of a request.
func (r *Router) RecordOutcome(now time.Time, outcome Outcome) {
	u := r.upstreams[outcome.Upstream]
	if u == nil {
		return
	}
	u.recordOutcome(now, outcome, r.Settings.TokenTime)
	if u.hasFailed() {
		u.nextProbe = now.Add(r.Settings.ProbeInterval)
	}
}

// ---------------------------------------------------------------------------------------------

// candidate is an upstream that may be chosen. wait is the time until dispatch, total the time that candidates are
// compared by.
type candidate struct {
	upstream  *upstream
	reason    Reason
	wait      time.Duration
	total     time.Duration
	needsLoad bool
}

// candidates appends the upstreams to compare. Among equal ones the first is chosen.
func (r *Router) candidates(now time.Time, query Query, list []candidate) []candidate {
	residents := r.resident[query.Model]
	r.rotation++
	for i := 0; i < len(residents) && len(list) < maxResidentCandidates; i++ {
		u := residents[(i+r.rotation)%len(residents)]
		if r.eligible(now, u, query) && u.isFresh(now, r.Settings.StaleAfter) {
			list = append(list, r.estimate(now, u, query, ReasonResident, 0))
		}
	}
	if l, ok := r.pendingLoads[query.Model]; ok && r.eligible(now, l.upstream, query) && !containsUpstream(list, l.upstream) {
		remaining := max(0, r.Settings.ExpectedLoad-now.Sub(l.since))
		if now.Sub(l.since) < r.Settings.StaleAfter {
			list = append(list, r.estimate(now, l.upstream, query, ReasonHome, remaining))
		}
	}
	return r.appendHomes(now, query, list)
}

// appendHomes appends the upstreams that follow the hash of the version on the ring.
func (r *Router) appendHomes(now time.Time, query Query, list []candidate) []candidate {
	points := r.rings[query.BaseModel]
	reason := ReasonHome
	start := points.start(query.Model)
	found := 0
	for i := 0; i < len(points) && found < maxHomeCandidates; i++ {
		u := points[(start+i)%len(points)].upstream
		if !r.eligible(now, u, query) {
			continue
		}
		if containsUpstream(list, u) {
			continue
		}
		found++
		list = append(list, r.estimate(now, u, query, reason, r.loadCost(now, u)))
		reason = ReasonSpill
	}
	return list
}

func containsUpstream(list []candidate, u *upstream) bool {
	return slices.ContainsFunc(list, func(c candidate) bool { return c.upstream == u })
}

// eligible reports whether the upstream may be chosen at all. One that has failed gets one probe per interval, as in
// a half-open circuit breaker: without probes its recovery would not be noticed, and with all requests each of them
// would fail.
func (r *Router) eligible(now time.Time, u *upstream, query Query) bool {
	if !u.acceptsRequests(now, r.Settings.StaleAfter) || slices.Contains(query.Exclude, u.name()) {
		return false
	}
	return !u.hasFailed() || !now.Before(u.nextProbe)
}

// estimate computes when the request would be completed at the upstream: the wait for a batch slot, the load, and the
// work at the measured speed of the upstream.
func (r *Router) estimate(now time.Time, u *upstream, query Query, reason Reason, load time.Duration) candidate {
	c := candidate{upstream: u, reason: reason, needsLoad: reason != ReasonResident}
	c.wait = u.wait(now, r.Settings.StaleAfter) + load
	c.total = c.wait + r.workTime(now, u, query)
	if u.hasFailed() {
		c.reason = ReasonProbe
	}
	return c
}

// loadCost returns the cost of a load there: its duration, its price, and the price again for each recent request for
// the version that it evicts, which would have to be loaded again.
func (r *Router) loadCost(now time.Time, u *upstream) time.Duration {
	evictions := min(u.summary.Coldest, maxEvictionCost)
	utilization := min(1, r.loadRate.perSecond(now)/r.Settings.LoadRate)
	price := utilization * utilization * float64(r.Settings.LoadPrice)
	return r.Settings.ExpectedLoad + time.Duration((1+evictions)*price)
}

func (r *Router) workTime(now time.Time, u *upstream, query Query) time.Duration {
	return time.Duration(query.Cost * float64(u.speed(now, r.Settings.TokenTime)))
}

// addPendingLoad records where a load is in progress, so that the next request for the version joins it instead of
// starting another load elsewhere.
func (r *Router) addPendingLoad(now time.Time, ref model.Reference, u *upstream) {
	if l, ok := r.pendingLoads[ref]; ok && l.upstream == u && now.Sub(l.since) < r.Settings.StaleAfter {
		return
	}
	if now.Sub(r.lastExpiry) >= r.Settings.StaleAfter {
		r.expirePendingLoads(now)
	}
	r.pendingLoads[ref] = pendingLoad{upstream: u, since: now}
}

// expirePendingLoads drops stale entries. It runs periodically, so that its cost is amortized over many choices.
func (r *Router) expirePendingLoads(now time.Time) {
	r.lastExpiry = now
	for ref, l := range r.pendingLoads {
		if now.Sub(l.since) >= r.Settings.StaleAfter {
			delete(r.pendingLoads, ref)
		}
	}
}

// index replaces the set of versions loaded on the upstream.
func (r *Router) index(u *upstream, loaded []model.Reference) {
	for _, ref := range u.summary.Resident {
		if !slices.Contains(loaded, ref) {
			r.unindex(ref, u)
		}
	}
	for _, ref := range loaded {
		if !slices.Contains(r.resident[ref], u) {
			r.resident[ref] = append(r.resident[ref], u)
		}
		if l, ok := r.pendingLoads[ref]; ok && l.upstream == u {
			delete(r.pendingLoads, ref)
		}
	}
}

// countLoads counts the loads on the upstream since its last summary. All instances receive the summaries of all
// upstreams, so each knows the utilization of the weight store's rate.
func (r *Router) countLoads(now time.Time, u *upstream, summary Summary) {
	if !u.isFresh(now, r.Settings.StaleAfter) || summary.Epoch != u.summary.Epoch {
		return
	}
	for _, ref := range summary.Resident {
		if !slices.Contains(r.resident[ref], u) {
			r.loadRate = r.loadRate.increment(now)
		}
	}
}

// loadsHalfLife is the half-life of the load count: long enough to distinguish one load a second from two, short
// enough to follow a shift in popularity.
const loadsHalfLife = 10 * time.Second

// decayingCount is a count with exponential decay that halves every loadsHalfLife.
type decayingCount struct {
	value     float64
	updatedAt time.Time
}

func (l decayingCount) valueAt(now time.Time) float64 {
	return l.value * math.Exp2(-now.Sub(l.updatedAt).Seconds()/loadsHalfLife.Seconds())
}

func (l decayingCount) increment(now time.Time) decayingCount {
	return decayingCount{value: l.valueAt(now) + 1, updatedAt: now}
}

// perSecond returns the rate of loads a second.
func (l decayingCount) perSecond(now time.Time) float64 {
	return l.valueAt(now) * math.Ln2 / loadsHalfLife.Seconds()
}

func (r *Router) unindex(ref model.Reference, u *upstream) {
	remaining := slices.DeleteFunc(r.resident[ref], func(other *upstream) bool { return other == u })
	if len(remaining) == 0 {
		delete(r.resident, ref)
		return
	}
	r.resident[ref] = remaining
}

// initialize makes the zero value usable, as the exported field is set after construction.
func (r *Router) initialize() {
	if r.resident != nil {
		return
	}
	r.resident = make(map[model.Reference][]*upstream)
	r.pendingLoads = make(map[model.Reference]pendingLoad)
}
