package pool

import "time"

// cold.go bounds what upstreams get that have just started. They are slow for some seconds, and crash when the fleet
// sends them more than they bear. Requests go to others as long as there are any; what goes to a cold upstream all the
// same is admitted by its holder, which counts for all instances.

const (
	// coldRateUsed leaves a part of what a cold upstream bears for requests that arrive bunched, and for those of an
	// instance that does not know yet that it is cold.
	coldRateUsed = 0.9
	// coldBurst is how many requests a cold upstream gets at once.
	coldBurst = 1
	// longestCold bounds how long an upstream counts as cold, whatever it states.
	longestCold = time.Minute
)

// cold is what is known of how long an upstream is cold, and of what it may still get.
type cold struct {
	// statedUntil is when it stops being cold as it stated last; assumedUntil the same where it may be cold without
	// having stated it yet.
	statedUntil  time.Time
	assumedUntil time.Time
	// budget is the requests that it may get by now, as of refilled, where this instance holds it.
	budget   float64
	refilled time.Time
	// fullUntil is when its holder is expected to admit another request, by its last refusal.
	fullUntil time.Time
}

// state takes note of how much longer an upstream states to be cold.
func (c *cold) state(now time.Time, left time.Duration) {
	c.statedUntil = now.Add(min(left, longestCold))
}

// assume takes an upstream to be cold from now on, as long as a start takes.
func (c *cold) assume(now time.Time, start time.Duration) {
	c.assumedUntil = now.Add(min(start, longestCold))
}

func (c *cold) holds(now time.Time) bool {
	return now.Before(c.statedUntil) || now.Before(c.assumedUntil)
}

// isCold reports whether what an upstream gets has to be bounded.
func (p *Pool) isCold(now time.Time, u *upstream) bool {
	return p.coldStarts[u.declared.Service].rate > 0 && u.cold.holds(now)
}

// coldStart is what a service's upstreams bear while they are cold, and how long that takes.
type coldStart struct {
	rate   float64
	length time.Duration
}

// assumeCold takes the upstreams of a data centre to be cold: they may have become so while they got nothing, and
// their entries show it late.
func (p *Pool) assumeCold(now time.Time, dataCentre string) {
	for _, u := range p.upstreams {
		if u.declared.DataCentre == dataCentre {
			u.cold.assume(now, p.coldStarts[u.declared.Service].length)
		}
	}
}

// AdmitCold admits a request at an upstream that this instance holds if it is not cold, or bears one more. Otherwise it
// returns when it will.
func (p *Pool) AdmitCold(now time.Time, id string) (retryAfter time.Duration, admitted bool) {
	u := p.upstreams[id]
	if u == nil || !p.isCold(now, u) {
		return 0, true
	}
	rate := coldRateUsed * p.coldStarts[u.declared.Service].rate
	c := &u.cold
	c.budget = min(c.budget+rate*now.Sub(c.refilled).Seconds(), coldBurst)
	c.refilled = now
	if c.budget < 1 {
		return time.Duration((1 - c.budget) / rate * float64(time.Second)), false
	}
	c.budget--
	return 0, true
}

// RefusedCold takes note that a cold upstream's holder admits no request for a while.
func (p *Pool) RefusedCold(now time.Time, id string, retryAfter time.Duration) {
	if u := p.upstreams[id]; u != nil {
		u.cold.fullUntil = now.Add(retryAfter)
	}
}
