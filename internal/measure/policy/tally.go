package policy

import (
	"sort"
	"time"
)

// tally.go counts the outcomes for callers. Requests that arrive before warmUp are not counted.

type tally struct {
	requests         int
	withinRate       int
	answered         int
	wrongfulRefusals int
	stalls           int
	stallTime        time.Duration
	loads            int
	firstAttempts    int
	retries          int
	crashes          int
	lateDispatches   int
	evictedServing   int
	usefulTime       time.Duration
	wastedTime       time.Duration
	offeredWork      [workspaces]time.Duration
	answeredWork     [workspaces]time.Duration
	firstTokens      [workspaces][]time.Duration
}

func newTally() *tally { return &tally{} }

func isCounted(r request) bool { return r.at >= warmUp }

func (t *tally) recordOffered(r request, within bool) {
	if !isCounted(r) {
		return
	}
	t.requests++
	if !within {
		return
	}
	t.withinRate++
	t.offeredWork[r.workspace] += r.work()
}

func (t *tally) recordAnswer(c *call) {
	if !isCounted(c.request) {
		return
	}
	t.answered++
	t.answeredWork[c.request.workspace] += c.request.work()
	first := c.firstToken - c.request.at
	t.firstTokens[c.request.workspace] = append(t.firstTokens[c.request.workspace], first)
	t.recordStall(c)
}

// recordRefusal counts a request that was within its workspace's rate limit and was not answered.
func (t *tally) recordRefusal(c *call) {
	if !isCounted(c.request) || c.request.poison {
		return
	}
	t.wrongfulRefusals++
	t.recordStall(c)
}

func (t *tally) recordStall(c *call) {
	if c.waitedLoad > 0 || c.neededLoad {
		t.stalls++
		t.stallTime += c.waitedLoad
	}
}

func (t *tally) recordLoad(at time.Duration) {
	if at >= warmUp && at < caseLength {
		t.loads++
	}
}

// recordUseful adds the time that a batch slot spent on an answered request, at the speed of a healthy upstream.
func (t *tally) recordUseful(from, to time.Duration, slowdown float64) {
	t.usefulTime += time.Duration(float64(measuredPart(from, to)) / slowdown)
}

// recordWasted adds the time that a batch slot spent on a request that was lost.
func (t *tally) recordWasted(from, to time.Duration) { t.wastedTime += measuredPart(from, to) }

func measuredPart(from, to time.Duration) time.Duration {
	return max(0, min(to, caseLength)-max(from, warmUp))
}

// ---------------------------------------------------------------------------------------------

// efficiency returns the share of all batch slots' time spent on answered requests.
func (t *tally) efficiency() float64 {
	return t.usefulTime.Seconds() / ((caseLength - warmUp).Seconds() * upstreams * batchSlots)
}

// wrongfulShare returns the share of the requests within their rate limits that were refused.
func (t *tally) wrongfulShare() float64 {
	return float64(t.wrongfulRefusals) / float64(max(t.withinRate, 1))
}

// retryShare returns the ratio of retries to first attempts.
func (t *tally) retryShare() float64 {
	return float64(t.retries) / float64(max(t.firstAttempts, 1))
}

// worstShare returns the worst-served workspace's answered work as a share of its fair share: all work that it
// offered within its rate limit, or, if the capacity is not enough, its weighted part of the batch slots.
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

// fairWork divides the batch slots' time by weight, in seconds. Time that one workspace does not need is shared by
// the others (max-min fairness).
func (t *tally) fairWork() (fair [workspaces]float64) {
	remaining := (caseLength - warmUp).Seconds() * upstreams * batchSlots
	unsatisfied := make(map[int]bool)
	weight := 0.0
	for w := range workspaces {
		unsatisfied[w] = true
		weight += trafficShares[w]
	}
	for range workspaces {
		for w := range workspaces {
			asked := t.offeredWork[w].Seconds()
			if unsatisfied[w] && asked <= remaining*trafficShares[w]/weight {
				fair[w] = asked
				remaining -= asked
				weight -= trafficShares[w]
				delete(unsatisfied, w)
			}
		}
	}
	for w := range workspaces {
		if unsatisfied[w] {
			fair[w] = remaining * trafficShares[w] / weight
		}
	}
	return fair
}

// worstFirstToken returns the 95th percentile of the time to first token, of the workspace where it is
// longest.
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
