package pool_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

// fifo simulates an engine that prefills one prompt after the other, at the speed that forecasts assume initially.
type fifo struct {
	free time.Time
}

const perToken = 50 * time.Microsecond

// prefill returns when a prompt that is sent now has its first event.
func (f *fifo) prefill(now time.Time, tokens int) time.Time {
	if f.free.Before(now) {
		f.free = now
	}
	f.free = f.free.Add(time.Duration(tokens) * perToken)
	return f.free.Add(25 * time.Millisecond)
}

// burst simulates requests that arrive for some seconds at a multiple of what two engines can prefill.
type burst struct {
	refuse    bool
	times     float64
	objective time.Duration
	// largeEvery makes every n-th prompt too long to be on time, even at an idle engine.
	largeEvery int
}

// outcome counts the results of the requests.
type outcome struct {
	asked, onTime, refused  int
	largeAsked, largeServed int
	retries                 []time.Duration
}

// run sends the requests of a burst. Its forecasts come from the observed answers, as in an instance.
func (b burst) run(is *is.I) (o outcome) {
	is.Helper()
	p := newPool("e1", "e2")
	resident(p, "e1", "a")
	resident(p, "e2", "a")
	engines := map[string]*fifo{"e1": {}, "e2": {}}
	random := rand.New(rand.NewPCG(1, 2))
	const tokens = 4000
	gap := time.Duration(float64(tokens*perToken) / 2 / b.times)
	type event struct {
		at      time.Time
		attempt *pool.Attempt
	}
	var due []event
	began := time.Now()
	for end := began.Add(15 * time.Second); time.Now().Before(end); {
		time.Sleep(time.Duration(float64(gap) * (0.5 + random.Float64())))
		now := time.Now()
		rest := due[:0]
		for _, one := range due {
			if one.at.After(now) {
				rest = append(rest, one)
				continue
			}
			one.attempt.RecordAnswer(one.at)
			p.Finish(now, one.attempt, pool.EndServed)
		}
		due = rest
		query := generation("a")
		query.Tokens = tokens
		large := b.largeEvery > 0 && o.asked%b.largeEvery == 0
		if large {
			query.Tokens = 6 * tokens
			o.largeAsked++
		}
		o.asked++
		choice, err := p.Choose(now, query)
		is.NoErr(err)
		budget := pool.TimeBudget{OnTime: b.objective, Remaining: 5 * b.objective, Objective: b.objective}
		if retryAfter, refused := p.Refuse(now, query, choice, budget); refused && b.refuse {
			o.refused++
			o.retries = append(o.retries, now.Sub(began)+retryAfter)
			continue
		}
		attempt := p.Begin(now, choice, query)
		first := engines[choice.Upstream.ID].prefill(now, query.Tokens)
		due = append(due, event{at: first, attempt: attempt})
		if large {
			o.largeServed++
		}
		if first.Sub(now) <= b.objective {
			o.onTime++
		}
	}
	return o
}

// Guards against collapse under overload. One and a half times the capacity arrives for a quarter of a minute. If
// all requests are sent, the queues inside the engines grow longer than any caller can wait, and soon none is on
// time although the engines are busy all the time. If late requests are refused at once, as many are on time as the
// engines can serve.
func TestSaturationKeepsThroughputOnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		full := burst{refuse: true, times: 1, objective: time.Second}.run(is)
		sent := burst{refuse: false, times: 1.5, objective: time.Second}.run(is)
		refusing := burst{refuse: true, times: 1.5, objective: time.Second}.run(is)
		is.True(sent.onTime < refusing.onTime/2)                           // without refusals: collapse
		is.True(float64(refusing.onTime) >= 0.95*float64(full.onTime))     // as many as at capacity
		is.True(float64(full.refused) <= 0.03*float64(full.asked))         // at capacity hardly any request is refused
		is.True(float64(refusing.refused) <= 0.45*float64(refusing.asked)) // a third cannot be served
	})
}

// Guards against refusing prompts for being long. A tenth of the prompts of a saturated service are so long that
// they are late at an idle engine. If they were refused for that, their callers would never be served, whenever
// they retry.
func TestLongestPromptsAreServedUnderSaturation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := burst{refuse: true, times: 1, objective: time.Second, largeEvery: 12}.run(is)
		is.True(o.largeServed >= o.largeAsked/2)
	})
}

// Guards against synchronised retries: many callers are refused in the same second, and would all be refused again
// if they retried at the same moment.
func TestRefusedCallersRetryAtDifferentTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := burst{refuse: true, times: 4, objective: time.Second}.run(is)
		together := map[time.Duration]int{}
		for _, at := range o.retries {
			together[at/(20*time.Millisecond)]++
		}
		most := 0
		for _, count := range together {
			most = max(most, count)
		}
		is.True(len(o.retries) > 100)
		is.True(most <= 3)
	})
}

// Streams at a service pause for too long during the prefill of other prompts, and later no longer do. Prompts take
// turns as long as that helps; engines that do not need it prefill more without.
func TestTurnsAreTakenWhereStreamsPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool("e1")
		resident(p, "e1", "a")
		_, attempt := place(is, p, generation("a"))
		is.True(!p.PromptsTakeTurns(engines))
		for i := range 40 {
			attempt.RecordPause(i%5 == 0)
		}
		is.True(p.PromptsTakeTurns(engines))
		for range 60 {
			attempt.RecordPause(false)
		}
		is.True(!p.PromptsTakeTurns(engines))
	})
}
