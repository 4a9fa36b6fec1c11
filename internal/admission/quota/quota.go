// Package quota holds each workspace to its rate and burst over all instances together. Every instance
// tells the others, in its heartbeats, how much it has admitted in all; each keeps its own estimate of
// the fleet's bucket from what it hears. The caller reads the runtime's clock and passes the time in.
//
// Made for a balancer that spreads callers unevenly and for one workspace that sends many times its
// rate. Equal shares would refuse a workspace whose callers all reach one instance. An instance that asks
// another first would refuse or wait whenever that one is away. With an estimate, two instances can admit
// against the same tokens until they hear of each other; the bucket then is in debt, and nothing is
// admitted until the debt is paid. So over any time the fleet admits at most rate times time, the burst,
// and what arrives within one heartbeat.
package quota

import (
	"maps"
	"time"
)

// silentAfter is how long a peer may be unheard until its possible admissions are reserved, as long as
// SilentAfter is not set: some heartbeats, so that one lost heartbeat reserves nothing.
const silentAfter = 800 * time.Millisecond

// Limit is what a workspace bought.
type Limit struct {
	Rate  float64
	Burst float64
}

// Totals is what an instance has admitted for each workspace since it started.
type Totals map[string]float64

// Ledger is one instance's estimate of all buckets. Set Self before use. It is not safe for use by
// several goroutines.
type Ledger struct {
	Self string
	// PeerTimeout is how long a peer may be unheard; it follows the pace of the heartbeats.
	PeerTimeout time.Duration

	limits  map[string]Limit
	buckets map[string]*bucket
	own     Totals
	peers   map[string]*peer
	// told is what this instance had admitted when it last told all others.
	told Totals
	// toldAll is when all peers were last told of a workspace, not only those that admit for it too.
	toldAll map[string]time.Time
}

// bucket is the estimate for one workspace. Its level is negative while it is in debt.
type bucket struct {
	level float64
	at    time.Time
	// scheduled are the refused requests that were told when to retry, and scheduledCost what they cost.
	scheduled     []scheduledRetry
	scheduledCost float64
}

// scheduledRetry is a refused request whose caller was told when to retry.
type scheduledRetry struct {
	due  time.Time
	cost float64
}

// peer is another instance: what it told last, and what was reserved for it since.
type peer struct {
	incarnation string
	heard       time.Time
	// spent is nil until the peer has told all that it admitted, partly what it told of some workspaces before.
	spent    Totals
	partly   Totals
	reserved Totals
	// admitted is when it was last heard to have admitted something for a workspace.
	admitted map[string]time.Time
}

// SetLimits takes over what is declared. A bucket that is new starts empty: an instance that has just
// started does not know what was admitted right before, and after a restart of the whole fleet a full
// bucket would be the second within the same seconds.
func (l *Ledger) SetLimits(now time.Time, limits map[string]Limit) {
	l.prepare()
	l.advance(now)
	l.limits = limits
	for workspace, limit := range limits {
		b := l.buckets[workspace]
		if b == nil {
			l.buckets[workspace] = &bucket{at: now}
			continue
		}
		b.level = min(b.level, limit.Burst)
	}
	for workspace := range l.buckets {
		if _, found := limits[workspace]; !found {
			delete(l.buckets, workspace)
		}
	}
}

// SetPeers tells which other instances may be admitting.
func (l *Ledger) SetPeers(now time.Time, names []string) {
	l.prepare()
	l.advance(now)
	known := make(map[string]*peer, len(names))
	for _, name := range names {
		p := l.peers[name]
		if p == nil {
			p = &peer{heard: now, reserved: Totals{}, admitted: make(map[string]time.Time)}
		}
		known[name] = p
	}
	l.peers = known
}

// MergeTotals takes note of what a peer has admitted in all. What was reserved for it while it was silent is
// settled against what it really admitted.
func (l *Ledger) MergeTotals(now time.Time, name, incarnation string, spent Totals) {
	l.prepare()
	p := l.peers[name]
	if p == nil {
		return
	}
	l.advance(now)
	p.heard = now
	first := p.spent == nil
	before := p.spent
	if p.incarnation != incarnation {
		p.incarnation = incarnation
		before = nil
	}
	if !first {
		for workspace, total := range spent {
			l.deduct(workspace, total-before[workspace])
			if total > before[workspace] {
				p.admitted[workspace] = now
			}
		}
	}
	for workspace, reserved := range p.reserved {
		l.deduct(workspace, -reserved)
	}
	p.spent = maps.Clone(spent)
	if p.spent == nil {
		p.spent = Totals{}
	}
	p.reserved = Totals{}
}

