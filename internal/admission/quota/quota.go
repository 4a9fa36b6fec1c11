// Package quota enforces each workspace's rate and burst across all instances. One instance coordinates each workspace:
// the others charge their requests there, see coordinator.go. Every instance also sends the others, in its heartbeats,
// the total that it has admitted. Each keeps its own estimate of the fleet-wide token bucket from these totals, and
// decides from it where no coordinator answers. The caller reads the clock and passes the time in.
//
// The design handles load balancers that spread callers unevenly, and a workspace that sends many times its rate.
// Equal shares would refuse a workspace whose callers all reach one instance. Without a coordinator, two instances can
// admit against the same tokens until they receive each other's totals; the bucket is then in debt, and nothing is
// admitted until the debt is paid. So over any period the fleet then admits at most rate times time, plus the burst, plus
// what arrives within one heartbeat.
package quota

import (
	"maps"
	"math/rand/v2"
	"time"
)

// minPeerTimeout is the minimum time without a heartbeat after which a share is reserved for a peer: several
// heartbeats, so that one lost heartbeat reserves nothing.
const minPeerTimeout = 800 * time.Millisecond

// Limit is the rate and burst that a workspace bought.
type Limit struct {
	Rate  float64
	Burst float64
}

// Totals are the costs that an instance has admitted in total for each workspace since it started.
type Totals map[string]float64

// Ledger is one instance's estimate of all buckets. Set Self before use. It is not safe for concurrent use.
type Ledger struct {
	Self string
	// PeerTimeout is how long a peer may be silent before a share is reserved for it; it depends on the heartbeat
	// interval. Values below minPeerTimeout have no effect.
	PeerTimeout time.Duration

	limits  map[string]Limit
	buckets map[string]*bucket
	own     Totals
	// peers are the other instances. They are nil until they are known, and no bucket gains anything before: with whom the
	// rates are shared is not known then.
	peers map[string]*peer
	// oldestSeen is a time since which all peers have been heard, so that refill need not look at each of them; zero
	// if unknown.
	oldestSeen time.Time
	// sentTotals are this instance's totals when it last sent them urgently.
	sentTotals Totals
	// sentToAll is when the totals were last sent urgently to all peers because of a workspace, and not only to the
	// peers that admit for it.
	sentToAll map[string]time.Time
	// fleet is what FleetTotals has added up.
	fleet fleetCount
	// random decides which requests are thinned, and when an instance uses its share without a verdict.
	random *rand.Rand
	// completeSince is since when limits and peers have been known; zero if they are not.
	completeSince time.Time
	// contactAt is when the last message of another instance arrived; zero if none has.
	contactAt time.Time
}

// bucket is the estimate for one workspace. Its level is negative while it is in debt.
type bucket struct {
	level     float64
	updatedAt time.Time
	// fullAt is when the bucket was last full.
	fullAt time.Time
	// scheduled are the refused requests that got a retry time, and scheduledCost is their total cost.
	scheduled     []scheduledRetry
	scheduledCost float64
	demand        demand
	// closedUntil is how long this instance refuses requests itself, as the coordinator has said.
	closedUntil time.Time
	// overRateAt is when the workspace was last known to be over its rate, and share what this instance may admit after
	// that without a verdict.
	overRateAt time.Time
	share      unansweredShare
	// asked is the total of this instance up to which the coordinator was asked.
	asked float64
	// sinceContact is what this instance has admitted since the contact with another one at contactAt.
	sinceContact float64
	contactAt    time.Time
}

// scheduledRetry is a refused request that got a retry time.
type scheduledRetry struct {
	due  time.Time
	cost float64
}

// peer is another instance: the totals last received from it, and the share reserved for it since.
type peer struct {
	incarnation string
	lastSeen    time.Time
	// totals is nil until the peer has sent all its totals; partialTotals holds those of some workspaces received
	// before.
	totals        Totals
	partialTotals Totals
	reserved      Totals
	// lastAdmitted is when a received total of a workspace last showed that the peer had admitted something.
	lastAdmitted map[string]time.Time
	// chargeVersions are the versions of the last charges of the peer, until a newer record of it arrives.
	chargeVersions map[string]int64
}

// SetLimits installs the declared limits. A new bucket starts empty: an instance that has just started does not
// know what was admitted right before, and after a restart of the whole fleet a full bucket would grant the burst
// twice within the same seconds.
func (l *Ledger) SetLimits(now time.Time, limits map[string]Limit) {
	l.initialize()
	l.refill(now)
	l.limits = limits
	for workspace, limit := range limits {
		b := l.buckets[workspace]
		if b == nil {
			l.buckets[workspace] = &bucket{updatedAt: now}
			continue
		}
		b.level = min(b.level, limit.Burst)
	}
	for workspace := range l.buckets {
		if _, found := limits[workspace]; !found {
			delete(l.buckets, workspace)
		}
	}
	l.recordComplete(now)
}

