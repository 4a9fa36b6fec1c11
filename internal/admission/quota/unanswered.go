package quota

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// unanswered.go bounds what an instance admits where its coordinator does not answer and the workspace was over its rate a
// moment ago. The estimate of the bucket lacks what the others have admitted since their last totals. Without this bound,
// all instances find the debt paid at the same moment and admit what they are sent for a second or two.

// overRateWindow is how long after a workspace was over its rate an instance keeps to its share if it gets no verdict: twice
// the time that totals take in a busy fleet, so that the debt has reached every estimate.
const overRateWindow = 4 * time.Second

// overRateDebt is the debt of an estimate, as a part of the burst, from which on the workspace counts as over its rate. A
// workspace within its rate has a smaller one at times, also when its bucket has just begun to fill.
const overRateDebt = 0.25

// unansweredShare is what an instance may still admit of its share of a workspace's rate. It is negative after a request
// that costs more than the share had gained.
type unansweredShare struct {
	level     float64
	updatedAt time.Time
}

// recordOverRate records a verdict of the coordinator.
func (b *bucket) recordOverRate(now time.Time, verdict OverRate) {
	if until := now.Add(verdict.Closed); until.After(b.closedUntil) {
		b.closedUntil = until
	}
	b.overRateAt = b.closedUntil
}

// wasOverRate reports whether the workspace was over its rate a moment ago, by a verdict or by this estimate.
func (b *bucket) wasOverRate(now time.Time, limit Limit) bool {
	if b.level <= -overRateDebt*limit.Burst && b.overRateAt.Before(now) {
		b.overRateAt = now
	}
	return !b.overRateAt.IsZero() && now.Sub(b.overRateAt) <= overRateWindow
}

// admitUnanswered decides about a request for which the coordinator gave no verdict.
func (l *Ledger) admitUnanswered(now time.Time, workspace string, cost float64) Decision {
	b := l.buckets[workspace]
	if !b.wasOverRate(now, l.limits[workspace]) {
		b.share = unansweredShare{}
		return l.admitEstimated(now, workspace, cost)
	}
	if !l.hasShareLeft(now, workspace, cost) {
		b.demand.record(now, cost)
		return Refused{RetryAfter: l.scheduleRetry(now, workspace, cost)}
	}
	decision := l.admitEstimated(now, workspace, cost)
	if _, admitted := decision.(Admitted); admitted {
		b.share.level -= cost
	}
	return decision
}

// hasShareLeft reports whether this instance has not used its share of the rate. The share begins with a random part of
// the first request's cost missing: in a large fleet a request costs more than the share of a second, and the instances
// would all admit their first one at once.
func (l *Ledger) hasShareLeft(now time.Time, workspace string, cost float64) bool {
	b := l.buckets[workspace]
	share := 1 / float64(1+len(l.peers))
	limit := l.limits[workspace]
	if b.share.updatedAt.IsZero() {
		b.share = unansweredShare{level: -l.randomSource().Float64() * cost, updatedAt: now}
	}
	gained := limit.Rate * share * now.Sub(b.share.updatedAt).Seconds()
	b.share.level = min(b.share.level+gained, limit.Burst*share)
	b.share.updatedAt = now
	return b.share.level > 0
}

// randomSource returns the source of random numbers, which differs between instances.
func (l *Ledger) randomSource() *rand.Rand {
	if l.random == nil {
		l.random = rand.New(rand.NewPCG(xxhash.Sum64String(l.Self), 0))
	}
	return l.random
}