// MergePartialTotals takes note of what a peer has admitted in all for some workspaces, those for which it has admitted lately.
//
// Made for a large fleet, in which instances share all that they admitted only every few seconds. A workspace that asks
// for more than its rate would be admitted by all of them until they hear of each other, and then by none until the debt
// is paid.
func (l *Ledger) MergePartialTotals(now time.Time, name, incarnation string, spent Totals) {
	p := l.peers[name]
	if p == nil {
		return
	}
	l.advance(now)
	if p.incarnation != incarnation && p.spent != nil {
		return // all that the new incarnation admitted comes before long
	}
	for workspace, total := range spent {
		before, known := p.spent[workspace]
		if p.spent == nil {
			before, known = p.partly[workspace]
		}
		if known || p.spent != nil {
			l.deduct(workspace, total-before)
			p.admitted[workspace] = now
		}
		p.note(workspace, total)
	}
}

// note keeps what a peer told of one workspace.
func (p *peer) note(workspace string, total float64) {
	if p.spent != nil {
		p.spent[workspace] = total
		return
	}
	if p.partly == nil {
		p.partly = Totals{}
	}
	p.partly[workspace] = total
}

// Admit takes a request's cost, or says when to come back. A request is admitted while the bucket is not
// in debt, also if it costs more than is there: else one that costs more than the burst could never run.
func (l *Ledger) Admit(now time.Time, workspace string, cost float64) (retryAfter time.Duration, admitted bool) {
	limit, limited := l.limits[workspace]
	if !limited || limit.Rate <= 0 {
		return 0, true
	}
	l.advance(now)
	b := l.buckets[workspace]
	if b.level <= 0 {
		return l.scheduleRetry(now, workspace, cost), false
	}
	b.level -= cost
	l.own[workspace] += cost
	return 0, true
}

// Refund gives back what an admitted request that never ran had taken.
func (l *Ledger) Refund(workspace string, cost float64) {
	if _, limited := l.limits[workspace]; !limited {
		return
	}
	l.deduct(workspace, -cost)
	l.own[workspace] -= cost
}

const (
	// lowPart: a bucket that is less full than this may be emptied by others before they are heard.
	lowPart = 0.5
	// tellAfter is how much of a workspace's rate an instance may admit from a low bucket without telling, in
	// seconds of that rate. At saturation the fleet then tells at most some thirty times a second for a workspace;
	// a smaller part would cost more messages than the requests themselves.
	tellAfter = 0.03
	// mostUntold is how much all instances together may admit from a low bucket without telling, in the same unit. With
	// two hundred of them that admit alike, the part of each is less than one request.
	mostUntold = 0.3
	// activeFor is how long an instance that admitted for a workspace is taken to go on: some heartbeats, also
	// where there are many instances.
	activeFor = 8 * time.Second
)

// TakeUrgentRecipients lists the peers that should hear at once what this instance has admitted, and takes it that they will:
// those that admit for the same workspace, and now and then all. The callers of one reach some of the instances
// only, and to tell all of them each time would cost a large fleet more than all its heartbeats. But those that
// begin have to be known to the others first, and to hear from them, which their answers do.
//
// Made for a large fleet, whose heartbeats come every few seconds, and one workspace that sends many times its
// rate to all instances: each would admit against the same tokens until the next heartbeat.
func (l *Ledger) TakeUrgentRecipients(now time.Time) (names []string) {
	for workspace, spent := range l.own {
		if l.isTight(workspace) && spent-l.told[workspace] >= l.tellAfter(now, workspace)*l.limits[workspace].Rate {
			l.told = maps.Clone(l.own)
			return l.toTell(now, workspace)
		}
	}
	return nil
}

// tellAfter is how much of a workspace's rate this instance may admit without telling, in seconds of that rate.
func (l *Ledger) tellAfter(now time.Time, workspace string) float64 {
	return min(tellAfter, mostUntold/float64(1+l.admitting(now, workspace)))
}

// toTell lists the peers that admitted for a workspace lately, or all if those were not told for as long.
func (l *Ledger) toTell(now time.Time, workspace string) (names []string) {
	all := now.Sub(l.toldAll[workspace]) > activeFor
	if all {
		l.toldAll[workspace] = now
	}
	for name, p := range l.peers {
		if at, found := p.admitted[workspace]; all || found && now.Sub(at) <= activeFor {
			names = append(names, name)
		}
	}
	return names
}

// OwnTotals is what this instance has admitted.
func (l *Ledger) OwnTotals() Totals { return maps.Clone(l.own) }

