package policy

import (
	"sort"
	"time"
)

// tally.go counts what came out for callers. Requests that arrive before warm are not counted.

type tally struct {
	requests       int
	withinRate     int
	answered       int
	refusedWithin  int
	stalls         int
	stallTime      time.Duration
	loads          int
	firsts         int
	retries        int
	crashes        int
	lateDispatches int
	evictedServing int
	usefulTime     time.Duration
	burnedTime     time.Duration
	offeredWork    [workspaces]time.Duration
	answeredWork   [workspaces]time.Duration
	firstTokens    [workspaces][]time.Duration
}

func newTally() *tally { return &tally{} }

func counts(r request) bool { return r.at >= warm }

func (t *tally) offered(r request, within bool) {
	if !counts(r) {
		return
	}
	t.requests++
	if !within {
		return
	}
	t.withinRate++
	t.offeredWork[r.workspace] += r.work()
}

func (t *tally) answer(c *call) {
	if !counts(c.request) {
		return
	}
	t.answered++
	t.answeredWork[c.request.workspace] += c.request.work()
	first := c.firstToken - c.request.at
	t.firstTokens[c.request.workspace] = append(t.firstTokens[c.request.workspace], first)
	t.stall(c)
}

// refuse counts a request that was within its workspace's rate and not answered.
func (t *tally) refuse(c *call) {
	if !counts(c.request) || c.request.poison {
		return
	}
	t.refusedWithin++
	t.stall(c)
}

func (t *tally) stall(c *call) {
	if c.waitedLoad > 0 || c.wantedLoad {
		t.stalls++
		t.stallTime += c.waitedLoad
	}
}

func (t *tally) load(at time.Duration) {
	if at >= warm && at < length {
		t.loads++
	}
}

// useful counts the time a batch place worked for an answer, at the speed of a healthy upstream.
func (t *tally) useful(from, to time.Duration, slowness float64) {
	t.usefulTime += time.Duration(float64(inWindow(from, to)) / slowness)
}

// burned counts the time a batch place worked for nothing.
func (t *tally) burned(from, to time.Duration) { t.burnedTime += inWindow(from, to) }

func inWindow(from, to time.Duration) time.Duration {
	return max(0, min(to, length)-max(from, warm))
}

// ---------------------------------------------------------------------------------------------

// efficiency is the share of all batch places' time that worked for answers.
func (t *tally) efficiency() float64 {
	return t.usefulTime.Seconds() / ((length - warm).Seconds() * upstreams * batch)
}

// wrongful is the share of the requests within their rates that were refused.
func (t *tally) wrongful() float64 {
	return float64(t.refusedWithin) / float64(max(t.withinRate, 1))
}

// retryShare is the share of repeated sends in the first ones.
func (t *tally) retryShare() float64 {
	return float64(t.retries) / float64(max(t.firsts, 1))
}

// worstShare is the worst-served workspace's answered work as a share of what is fair: all it asked
// for within its rate, or its weighted part of the places where all cannot be had.
func (t *tally) worstShare() float64 {
	worst := 1.0
	fair := t.fairWork()
	for w, work := range t.answeredWork {
		if fair[w] > 0 {
			worst = min(worst, work.Seconds()/fair[w])
		}
	}
	return worst
}

// fairWork divides the places' time by weight, in seconds; what one does not ask for goes to others.
func (t *tally) fairWork() (fair [workspaces]float64) {
	left := (length - warm).Seconds() * upstreams * batch
	open := make(map[int]bool)
	weight := 0.0
	for w := range workspaces {
		open[w] = true
		weight += shares[w]
	}
	for range workspaces {
		for w := range workspaces {
			asked := t.offeredWork[w].Seconds()
			if open[w] && asked <= left*shares[w]/weight {
				fair[w] = asked
				left -= asked
				weight -= shares[w]
				delete(open, w)
			}
		}
	}
	for w := range workspaces {
		if open[w] {
			fair[w] = left * shares[w] / weight
		}
	}
	return fair
}

// worstFirstToken is the time to the first token that 95 in 100 answers of a workspace keep, of the
// workspace where it is longest.
func (t *tally) worstFirstToken() (worst time.Duration) {
	for _, times := range t.firstTokens {
		if len(times) == 0 {
			continue
		}
		sorted := append([]time.Duration(nil), times...)
		sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
		worst = max(worst, sorted[len(sorted)*95/100])
	}
	return worst
}