// SetPeers sets which other instances may be admitting requests.
func (l *Ledger) SetPeers(now time.Time, names []string) {
	l.initialize()
	l.refill(now)
	peers := make(map[string]*peer, len(names))
	for _, name := range names {
		p := l.peers[name]
		if p == nil {
			p = &peer{lastSeen: now, reserved: Totals{}, lastAdmitted: make(map[string]time.Time)}
		}
		peers[name] = p
	}
	l.peers = peers
	l.oldestSeen = time.Time{}
	l.recordComplete(now)
}

// MergeTotals merges a peer's totals. The share that was reserved for the peer while it was silent is replaced by
// what it really admitted.
func (l *Ledger) MergeTotals(now time.Time, name, incarnation string, totals Totals) {
	l.initialize()
	p := l.peers[name]
	if p == nil {
		return
	}
	l.refill(now)
	p.lastSeen = now
	first := p.totals == nil
	before := p.totals
	if p.incarnation != incarnation {
		p.incarnation = incarnation
		before = nil
	}
	if !first {
		for workspace, total := range totals {
			l.deductAdmitted(now, workspace, total-before[workspace])
			if total > before[workspace] {
				p.lastAdmitted[workspace] = now
			}
		}
	}
	for workspace, reserved := range p.reserved {
		l.deduct(workspace, -reserved)
	}
	p.totals = maps.Clone(totals)
	if p.totals == nil {
		p.totals = Totals{}
	}
	p.reserved = Totals{}
}

// MergePartialTotals merges a peer's totals of some workspaces: those for which it has admitted recently.
//
// In a large fleet, instances exchange all totals only every few seconds. Without partial updates, all instances
// would admit a workspace that exceeds its rate until they receive each other's totals, and would then admit
// nothing until the debt is paid.
func (l *Ledger) MergePartialTotals(now time.Time, name, incarnation string, totals Totals) {
	p := l.peers[name]
	if p == nil {
		return
	}
	l.refill(now)
	if p.incarnation != incarnation && p.totals != nil {
		return // all totals of the new incarnation arrive shortly
	}
	for workspace, total := range totals {
		before, known := p.totals[workspace]
		if p.totals == nil {
			before, known = p.partialTotals[workspace]
		}
		if known || p.totals != nil {
			l.deductAdmitted(now, workspace, total-before)
			p.lastAdmitted[workspace] = now
		}
		p.setTotal(workspace, total)
	}
}

// setTotal records a peer's total of one workspace.
func (p *peer) setTotal(workspace string, total float64) {
	if p.totals != nil {
		p.totals[workspace] = total
		return
	}
	if p.partialTotals == nil {
		p.partialTotals = Totals{}
	}
	p.partialTotals[workspace] = total
}

// Admit takes a request's cost from the bucket, or returns when to retry. A request is admitted while the bucket is
// not in debt, even if it costs more than the level: otherwise a request that costs more than the burst could never
// run.
func (l *Ledger) Admit(now time.Time, workspace string, cost float64) (retryAfter time.Duration, admitted bool) {
	limit, limited := l.limits[workspace]
	if !limited || limit.Rate <= 0 {
		return 0, true
	}
	l.refill(now)
	b := l.buckets[workspace]
	b.demand.record(now, cost)
	if l.isBeyondShare(now, workspace) {
		return isolatedRetryAfter, false
	}
	if b.level <= 0 || l.isThinned(now, workspace, b) {
		return l.scheduleRetry(now, workspace, cost), false
	}
	l.charge(now, workspace, cost)
	return 0, true
}

// Refund returns the cost of a request that was charged at some time and never ran. If the bucket has been full since then,
// it has regained the cost already, and to return it again would admit more than the burst.
func (l *Ledger) Refund(workspace string, cost float64, chargedAt time.Time) {
	b := l.buckets[workspace]
	if b == nil {
		return
	}
	b.demand.refund(cost)
	if b.fullAt.After(chargedAt) {
		return
	}
	l.deduct(workspace, -cost)
	l.own[workspace] -= cost
	b.asked = min(b.asked, l.own[workspace]) // what is admitted in its place has to be asked for
}

