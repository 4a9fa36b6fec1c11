package quota

import (
	"maps"
	"time"
)

// coordinator.go charges requests at one instance for the whole fleet: the coordinator of the workspace.
//
// The totals of others take 0.1 to 1.5 s in a large fleet, and an instance may be asked for two requests of a workspace
// in a second. When the workspace begins to send several times its rate, each instance alone finds the bucket full and
// its own demand small, and the fleet admits more than the limit before anyone can know. The coordinator knows each
// admission within a round trip. Without a coordinator that answers, an instance decides from its own estimate.
//
// The coordinator keeps no state of its own: it is the peer that learns totals first, and any other can replace it. A
// charge states the total of the instance, so that lost replies and a new coordinator need no repair.

// Coordinator is who decides about a workspace for the fleet: Self or Peer, nil if nobody does.
type Coordinator interface{ isCoordinator() }

// Self means that this instance decides.
type Self struct{}

// Peer means that another instance decides.
type Peer struct{ Name, Address string }

func (Self) isCoordinator() {}
func (Peer) isCoordinator() {}

// Charge asks the coordinator of a workspace to charge the cost of a request.
type Charge struct {
	Instance    string
	Incarnation string
	// Version increases with each charge of the instance, also over restarts.
	Version   int64
	Workspace string
	// Cost is what the request takes, and Total what the instance has admitted for the workspace in total with it, in
	// units.
	Cost, Total float64
}

// Verdict is the answer to a charge: Charged, OverRate or Unanswered.
type Verdict interface{ isVerdict() }

// Charged means that the request is admitted.
type Charged struct{}

// OverRate means that the workspace is over its rate. The request may come again after RetryAfter, and the instance
// refuses other requests of the workspace itself for the time Closed.
type OverRate struct{ RetryAfter, Closed time.Duration }

// Unanswered means that no coordinator decided: it did not answer in time, or has not known the fleet for long enough.
type Unanswered struct{}

func (Charged) isVerdict()    {}
func (OverRate) isVerdict()   {}
func (Unanswered) isVerdict() {}

// Decision is what happens to a request: Admitted, Refused or Asked.
type Decision interface{ isDecision() }

// Admitted means that the request is charged. Estimated: no coordinator was asked, so that the other instances should
// learn of it soon.
type Admitted struct{ Estimated bool }

// Refused means that the workspace is over its rate.
type Refused struct{ RetryAfter time.Duration }

// Asked means that the coordinator has to be asked. Its verdict goes to Finish.
type Asked struct{ Charge Charge }

func (Admitted) isDecision() {}
func (Refused) isDecision()  {}
func (Asked) isDecision()    {}

// settleTime is how long after its start a ledger decides for nobody else. Its buckets begin empty, and it has the
// totals of the others after a second or two.
const settleTime = 3 * time.Second

// maxUnasked is how much all instances together may admit for a workspace without asking its coordinator, in seconds of
// its rate. All peers count, whether they have admitted for it or not: a flood that begins reaches all at once.
const maxUnasked = 0.2

// Begin decides about a request, or returns the charge that the coordinator has to be asked for. Asked charges count as
// admitted until Finish. Where they are small, several requests are admitted before the coordinator is asked.
func (l *Ledger) Begin(now time.Time, workspace string, cost float64, coordinator Coordinator) Decision {
	limit, limited := l.limits[workspace]
	if !limited || limit.Rate <= 0 {
		return Admitted{}
	}
	switch coordinator.(type) {
	case Self:
		return l.admitAsCoordinator(now, workspace, cost)
	case Peer:
		return l.beginCharge(now, workspace, cost)
	}
	return l.admitEstimated(now, workspace, cost)
}

