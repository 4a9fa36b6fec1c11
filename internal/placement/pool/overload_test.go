package pool_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

// fifo is an engine that reads one prompt after the other, as fast as the guesses have it.
type fifo struct {
	free time.Time
}

const perToken = 50 * time.Microsecond

// read tells when a prompt that is sent now has its first event.
func (f *fifo) read(now time.Time, tokens int) time.Time {
	if f.free.Before(now) {
		f.free = now
	}
	f.free = f.free.Add(time.Duration(tokens) * perToken)
	return f.free.Add(25 * time.Millisecond)
}

// burst is requests that come for some seconds at a multiple of what two engines can read.
type burst struct {
	refuse    bool
	times     float64
	objective time.Duration
	// largeEvery makes each so many-th prompt too long to be on time, even at an idle engine.
	largeEvery int
}

// outcome counts what became of the requests.
type outcome struct {
	asked, onTime, refused  int
	largeAsked, largeServed int
	retries                 []time.Duration
}

// play sends the requests of a burst. Its forecasts come from what it sees, as in an instance.
func (b burst) play(is *is.I) (o outcome) {
	is.Helper()
	p := newPool("e1", "e2")
	resident(p, "e1", "a")
	resident(p, "e2", "a")
	engines := map[string]*fifo{"e1": {}, "e2": {}}
	random := rand.New(rand.NewPCG(1, 2))
	const tokens = 4000
	gap := time.Duration(float64(tokens*perToken) / 2 / b.times)
	type event struct {
		at   time.Time
		send *pool.Send
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
			one.send.Answered(one.at)
			p.Finish(now, one.send, pool.EndServed)
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
		patience := pool.Patience{OnTime: b.objective, Left: 5 * b.objective, Objective: b.objective}
		if retryAfter, refused := p.Refuse(now, query, choice, patience); refused && b.refuse {
			o.refused++
			o.retries = append(o.retries, now.Sub(began)+retryAfter)
			continue
		}
		send := p.Begin(now, choice, query)
		first := engines[choice.Upstream.ID].read(now, query.Tokens)
		due = append(due, event{at: first, send: send})
		if large {
			o.largeServed++
		}
		if first.Sub(now) <= b.objective {
			o.onTime++
		}
	}
	return o
}

// One and a half times what fits comes for a quarter of a minute. If all are sent, the queues inside the engines grow
// past every caller's patience, and soon nobody is on time although the engines are busy all the while. With the
// latecomers refused at once, as many are on time as the engines can serve.
func TestSaturationKeepsThroughputOnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		full := burst{refuse: true, times: 1, objective: time.Second}.play(is)
		sent := burst{refuse: false, times: 1.5, objective: time.Second}.play(is)
		refusing := burst{refuse: true, times: 1.5, objective: time.Second}.play(is)
		is.True(sent.onTime < refusing.onTime/2)                           // nobody refused: collapse
		is.True(float64(refusing.onTime) >= 0.95*float64(full.onTime))     // as many as fit
		is.True(float64(full.refused) <= 0.03*float64(full.asked))         // at what fits hardly anybody is refused
		is.True(float64(refusing.refused) <= 0.45*float64(refusing.asked)) // a third cannot be served
	})
}

// A tenth of the prompts of a saturated service are so long that they are late at an idle engine. Refused for that,
// their callers would never be served, whenever they come back.
func TestLongestPromptsAreServedUnderSaturation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := burst{refuse: true, times: 1, objective: time.Second, largeEvery: 12}.play(is)
		is.True(o.largeServed >= o.largeAsked/2)
	})
}

// Many callers are refused in the same second. Told to come back at the same moment they would all be refused again.
func TestRefusedCallersComeBackAtDifferentTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := burst{refuse: true, times: 4, objective: time.Second}.play(is)
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

// Streams at a service pause for too long while prompts are read, and later they do not any more. Prompts take turns
// as long as that helps; engines that do not need it read more without.
func TestTurnsAreTakenWhereStreamsPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool("e1")
		resident(p, "e1", "a")
		_, send := place(is, p, generation("a"))
		is.True(!p.InTurn(engines))
		for i := range 40 {
			send.Paused(i%5 == 0)
		}
		is.True(p.InTurn(engines))
		for range 60 {
			send.Paused(false)
		}
		is.True(!p.InTurn(engines))
	})
}