const (
	// lowLevel is the part of the burst below which other instances may empty the bucket before their totals
	// arrive.
	lowLevel = 0.5
	// maxUnsent is how much of a workspace's rate an instance may admit from a low bucket without sending its
	// totals, in seconds of that rate. At saturation the fleet then sends urgent updates at most some thirty times
	// a second for a workspace; with a smaller value the messages would cost more than the requests themselves.
	maxUnsent = 0.03
	// maxFleetUnsent is how much all instances together may admit from a low bucket without sending their totals,
	// in the same unit. With two hundred instances that admit equally, the part of each is less than one request.
	maxFleetUnsent = 0.3
	// activeWindow is how long an instance that admitted for a workspace counts as active for it: several heartbeats,
	// also in a large fleet.
	activeWindow = 8 * time.Second
)

// TakeUrgentRecipients returns the peers to which this instance must send its totals at once, and marks the totals
// as sent. These are the peers that admit for the same workspace, and from time to time all peers. A workspace's
// callers reach only some of the instances, and sending to all peers each time would cost a large fleet more than
// all its heartbeats. But instances that start to admit must first become known to the others and receive their
// totals; the replies to an update to all do that.
//
// In a large fleet heartbeats are sent only every few seconds. If a workspace sends many times its rate to all
// instances, each would admit against the same tokens until the next heartbeat.
func (l *Ledger) TakeUrgentRecipients(now time.Time) (names []string) {
	for workspace, total := range l.own {
		if l.mustSend(now, workspace) && total-l.sentTotals[workspace] >= l.unsentLimit(now, workspace)*l.limits[workspace].Rate {
			l.sentTotals = maps.Clone(l.own)
			return l.urgentRecipients(now, workspace)
		}
	}
	return nil
}

// unsentLimit returns how much of a workspace's rate this instance may admit without sending its totals, in seconds
// of that rate.
func (l *Ledger) unsentLimit(now time.Time, workspace string) float64 {
	return min(maxUnsent, maxFleetUnsent/float64(1+l.activePeerCount(now, workspace)))
}

// urgentRecipients returns the peers that admitted for a workspace recently, or all peers if the last update to all
// is longer ago than activeWindow, or if requests are thinned.
func (l *Ledger) urgentRecipients(now time.Time, workspace string) (names []string) {
	b := l.buckets[workspace]
	all := now.Sub(l.sentToAll[workspace]) > activeWindow || b != nil && b.demand.isHigh(now)
	if all {
		l.sentToAll[workspace] = now
	}
	for name, p := range l.peers {
		if at, found := p.lastAdmitted[workspace]; all || found && now.Sub(at) <= activeWindow {
			names = append(names, name)
		}
	}
	return names
}

// OwnTotals returns this instance's totals.
func (l *Ledger) OwnTotals() Totals { return maps.Clone(l.own) }

// ChangedSince returns the totals that differ from those before.
func (s Totals) ChangedSince(before Totals) Totals {
	changed := Totals{}
	for workspace, total := range s {
		if total != before[workspace] {
			changed[workspace] = total
		}
	}
	return changed
}

// isLow reports whether other instances may empty a workspace's bucket before their totals arrive.
func (l *Ledger) isLow(workspace string) bool {
	limit := l.limits[workspace]
	b := l.buckets[workspace]
	return b != nil && limit.Rate > 0 && b.level <= lowLevel*limit.Burst
}

// mustSend reports whether other instances need to learn at once what this instance admits for a workspace. While
// requests are thinned, the level may be anywhere.
func (l *Ledger) mustSend(now time.Time, workspace string) bool {
	b := l.buckets[workspace]
	return l.isLow(workspace) || b != nil && b.demand.isHigh(now)
}

// ---------------------------------------------------------------------------------------------

// minRetryAfter keeps callers from retrying at once when a bucket is almost out of debt.
const minRetryAfter = 50 * time.Millisecond

// maxStagger bounds how far retries are staggered beyond the end of the debt. A generation should begin within a
// second of its caller's first attempt; a later retry is late in any case. At several times the rate the schedule
// would otherwise grow to seconds, and the tokens would go to requests that are already late.
const maxStagger = 600 * time.Millisecond

// scheduleRetry returns when a refused request should retry: once the debt is paid and the requests refused before
// it have had their turn. If the schedule is full, the request gets the end of the debt as its retry time, and
// chance decides which of these requests is admitted.
//
// Staggering handles a spike of requests of a workspace that exceeds its rate for some seconds. If all were given
// the end of the debt, all would retry at that moment; the first would be admitted and the others refused again.
// The other instances that admit for the workspace are assumed to refuse as many requests as this one.
func (l *Ledger) scheduleRetry(now time.Time, workspace string, cost float64) time.Duration {
	b := l.buckets[workspace]
	wait, scheduled := l.scheduleAfter(now, workspace, cost, l.debt(workspace), 1+l.activePeerCount(now, workspace))
	if !scheduled && b.level > 0 {
		wait += maxStagger // chance decides, and coming back sooner would only add to the demand
	}
	return wait
}