func (l *Ledger) beginCharge(now time.Time, workspace string, cost float64) Decision {
	l.refill(now)
	b := l.buckets[workspace]
	if now.Before(b.closedUntil) {
		b.demand.record(now, cost)
		return Refused{RetryAfter: l.returnAfter(now, workspace, cost, b.closedUntil.Sub(now), 1+l.activePeerCount(now, workspace))}
	}
	unasked := l.own[workspace] + cost - b.asked
	if b.level > 0 && unasked < maxUnasked/float64(1+len(l.peers))*l.limits[workspace].Rate {
		l.charge(now, workspace, cost)
		return Admitted{}
	}
	l.own[workspace] += cost
	return Asked{Charge: Charge{Instance: l.Self, Workspace: workspace, Cost: cost, Total: l.own[workspace]}}
}

// Finish applies the verdict on a charge. Without one, the instance decides from its own estimate.
func (l *Ledger) Finish(now time.Time, charge Charge, verdict Verdict) Decision {
	l.own[charge.Workspace] -= charge.Cost
	b := l.buckets[charge.Workspace]
	if b == nil {
		return Admitted{} // the limit was removed meanwhile
	}
	l.refill(now)
	switch verdict := verdict.(type) {
	case Charged:
		b.demand.record(now, charge.Cost)
		l.charge(now, charge.Workspace, charge.Cost)
		b.asked = max(b.asked, charge.Total)
		return Admitted{}
	case OverRate:
		b.demand.record(now, charge.Cost)
		b.recordOverRate(now, verdict)
		return Refused{RetryAfter: verdict.RetryAfter}
	}
	return l.admitUnanswered(now, charge.Workspace, charge.Cost)
}

// FinishLate applies a verdict that came after the request had been decided without one.
func (l *Ledger) FinishLate(now time.Time, charge Charge, verdict Verdict) {
	b := l.buckets[charge.Workspace]
	if b == nil {
		return // the limit was removed meanwhile
	}
	switch verdict := verdict.(type) {
	case Charged:
		b.asked = max(b.asked, min(charge.Total, l.own[charge.Workspace]))
	case OverRate:
		b.recordOverRate(now, verdict)
	}
}

// Decide decides about a charge of another instance, as the coordinator of its workspace.
func (l *Ledger) Decide(now time.Time, charge Charge) Verdict {
	limit, limited := l.limits[charge.Workspace]
	if !limited || limit.Rate <= 0 || !l.isSettled(now) {
		return Unanswered{}
	}
	l.refill(now)
	l.mergeCharge(now, charge)
	b := l.buckets[charge.Workspace]
	if b.level+charge.Cost > 0 {
		return Charged{}
	}
	l.withdrawCharge(charge)
	wait := l.returnAfter(now, charge.Workspace, charge.Cost, l.debt(charge.Workspace), 1)
	return OverRate{RetryAfter: wait, Closed: wait - minRetryAfter}
}

// mergeCharge deducts what the instance has admitted since its last known total, with the charge.
func (l *Ledger) mergeCharge(now time.Time, charge Charge) {
	p := l.peers[charge.Instance]
	if p == nil {
		l.deduct(charge.Workspace, charge.Cost) // the roster lacks the instance
		return
	}
	if p.chargeVersions[charge.Workspace] >= charge.Version {
		return // a later charge of the instance arrived first, and its total has this cost
	}
	if p.chargeVersions == nil {
		p.chargeVersions = make(map[string]int64)
	}
	p.chargeVersions[charge.Workspace] = charge.Version
	p.beginIncarnation(charge.Incarnation)
	before, known := p.total(charge.Workspace)
	if !known {
		before = charge.Total - charge.Cost
	}
	l.deductAdmitted(now, charge.Workspace, charge.Total-before)
	p.lastAdmitted[charge.Workspace] = now
	p.setTotal(charge.Workspace, charge.Total)
}

// withdrawCharge takes back a charge that was merged and is refused.
func (l *Ledger) withdrawCharge(charge Charge) {
	l.deduct(charge.Workspace, -charge.Cost)
	p := l.peers[charge.Instance]
	if p == nil {
		return
	}
	if total, known := p.total(charge.Workspace); known {
		p.setTotal(charge.Workspace, total-charge.Cost)
	}
}

