package pool

import "time"

// cold.go limits the requests to upstreams that have just started. They are slow for some seconds, and crash if the
// fleet sends them more than they can handle. Requests go to other upstreams as long as there are any. Requests
// that go to a cold upstream nonetheless are admitted by its holder, which counts for all instances.

const (
	// coldRateFraction leaves a part of a cold upstream's rate for requests that arrive in bunches, and for those
	// of an instance that does not know yet that the upstream is cold.
	coldRateFraction = 0.9
	// coldBurst is the burst size of the rate limit: how many requests a cold upstream gets at once.
	coldBurst = 1
	// maxColdTime bounds how long an upstream counts as cold, whatever it states.
	maxColdTime = time.Minute
)

// cold tracks how long an upstream is cold, and the requests that it may still get.
type cold struct {
	// statedUntil is the end of the cold period by the upstream's last statement. assumedUntil is the end where it
	// may be cold without having stated it yet.
	statedUntil  time.Time
	assumedUntil time.Time
	// budget is the number of requests that it may get now, as of refilled. It is used at the instance that holds
	// the upstream.
	budget   float64
	refilled time.Time
	// fullUntil is when its holder is expected to admit another request, by the last refusal.
	fullUntil time.Time
}

// recordStated records how much longer an upstream states to be cold.
func (c *cold) recordStated(now time.Time, left time.Duration) {
	c.statedUntil = now.Add(min(left, maxColdTime))
}

// assume treats an upstream as cold from now on, for the length of a start.
func (c *cold) assume(now time.Time, start time.Duration) {
	c.assumedUntil = now.Add(min(start, maxColdTime))
}

func (c *cold) isActive(now time.Time) bool {
	return now.Before(c.statedUntil) || now.Before(c.assumedUntil)
}

// isCold reports whether an upstream is cold, so that the requests to it have to be limited.
func (p *Pool) isCold(now time.Time, u *upstream) bool {
	return p.coldStarts[u.declared.Service].rate > 0 && u.cold.isActive(now)
}

// coldStart is the rate that a service's upstreams can handle while they are cold, and how long that lasts.
type coldStart struct {
	rate   float64
	length time.Duration
}

// assumeCold treats the upstreams of a data centre as cold: they may have restarted while they got no requests, and
// their entries show it late.
func (p *Pool) assumeCold(now time.Time, dataCentre string) {
	for _, u := range p.upstreams {
		if u.declared.DataCentre == dataCentre {
			u.cold.assume(now, p.coldStarts[u.declared.Service].length)
		}
	}
}

// AdmitCold admits a request at an upstream that this instance holds if the upstream is not cold or can take one
// more. Otherwise it returns the time until it will admit one.
func (p *Pool) AdmitCold(now time.Time, id string) (retryAfter time.Duration, admitted bool) {
	u := p.upstreams[id]
	if u == nil || !p.isCold(now, u) {
		return 0, true
	}
	rate := coldRateFraction * p.coldStarts[u.declared.Service].rate
	c := &u.cold
	c.budget = min(c.budget+rate*now.Sub(c.refilled).Seconds(), coldBurst)
	c.refilled = now
	if c.budget < 1 {
		return time.Duration((1 - c.budget) / rate * float64(time.Second)), false
	}
	c.budget--
	return 0, true
}

// RecordColdRefusal records that the holder of a cold upstream admits no request until retryAfter has passed.
func (p *Pool) RecordColdRefusal(now time.Time, id string, retryAfter time.Duration) {
	if u := p.upstreams[id]; u != nil {
		u.cold.fullUntil = now.Add(retryAfter)
	}
}
