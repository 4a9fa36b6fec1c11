package contention

import "time"

// waited.go estimates how long a caller has been waiting. Callers are not identified.

// allowanceWindow is the time over which the longest allowance of a route is known.
const allowanceWindow = 10 * time.Second

// allowance is the longest time that callers of a route have stated to wait, in the current window and in the one
// before. Callers that come back after a refusal have less time left and state less; those that come for the first
// time state the longest. The limit of the route does not serve for this, since all callers of a route may state
// less.
type allowance struct {
	longest [2]time.Duration
	from    time.Time
}

// waited records how long a caller waits from now on, and returns how long it has been waiting.
func (a *allowance) waited(now time.Time, allowed time.Duration) time.Duration {
	if passed := now.Sub(a.from); passed >= allowanceWindow {
		a.longest = [2]time.Duration{0, a.longest[0]}
		if passed >= 2*allowanceWindow {
			a.longest[1] = 0
		}
		a.from = now
	}
	a.longest[0] = max(a.longest[0], allowed)
	return max(a.longest[0], a.longest[1]) - allowed
}

// waited returns how long the caller of a request has been waiting before it arrived, 0 if that is not known.
func (c *Controller) waited(now time.Time, request Request) time.Duration {
	if request.Allowed <= 0 {
		return 0
	}
	a := c.allowances[request.Route]
	if a == nil {
		if c.allowances == nil {
			c.allowances = make(map[string]*allowance)
		}
		a = &allowance{}
		c.allowances[request.Route] = a
	}
	return a.waited(now, request.Allowed)
}