// WithCharged returns totals of a peer from a record with a version, with those replaced that are older than the last
// charge of the peer, or missing because they are. Charges arrive within milliseconds and records within a second or
// more, so that an old total would return the costs that were charged since.
func (l *Ledger) WithCharged(name string, version int64, totals Totals) Totals {
	p := l.peers[name]
	if p == nil {
		return totals
	}
	replaced := totals
	copied := false
	for workspace, charged := range p.chargeVersions {
		if charged <= version {
			delete(p.chargeVersions, workspace)
			continue
		}
		if total, known := p.total(workspace); known {
			if !copied {
				replaced, copied = maps.Clone(totals), true
			}
			replaced[workspace] = total
		}
	}
	return replaced
}

// ---------------------------------------------------------------------------------------------

// admitAsCoordinator decides about a request of this instance, which knows what all others have charged.
func (l *Ledger) admitAsCoordinator(now time.Time, workspace string, cost float64) Decision {
	if !l.isSettled(now) {
		return l.admitEstimated(now, workspace, cost)
	}
	l.refill(now)
	b := l.buckets[workspace]
	b.demand.record(now, cost)
	if l.isBeyondShare(now, workspace) {
		return Refused{RetryAfter: isolatedRetryAfter}
	}
	if b.level <= 0 {
		return Refused{RetryAfter: l.returnAfter(now, workspace, cost, l.debt(workspace), 1)}
	}
	l.charge(now, workspace, cost)
	return Admitted{}
}

func (l *Ledger) admitEstimated(now time.Time, workspace string, cost float64) Decision {
	retryAfter, admitted := l.Admit(now, workspace, cost)
	if !admitted {
		return Refused{RetryAfter: retryAfter}
	}
	return Admitted{Estimated: true}
}

// returnAfter returns when a refused request should come back, where the coordinator decides: in turn, or with the last of
// the schedule if it is full. The coordinator admits as the bucket gains, so that coming back sooner would only add to the
// requests that are refused.
func (l *Ledger) returnAfter(now time.Time, workspace string, cost float64, debt time.Duration, instances int) time.Duration {
	wait, scheduled := l.scheduleAfter(now, workspace, cost, debt, instances)
	if !scheduled {
		wait += maxStagger
	}
	return wait
}

// debt returns how long the bucket of a workspace needs until it is out of debt.
func (l *Ledger) debt(workspace string) time.Duration {
	return time.Duration(max(-l.buckets[workspace].level, 0) / l.limits[workspace].Rate * float64(time.Second))
}

// charge takes the cost of an admitted request from the bucket.
func (l *Ledger) charge(now time.Time, workspace string, cost float64) {
	b := l.buckets[workspace]
	b.level -= cost
	b.addSinceContact(l.contactAt, cost)
	b.demand.recordAdmitted(now, cost, 0)
	l.own[workspace] += cost
}

// isSettled reports whether the ledger has known its limits and peers for long enough to decide for others.
func (l *Ledger) isSettled(now time.Time) bool {
	return !l.completeSince.IsZero() && now.Sub(l.completeSince) >= settleTime
}

// recordComplete records since when limits and peers have been known.
func (l *Ledger) recordComplete(now time.Time) {
	if l.completeSince.IsZero() && l.peers != nil && l.limits != nil {
		l.completeSince = now
	}
}

// total returns the last known total of a workspace.
func (p *peer) total(workspace string) (total float64, known bool) {
	if p.totals != nil {
		return p.totals[workspace], true
	}
	total, known = p.partialTotals[workspace]
	return total, known
}

// beginIncarnation forgets the totals of an earlier incarnation of a peer: the new one counts from zero.
func (p *peer) beginIncarnation(incarnation string) {
	if p.incarnation == incarnation {
		return
	}
	if p.incarnation != "" {
		p.totals = Totals{}
		p.partialTotals = nil
	}
	p.incarnation = incarnation
}