// scheduleAfter schedules a request that may come back after a debt, where a number of instances refuse as many requests
// as this one. If the schedule is full, it returns the end of the debt.
func (l *Ledger) scheduleAfter(now time.Time, workspace string, cost float64, debt time.Duration, instances int) (wait time.Duration, scheduled bool) {
	b := l.buckets[workspace]
	b.dropDue(now)
	costAhead := b.scheduledCost * float64(instances)
	stagger := time.Duration(costAhead / l.limits[workspace].Rate * float64(time.Second))
	wait = minRetryAfter + debt
	if stagger > maxStagger {
		return wait, false
	}
	wait += stagger
	b.scheduled = append(b.scheduled, scheduledRetry{due: now.Add(wait), cost: cost})
	b.scheduledCost += cost
	return wait, true
}

// dropDue drops the retries that are due. Each is due after the one before it, unless the bucket has gained in
// between, so they are nearly in order.
func (b *bucket) dropDue(now time.Time) {
	for len(b.scheduled) > 0 && !now.Before(b.scheduled[0].due) {
		b.scheduledCost -= b.scheduled[0].cost
		b.scheduled = b.scheduled[1:]
	}
	if len(b.scheduled) == 0 {
		b.scheduledCost = 0 // floating-point rounding leaves a remainder
	}
}

// activePeerCount returns how many other instances admitted for a workspace recently.
func (l *Ledger) activePeerCount(now time.Time, workspace string) (count int) {
	for _, p := range l.peers {
		if at, found := p.lastAdmitted[workspace]; found && now.Sub(at) <= activeWindow {
			count++
		}
	}
	return count
}

// refill refills the buckets. A silent peer may be partitioned and still admitting its share, so this instance must
// not hand that share out, and the bucket's level is capped at the shares of the reachable instances. An instance
// that reaches no peer hands out only its own share, whatever the others do.
func (l *Ledger) refill(now time.Time) {
	silent := l.silentPeers(now)
	share := 1 / float64(len(l.peers)+1)
	reachable := 1 - float64(len(silent))*share
	for workspace, b := range l.buckets {
		limit := l.limits[workspace]
		gained := limit.Rate * now.Sub(b.updatedAt).Seconds()
		b.updatedAt = now
		if l.peers == nil {
			continue
		}
		b.level += gained
		for _, p := range silent {
			p.reserved[workspace] += gained * share
			b.level -= gained * share
		}
		if full := limit.Burst * reachable; b.level >= full {
			b.level, b.fullAt = full, now
		}
	}
}

// silentPeers returns the peers that have been silent for too long. It is called for each request and message, and
// looks at the peers only if one may be silent.
func (l *Ledger) silentPeers(now time.Time) (silent []*peer) {
	if !l.oldestSeen.IsZero() && !l.isSilent(now, l.oldestSeen) {
		return nil
	}
	l.oldestSeen = now
	for _, p := range l.peers {
		if p.lastSeen.Before(l.oldestSeen) {
			l.oldestSeen = p.lastSeen
		}
		if l.isSilent(now, p.lastSeen) {
			silent = append(silent, p)
		}
	}
	return silent
}

func (l *Ledger) isSilent(now, lastSeen time.Time) bool {
	return now.Sub(lastSeen) > max(l.PeerTimeout, minPeerTimeout)
}

// deductAdmitted subtracts what a peer has admitted from the level.
func (l *Ledger) deductAdmitted(now time.Time, workspace string, amount float64) {
	l.deduct(workspace, amount)
	if b := l.buckets[workspace]; b != nil {
		b.demand.recordAdmitted(now, 0, amount)
	}
}

// deduct subtracts what was admitted elsewhere from the level.
func (l *Ledger) deduct(workspace string, amount float64) {
	b := l.buckets[workspace]
	if b == nil {
		return
	}
	b.level = min(b.level-amount, l.limits[workspace].Burst)
}

// initialize makes the zero value usable.
func (l *Ledger) initialize() {
	if l.buckets == nil {
		l.buckets = make(map[string]*bucket)
		l.own = Totals{}
		l.sentToAll = make(map[string]time.Time)
	}
}
