package forecast_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/placement/forecast"
)

// actualEngine is the true latency model of a simulated engine.
type actualEngine struct {
	base       time.Duration
	perToken   time.Duration
	perRunning time.Duration
}

func (t actualEngine) firstEvent(tokens int, backlog forecast.Backlog) time.Duration {
	return t.base + time.Duration(backlog.Prefill+tokens)*t.perToken + time.Duration(backlog.Running)*t.perRunning
}

func (t actualEngine) scaled(factor float64) actualEngine {
	scale := func(d time.Duration) time.Duration { return time.Duration(float64(d) * factor) }
	return actualEngine{base: scale(t.base), perToken: scale(t.perToken), perRunning: scale(t.perRunning)}
}

// randomRequest draws a request as an instance sees them: mostly short and some long prompts, and mostly idle
// engines.
func randomRequest(random *rand.Rand) (tokens int, backlog forecast.Backlog) {
	tokens = 200 + int(random.ExpFloat64()*800)
	if random.IntN(2) == 0 {
		tokens = 2000 + int(random.ExpFloat64()*6000)
	}
	backlog.Running = random.IntN(12)
	if random.IntN(3) == 0 {
		backlog.Prefill = int(random.ExpFloat64() * 5000)
	}
	return tokens, backlog
}

// answersPerSecond is the number of answers a second that an instance of a small fleet sees.
const answersPerSecond = 7

// observe feeds answers of an engine into the forecast, with 10% jitter and one answer in twenty far too late.
func observe(e *forecast.Engine, t actualEngine, random *rand.Rand, answers int) {
	for range answers {
		tokens, backlog := randomRequest(random)
		took := float64(t.firstEvent(tokens, backlog)) * (0.9 + 0.2*random.Float64())
		if random.IntN(20) == 0 {
			took *= 6
		}
		e.Observe(tokens, backlog, time.Duration(took))
	}
}

func assertWithinQuarter(is *is.I, e *forecast.Engine, t actualEngine) {
	is.Helper()
	for _, tokens := range []int{1000, 5000, 10_000} {
		for _, running := range []int{0, 6} {
			backlog := forecast.Backlog{Running: running, Prefill: 1000}
			ratio := float64(e.TimeToFirstEvent(tokens, backlog)) / float64(t.firstEvent(tokens, backlog))
			if ratio < 0.75 || ratio > 1.25 {
				is.Fail() // the forecast differs by more than a quarter
			}
		}
	}
}

// Guards against a forecast that stays at its initial values for engines of unknown speed. Idle engines would look
// full and callers would be refused without reason, or full engines would look idle and callers would wait.
func TestUnknownEnginesAreLearntWithinThreeSeconds(t *testing.T) {
	normal := actualEngine{base: 20 * time.Millisecond, perToken: 50 * time.Microsecond, perRunning: 2 * time.Millisecond}
	for _, factor := range []float64{0.25, 0.5, 1, 2, 4} {
		for seed := range uint64(20) {
			t.Run(fmt.Sprintf("factor=%v/seed=%d", factor, seed), func(t *testing.T) {
				is := is.New(t)
				var e forecast.Engine
				observe(&e, normal.scaled(factor), rand.New(rand.NewPCG(seed, 1)), 3*answersPerSecond)
				assertWithinQuarter(is, &e, normal.scaled(factor))
			})
		}
	}
}

// Guards against instances of a large fleet that each see too few answers, hardly any of them from a loaded engine,
// to estimate the cost of a queue. Requests would be sent to an engine where they wait for seconds.
func TestInstancesThatSeeFewAnswersLearnFromEachOther(t *testing.T) {
	is := is.New(t)
	engine := actualEngine{base: 20 * time.Millisecond, perToken: 150 * time.Microsecond, perRunning: 2 * time.Millisecond}
	const instances = 60
	engines := make([]forecast.Engine, instances)
	var all forecast.Evidence
	for i := range engines {
		observe(&engines[i], engine, rand.New(rand.NewPCG(uint64(i), 3)), 8)
		all = all.AddScaled(engines[i].LocalEvidence(), 1)
	}
	queue := forecast.Backlog{Running: 24, Prefill: 30_000}
	mispredicting := func() (count int) {
		for i := range engines {
			ratio := float64(engines[i].TimeToFirstEvent(1500, queue)) / float64(engine.firstEvent(1500, queue))
			if ratio < 0.75 || ratio > 1.25 {
				count++
			}
		}
		return count
	}
	t.Logf("%d of %d instances mispredict from their own evidence", mispredicting(), instances)
	for i := range engines {
		engines[i].SetPeerEvidence(all.AddScaled(engines[i].LocalEvidence(), -1))
	}
	is.Equal(mispredicting(), 0)
}

// Guards against a forecast that keeps outdated evidence after all engines of a service become slower. New requests
// would look on time when they are sent, and all of them would be late.
func TestForecastFollowsChangeOfSpeed(t *testing.T) {
	normal := actualEngine{base: 20 * time.Millisecond, perToken: 50 * time.Microsecond, perRunning: 2 * time.Millisecond}
	for _, factor := range []float64{0.25, 4} {
		t.Run(fmt.Sprint(factor), func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(7, 7))
			var e forecast.Engine
			observe(&e, normal, random, 60*answersPerSecond)
			observe(&e, normal.scaled(factor), random, 12*answersPerSecond)
			assertWithinQuarter(is, &e, normal.scaled(factor))
		})
	}
}

// Guards against a forecast for plain calls that does not match their latency, which would send half of them to the
// wrong upstream.
func TestServiceForecastConverges(t *testing.T) {
	for _, normal := range []time.Duration{5 * time.Millisecond, 40 * time.Millisecond, 300 * time.Millisecond} {
		is := is.New(t)
		var s forecast.Service
		for range 3 * answersPerSecond {
			s.Observe(0.5, normal*3/2)
		}
		ratio := float64(s.Latency(0)) / float64(normal)
		is.True(ratio > 0.75 && ratio < 1.25)
	}
}

// The end of a load is only found by polling. Polled too late, requests wait for an adapter that is already loaded.
// Polled too early and too often, the upstream answers more polls than requests.
func TestLoadPollsAreTimely(t *testing.T) {
	for _, took := range []time.Duration{25 * time.Millisecond, 80 * time.Millisecond, 250 * time.Millisecond, 900 * time.Millisecond} {
		is := is.New(t)
		load := forecast.LoadTime{InitialEstimate: 250 * time.Millisecond}
		late, polls := time.Duration(0), 0
		const loads, learning = 60, 20
		for i := range loads {
			at := load.FirstPollDelay()
			first := true
			count := 1
			for ; at < took; at += load.PollInterval() {
				first = false
				count++
			}
			load.Observe(at, first)
			if i >= learning {
				late += at - took
				polls += count
			}
		}
		measured := loads - learning
		is.True(late/time.Duration(measured) <= took/5)
		is.True(polls <= 4*measured)
	}
}
