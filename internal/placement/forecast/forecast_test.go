package forecast_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/placement/forecast"
)

// truth is an engine as it really is.
type truth struct {
	base    time.Duration
	token   time.Duration
	running time.Duration
}

func (t truth) firstEvent(tokens int, backlog forecast.Backlog) time.Duration {
	return t.base + time.Duration(backlog.Prefill+tokens)*t.token + time.Duration(backlog.Running)*t.running
}

func (t truth) times(factor float64) truth {
	scale := func(d time.Duration) time.Duration { return time.Duration(float64(d) * factor) }
	return truth{base: scale(t.base), token: scale(t.token), running: scale(t.running)}
}

// draw is a request as an instance sees them: mostly short and some long prompts, and mostly idle engines.
func draw(random *rand.Rand) (tokens int, backlog forecast.Backlog) {
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

// sec is the answers that an instance of a small fleet sees in a second.
const sec = 7

// observe shows an engine's answers, with a tenth of scatter and one in twenty far too late.
func observe(e *forecast.Engine, t truth, random *rand.Rand, answers int) {
	for range answers {
		tokens, backlog := draw(random)
		took := float64(t.firstEvent(tokens, backlog)) * (0.9 + 0.2*random.Float64())
		if random.IntN(20) == 0 {
			took *= 6
		}
		e.Observe(tokens, backlog, time.Duration(took))
	}
}

func isWithinAQuarter(is *is.I, e *forecast.Engine, t truth) {
	is.Helper()
	for _, tokens := range []int{1000, 5000, 10_000} {
		for _, running := range []int{0, 6} {
			backlog := forecast.Backlog{Running: running, Prefill: 1000}
			ratio := float64(e.TimeToFirstEvent(tokens, backlog)) / float64(t.firstEvent(tokens, backlog))
			if ratio < 0.75 || ratio > 1.25 {
				is.Fail() // the forecast is off by more than a quarter
			}
		}
	}
}

// A deployment has engines that nobody has described. By figures of other engines each of them looks idle when it is
// full, or full when it is idle: callers are refused for no reason, or all sent where they wait.
func TestUnknownEnginesAreLearntWithinThreeSeconds(t *testing.T) {
	usual := truth{base: 20 * time.Millisecond, token: 50 * time.Microsecond, running: 2 * time.Millisecond}
	for _, factor := range []float64{0.25, 0.5, 1, 2, 4} {
		for seed := range uint64(20) {
			t.Run(fmt.Sprintf("factor=%v/seed=%d", factor, seed), func(t *testing.T) {
				is := is.New(t)
				var e forecast.Engine
				observe(&e, usual.times(factor), rand.New(rand.NewPCG(seed, 1)), 3*sec)
				isWithinAQuarter(is, &e, usual.times(factor))
			})
		}
	}
}

// Guards against instances of a large fleet that each see too few answers, hardly any of them of a loaded engine, to
// tell what a queue costs: requests go on to an engine where some wait for seconds.
func TestInstancesThatSeeFewAnswersLearnFromEachOther(t *testing.T) {
	is := is.New(t)
	engine := truth{base: 20 * time.Millisecond, token: 150 * time.Microsecond, running: 2 * time.Millisecond}
	const instances = 60
	engines := make([]forecast.Engine, instances)
	var all forecast.Evidence
	for i := range engines {
		observe(&engines[i], engine, rand.New(rand.NewPCG(uint64(i), 3)), 8)
		all = all.AddScaled(engines[i].LocalEvidence(), 1)
	}
	queue := forecast.Backlog{Running: 24, Prefill: 30_000}
	misled := func() (count int) {
		for i := range engines {
			ratio := float64(engines[i].TimeToFirstEvent(1500, queue)) / float64(engine.firstEvent(1500, queue))
			if ratio < 0.75 || ratio > 1.25 {
				count++
			}
		}
		return count
	}
	t.Logf("%d of %d instances misled by what each has seen itself", misled(), instances)
	for i := range engines {
		engines[i].SetPeerEvidence(all.AddScaled(engines[i].LocalEvidence(), -1))
	}
	is.Equal(misled(), 0)
}

// All engines of a service turn slow in the middle of the day. By what was learnt before, new requests would still
// look in time when they are sent, and all of them would be late.
func TestChangeOfPaceIsFollowed(t *testing.T) {
	usual := truth{base: 20 * time.Millisecond, token: 50 * time.Microsecond, running: 2 * time.Millisecond}
	for _, factor := range []float64{0.25, 4} {
		t.Run(fmt.Sprint(factor), func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(7, 7))
			var e forecast.Engine
			observe(&e, usual, random, 60*sec)
			observe(&e, usual.times(factor), random, 12*sec)
			isWithinAQuarter(is, &e, usual.times(factor))
		})
	}
}

// Plain calls take what they take; a forecast by another service's calls sends half of them to the wrong upstream.
func TestPlainServiceIsLearnt(t *testing.T) {
	for _, usual := range []time.Duration{5 * time.Millisecond, 40 * time.Millisecond, 300 * time.Millisecond} {
		is := is.New(t)
		var s forecast.Service
		for range 3 * sec {
			s.Observe(0.5, usual*3/2)
		}
		ratio := float64(s.Latency(0)) / float64(usual)
		is.True(ratio > 0.75 && ratio < 1.25)
	}
}

// Nobody tells when a load is done. Looked at too late, requests wait for an adapter that is there; too early and too
// often, the upstream answers more looks than requests.
func TestLoadsAreLookedAtInTime(t *testing.T) {
	for _, took := range []time.Duration{25 * time.Millisecond, 80 * time.Millisecond, 250 * time.Millisecond, 900 * time.Millisecond} {
		is := is.New(t)
		load := forecast.LoadTime{InitialEstimate: 250 * time.Millisecond}
		late, looks := time.Duration(0), 0
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
				looks += count
			}
		}
		measured := loads - learning
		is.True(late/time.Duration(measured) <= took/5)
		is.True(looks <= 4*measured)
	}
}
