package quota

import (
	"math"
	"time"
)

// thinning.go refuses a part of the requests of a workspace that asks for far more than its rate at many instances,
// before its bucket is in debt.
//
// Without it, all instances find the bucket out of debt at the same moment, and each admits what it is sent until the
// totals of the others arrive. Each admits too little for that to matter by itself, but 66 instances at six times the
// rate admit three seconds of the rate within the half second that the totals take.

const (
	// thinningAbove is the demand, as a multiple of the rate, above which requests are thinned.
	thinningAbove = 2.5
	// ignoredRequests and ignoredFromFull are how many requests of the largest cost are left out of the demand. An
	// instance is asked for a few requests in a second, so that a workspace within its rate at times sends several
	// times its part to one of them. More are left out while the bucket seems at least half full.
	ignoredRequests = 2
	ignoredFromFull = 4
	// minThinningPeers is the number of active peers below which nothing is thinned: fewer peers report to each other
	// at once, since each admits more than unsentLimit.
	minThinningPeers = 16
	// totalsDelay is how long the totals of all instances are assumed to take. A message over relays takes up to a
	// second under load; with a longer delay than this, a part of the rate would not be used.
	totalsDelay = 700 * time.Millisecond
	// demandHalfLife is the half-life of the demand.
	demandHalfLife = 2 * time.Second
	// spreadHalfLife is the half-life of what was admitted, from which the spread of the callers follows. It is
	// longer than demandHalfLife, as an instance admits about one request of a workspace in a second.
	spreadHalfLife = 8 * time.Second
)

// demand is what this instance was asked for recently for one workspace.
type demand struct {
	cost    float64
	largest float64
	at      time.Time
	// highAt is when requests were last thinned, or could have been.
	highAt time.Time
	// own is what this instance admitted recently, and fleet the same for all instances. inTransit is the part of what
	// this instance admitted that is not contained in own and fleet yet.
	own, fleet, inTransit float64
	admittedAt            time.Time
}

// record adds the cost of a request.
func (d *demand) record(now time.Time, cost float64) {
	kept := math.Exp2(-now.Sub(d.at).Seconds() / demandHalfLife.Seconds())
	d.cost = d.cost*kept + cost
	d.largest = max(d.largest*kept, cost)
	d.at = now
}

// refund subtracts the cost of an admitted request that never ran. Callers that are refused elsewhere come back
// several times, and a workspace within its rate would look like one that asks for several times its rate.
func (d *demand) refund(cost float64) {
	d.cost = max(d.cost-cost, 0)
	d.inTransit -= cost
}

// recordAdmitted adds what this instance or another one has admitted. It is negative where a peer returned more than
// that. What this instance admitted counts with a delay, as that of the others does: when a flood begins, it would
// look as if only this instance were asked for more.
func (d *demand) recordAdmitted(now time.Time, own, peers float64) {
	passed := now.Sub(d.admittedAt).Seconds()
	kept := math.Exp2(-passed / spreadHalfLife.Seconds())
	arrived := d.inTransit * (1 - math.Exp2(-passed/totalsDelay.Seconds()))
	d.inTransit += own - arrived
	d.own = max(d.own*kept+arrived, 0)
	d.fleet = max(d.fleet*kept+arrived+peers, 0)
	d.admittedAt = now
}

// instances is the number of instances that a workspace would have if each were asked for as much as this one. count
// is how many there are. It is less where this one admits more than the mean, since load balancers spread callers
// unevenly. The mean is added to both sides: an instance admits too few requests to be compared with it exactly, and
// the demand is thus never estimated at more than twice what the fleet is asked for lastingly, which is less than
// thinningAbove.
func (d *demand) instances(count float64) float64 {
	mean := d.fleet / count
	if mean <= 0 || d.own <= mean {
		return count
	}
	return count * 2 * mean / (d.own + mean)
}

// isHigh reports whether requests were thinned recently. Instances then admit so rarely that those that have not
// admitted lately are likely to do so next.
func (d *demand) isHigh(now time.Time) bool {
	return !d.highAt.IsZero() && now.Sub(d.highAt) <= activeWindow
}

// rate returns the demand in units a second without some requests.
func (d *demand) rate(ignored int) float64 {
	return max(d.cost-float64(ignored)*d.largest, 0) * math.Ln2 / demandHalfLife.Seconds()
}

// isThinned reports whether a request is refused although the bucket is not in debt. The fleet then admits about as
// much as the level allows until its totals have arrived everywhere. The active peers are assumed to be asked for as
// much as this instance, or for less if it has admitted more than they have.
func (l *Ledger) isThinned(now time.Time, workspace string, b *bucket) bool {
	ignored := ignoredRequests
	if !l.isLow(workspace) {
		ignored = ignoredFromFull
	}
	limit := thinningAbove * l.limits[workspace].Rate
	own := b.demand.rate(ignored)
	if own*float64(1+len(l.peers)) < limit {
		return false
	}
	peers := l.activePeerCount(now, workspace)
	asked := own * b.demand.instances(float64(1+peers))
	if peers < minThinningPeers || asked < limit {
		return false
	}
	b.demand.highAt = now
	return l.randomSource().Float64()*asked*totalsDelay.Seconds() > b.level
}