// ChangedSince gives the workspaces for which more or less was admitted than before.
func (s Totals) ChangedSince(before Totals) Totals {
	changed := Totals{}
	for workspace, spent := range s {
		if spent != before[workspace] {
			changed[workspace] = spent
		}
	}
	return changed
}

// isTight tells whether a workspace's bucket may be emptied by others before they are heard.
func (l *Ledger) isTight(workspace string) bool {
	limit := l.limits[workspace]
	b := l.buckets[workspace]
	return b != nil && limit.Rate > 0 && b.level <= lowPart*limit.Burst
}

// ---------------------------------------------------------------------------------------------

// leastRetryAfter keeps callers from asking again at once when a bucket is almost out of debt.
const leastRetryAfter = 50 * time.Millisecond

// mostStagger bounds how far retries are spread beyond the end of the debt. A generation should begin within a
// second of its caller's first try; a retry that comes later is late whatever happens to it. At several times the
// rate the schedule would grow for seconds, and the tokens go to requests that are late.
const mostStagger = 600 * time.Millisecond

// scheduleRetry tells a refused request when to retry: once the debt is paid, and the requests that were refused
// before it have had their turn. Where the schedule is full, chance decides among those who retry.
//
// Made for a wave of requests of one workspace that is over its rate for some seconds. Told only when the debt
// will be paid, all of them retry in that moment; the first is admitted and the others are refused again. The
// other instances that admit for the workspace are taken to refuse as many as this one.
func (l *Ledger) scheduleRetry(now time.Time, workspace string, cost float64) time.Duration {
	b := l.buckets[workspace]
	rate := l.limits[workspace].Rate
	b.dropDue(now)
	ahead := b.scheduledCost * float64(1+l.admitting(now, workspace))
	turn := time.Duration(ahead / rate * float64(time.Second))
	wait := leastRetryAfter + time.Duration(-b.level/rate*float64(time.Second))
	if turn > mostStagger {
		return wait
	}
	wait += turn
	b.scheduled = append(b.scheduled, scheduledRetry{due: now.Add(wait), cost: cost})
	b.scheduledCost += cost
	return wait
}

// dropDue drops the retries that are due by now. Each is due after the one before it, or the bucket has gained
// since, so they are nearly in order.
func (b *bucket) dropDue(now time.Time) {
	for len(b.scheduled) > 0 && !now.Before(b.scheduled[0].due) {
		b.scheduledCost -= b.scheduled[0].cost
		b.scheduled = b.scheduled[1:]
	}
	if len(b.scheduled) == 0 {
		b.scheduledCost = 0 // adding and subtracting fractions leaves a remainder
	}
}

// admitting counts the other instances that admitted for a workspace lately.
func (l *Ledger) admitting(now time.Time, workspace string) (count int) {
	for _, p := range l.peers {
		if at, found := p.admitted[workspace]; found && now.Sub(at) <= activeFor {
			count++
		}
	}
	return count
}

// advance fills the buckets. Each silent peer may be cut off and admitting its part, which is not ours to
// give out; nor may the bucket hold more than the parts of those who are heard. So an instance that hears
// nobody gives out its own part, whatever the others do.
func (l *Ledger) advance(now time.Time) {
	var silent []*peer
	for _, p := range l.peers {
		if l.isSilent(now, p) {
			silent = append(silent, p)
		}
	}
	part := 1 / float64(len(l.peers)+1)
	heard := 1 - float64(len(silent))*part
	for workspace, b := range l.buckets {
		limit := l.limits[workspace]
		gained := limit.Rate * now.Sub(b.at).Seconds()
		b.at = now
		b.level += gained
		for _, p := range silent {
			p.reserved[workspace] += gained * part
			b.level -= gained * part
		}
		b.level = min(b.level, limit.Burst*heard)
	}
}

func (l *Ledger) isSilent(now time.Time, p *peer) bool {
	return now.Sub(p.heard) > max(l.PeerTimeout, silentAfter)
}

// deduct changes the level by what was admitted elsewhere.
func (l *Ledger) deduct(workspace string, amount float64) {
	b := l.buckets[workspace]
	if b == nil {
		return
	}
	b.level = min(b.level-amount, l.limits[workspace].Burst)
}

// prepare makes the zero value usable.
func (l *Ledger) prepare() {
	if l.buckets == nil {
		l.buckets = make(map[string]*bucket)
		l.peers = make(map[string]*peer)
		l.own = Totals{}
		l.toldAll = make(map[string]time.Time)
	}
}
