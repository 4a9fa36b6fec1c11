package serve_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/gateway/call"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
	"lacewingrock.example/lacewingrock/internal/placement/retry"
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
)

// preparingFleet has a holder for all upstreams, which answers as the test defines. number counts its answers from 1.
type preparingFleet struct {
	*fleet
	calls  atomic.Int32
	answer func(ctx context.Context, number int32) mesh.PrepareResult
}

func (f *preparingFleet) Prepare(ctx context.Context, _ mesh.PrepareRequest) mesh.PrepareResult {
	return f.answer(ctx, f.calls.Add(1))
}

// limitAll makes all upstreams state a limit, so that their holder admits each attempt.
func (h *harness) limitAll() {
	for _, u := range h.upstreams {
		h.limit(u)
	}
}

func (h *harness) limit(u *upstream) {
	h.handler.State.Pool.RecordLimit(time.Now(), traffic.Upstream{ID: u.id, Address: strings.TrimPrefix(u.server.URL, "http://")}, 100)
}

// goesOnAndBreaks streams two events, is silent, sends a further one and resets its connection a moment later.
func goesOnAndBreaks(rw http.ResponseWriter, r *http.Request) {
	eventsOf(rw, r, 1, 2)
	time.Sleep(longSilence)
	eventsOf(rw, r, 3, 3)
	time.Sleep(100 * time.Millisecond)
	reset(rw, r)
}

// firstThen responds to the first attempt in one way and to all others in another.
func firstThen(first, others http.HandlerFunc) http.HandlerFunc {
	var attempts atomic.Int32
	return func(rw http.ResponseWriter, r *http.Request) {
		if attempts.Add(1) == 1 {
			first(rw, r)
			return
		}
		others(rw, r)
	}
}

// interrupted answers the second question only when it is given up, as a holder at another instance does, and grants all others.
func interrupted(ctx context.Context, number int32) mesh.PrepareResult {
	if number != 2 {
		return mesh.Loaded{Version: 1}
	}
	<-ctx.Done()
	return mesh.NotHolder{}
}

// Guards against a stream that is lost because a search that was ended before it sent anything had used up what the stream needs
// when its upstream fails: the other upstream, or an attempt of its route.
func TestInterruptedSearchTakesNothing(t *testing.T) {
	whole := event(1) + event(2) + event(3) + event(4)
	for _, c := range []struct {
		name string
		set  func(h *harness)
	}{
		{"the holder was asked for admission to a cold upstream", func(h *harness) {
			h.handler.State.Pool.Configure(map[string]traffic.Service{"app": {Name: "app", ColdRate: 100, ColdStart: time.Minute}})
			for _, u := range h.upstreams {
				h.handler.State.Pool.Declare(time.Now(), traffic.Upstream{
					ID: u.id, Service: "app", Address: strings.TrimPrefix(u.server.URL, "http://"), BatchSlots: 10, Software: "v1",
					ColdRemaining: time.Minute,
				})
			}
			h.handler.Fleet = &preparingFleet{fleet: h.fleet, answer: interrupted}
		}},
		{"the holder was asked for admission to a limited upstream", func(h *harness) {
			h.limitAll()
			h.handler.Fleet = &preparingFleet{fleet: h.fleet, answer: interrupted}
		}},
		{"the connection was being opened", func(h *harness) {
			var dials atomic.Int32
			h.handler.Forward.Dial = func(ctx context.Context, upstream traffic.Upstream) (net.Conn, error) {
				if dials.Add(1) == 2 {
					<-ctx.Done()
					return nil, ctx.Err()
				}
				return dialUpstream(ctx, upstream)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			respond := firstThen(goesOnAndBreaks, allEvents)
			h := newHarness(t, respond, respond)
			c.set(h)
			log := &lockedBuffer{}
			h.handler.Log = zerolog.New(log)
			t.Cleanup(func() {
				if t.Failed() {
					log.mutex.Lock()
					defer log.mutex.Unlock()
					t.Log(log.buffer.String())
				}
			})
			_, body, err := h.call("/stream/", "b")
			is.NoErr(err)
			is.Equal(body, whole)
			is.Equal(h.runs(), 2)
		})
	}
}

// Guards against a search whose attempt is withdrawn, and counted as a run, for something from the silent upstream that is no
// whole event and no end: it fails a moment later, and nothing is left to go on with.
func TestAttemptIsKeptUntilTheSilentUpstreamSendsAnEvent(t *testing.T) {
	whole := event(1) + event(2) + event(3) + event(4)
	const silent = 1400 * time.Millisecond
	for _, c := range []struct {
		name  string
		first http.HandlerFunc
	}{
		{"a part of an event, and a reset", func(rw http.ResponseWriter, r *http.Request) {
			eventsOf(rw, r, 1, 2)
			time.Sleep(silent)
			_, _ = io.WriteString(rw, "id: 3\nda")
			rw.(http.Flusher).Flush()
			time.Sleep(20 * time.Millisecond)
			reset(rw, r)
		}},
		{"the end of the connection without an event", func(rw http.ResponseWriter, _ *http.Request) {
			connection, _, err := rw.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			defer connection.Close()
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\n"+headerSigned+": s1\r\nConnection: close\r\n\r\n")
			time.Sleep(silent)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			respond := firstThen(c.first, isLateFor(500*time.Millisecond, allEvents))
			h := newHarness(t, respond, respond)
			_, body, err := h.call("/stream/", "b")
			is.NoErr(err)
			is.Equal(body, whole)
		})
	}
}

// Guards against a request that waits for a lost upstream until its deadline, because the other one was busy when it was first
// asked: a search lasts for seconds, in which places become free.
func TestUpstreamThatWasBusyIsAskedAgain(t *testing.T) {
	is := is.New(t)
	var attempts atomic.Int32
	respond := func(rw http.ResponseWriter, r *http.Request) {
		switch attempts.Add(1) {
		case 1:
			pausesFor(time.Minute)(rw, r)
		case 2:
			full(rw, r)
		default:
			allEvents(rw, r)
		}
	}
	h := newHarness(t, respond, respond)
	_, body, err := h.call("/stream/", "b")
	is.NoErr(err)
	is.Equal(body, event(1)+event(2)+event(3)+event(4))
}

// Guards against searches that ask a holder again and again to grant what cannot be used, as no retry is left: a prefill turn
// or a place of a limited upstream, for which other requests wait.
func TestSearchWithoutARetryAsksNoHolder(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, pausesFor(2200*time.Millisecond), pausesFor(2200*time.Millisecond))
	h.limitAll()
	holder := &preparingFleet{fleet: h.fleet, answer: func(context.Context, int32) mesh.PrepareResult { return mesh.Loaded{Version: 1} }}
	h.handler.Fleet = holder
	h.handler.State.Retries = &retry.Budgets{}
	_, body, err := h.call("/stream/", "b")
	is.NoErr(err)
	is.Equal(body, event(1)+event(2)+event(3)+event(4))
	is.True(holder.calls.Load() <= 2) // one for the first attempt, one for the search at most
}

// Guards against a log that blames the caller for an attempt that this instance withdrew.
func TestWithdrawnAttemptIsNotEndedByTheCaller(t *testing.T) {
	is := is.New(t)
	respond := firstThen(pausesFor(longSilence), isLateFor(time.Minute, allEvents))
	h := newHarness(t, respond, respond)
	log := &lockedBuffer{}
	h.handler.Log = zerolog.New(log)
	_, _, err := h.call("/stream/", "b")
	is.NoErr(err)
	log.mutex.Lock()
	defer log.mutex.Unlock()
	for _, line := range strings.Split(log.buffer.String(), "\n") {
		if strings.Contains(line, `"Outcome":"unneeded"`) {
			t.Log(line)
			is.True(!strings.Contains(line, `"EndedBy":"caller"`))
		}
	}
}

// Guards against a stream that is lost because a search went on without a prefill turn after it was ended, sent nothing, and was
// counted as a run.
func TestInterruptedPrefillTurnIsNoRun(t *testing.T) {
	is := is.New(t)
	respond := firstThen(goesOnAndBreaks, allEvents)
	h := newHarness(t, respond, respond)
	adapter := traffic.Adapter{Model: "m", Name: "a"}
	p := h.handler.State.Pool
	for _, u := range h.upstreams {
		p.RecordLoadedAdapter(u.id, adapter, 1)
		declared, _ := p.Upstream(u.id)
		for range 10 { // streams that paused for too long: prompts take turns
			ended := p.Begin(time.Now(), pool.Choice{Upstream: declared}, pool.Query{Service: "app"})
			ended.RecordPause(true)
			p.Finish(time.Now(), ended, pool.EndServed)
		}
	}
	p.Configure(map[string]traffic.Service{"app": {Name: "app", Engine: &traffic.Engine{AdapterSlots: 5}}})
	is.True(p.PromptsTakeTurns("app"))
	h.handler.Dialect = adapterDialect{adapter: adapter}
	h.handler.Fleet = &preparingFleet{fleet: h.fleet, answer: interrupted}
	log := &lockedBuffer{}
	h.handler.Log = zerolog.New(log)
	t.Cleanup(func() {
		if t.Failed() {
			log.mutex.Lock()
			defer log.mutex.Unlock()
			t.Log(log.buffer.String())
		}
	})
	_, body, err := h.call("/stream/", "b")
	is.NoErr(err)
	is.Equal(body, event(1)+event(2)+event(3)+event(4))
	is.Equal(h.runs(), 2)
}

// adapterDialect is a dialect in which all requests are for one adapter.
type adapterDialect struct {
	dialect
	adapter traffic.Adapter
}

func (d adapterDialect) Decode(request *http.Request) (c call.Call, err error) {
	c, err = d.dialect.Decode(request)
	c.Generation.Adapter = d.adapter
	c.Generation.PromptTokens = 100
	return c, err
}

// Guards against a search that uses up the retry budget of its service while it may not send the request at all: it was in
// flight at several crashes of upstreams.
func TestSearchForASuspectTakesNoRetries(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, pausesFor(2200*time.Millisecond), pausesFor(2200*time.Millisecond))
	state := h.handler.State
	time.AfterFunc(300*time.Millisecond, func() {
		state.WithLock(func(state *serve.SharedState) {
			fingerprint := suspect.FingerprintOf("own", "/stream/", []byte("b"))
			for _, run := range []string{"r1", "r2", "r3"} {
				state.Suspects.RecordCrash(time.Now(), suspect.CrashUnder(run), []suspect.Fingerprint{fingerprint})
			}
		})
	})
	before := 100 // of the harness; the request itself adds none above the maximum
	_, body, err := h.call("/stream/", "b")
	is.NoErr(err)
	is.Equal(body, event(1)+event(2)+event(3)+event(4))
	is.Equal(h.runs(), 1)
	left := 0
	state.WithLock(func(state *serve.SharedState) {
		for state.Retries.For("app").Allow() {
			left++
		}
	})
	is.Equal(left, before)
}

// Guards against a caller who waits for a lost upstream until the deadline because the sound one has a single long call in
// flight, and counts as silent for it.
func TestUpstreamWithALongCallIsAnAlternative(t *testing.T) {
	is := is.New(t)
	var busy atomic.Value
	busy.Store("")
	respond := func(rw http.ResponseWriter, r *http.Request) {
		upstream := r.Header.Get(headerUpstream)
		switch r.Header.Get(headerID) {
		case "long":
			busy.Store(upstream)
			isLateFor(2200*time.Millisecond, served)(rw, r)
		case "lost":
			if busy.Load() != upstream {
				<-r.Context().Done()
				return
			}
			served(rw, r)
		default:
			served(rw, r)
		}
	}
	h := newHarness(t, respond, respond)
	for number := range 20 {
		_, body, err := h.call("/idem/", "b", headerID, fmt.Sprint("short", number))
		is.NoErr(err)
		is.Equal(body, answer)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _, _ = h.call("/once/", "b", headerID, "long")
	}()
	time.Sleep(700 * time.Millisecond)
	h.handler.State.WithLock(func(state *serve.SharedState) {
		declared, _ := state.Pool.Upstream(busy.Load().(string))
		declared.DataCentre = "elsewhere" // the second choice
		state.Pool.Declare(time.Now(), declared)
	})
	_, body, err := h.call("/idem/", "b", headerID, "lost", headerTimeout, "1300")
	<-ended
	is.NoErr(err)
	is.Equal(body, answer)
}

// Guards against a refusal that is lost because another upstream responds as well by the time it is acted on: the upstream gets
// requests although it asked for none, and the request counts as one that it may have crashed with.
func TestRefusalOfAReplacedUpstreamIsKept(t *testing.T) {
	is := is.New(t)
	refusesLate := isLateFor(1400*time.Millisecond, func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(headerBackpressure, "20000")
		full(rw, r)
	})
	respond := firstThen(refusesLate, isLateFor(500*time.Millisecond, allEvents))
	h := newHarness(t, respond, respond)
	log := &lockedBuffer{}
	h.handler.Log = zerolog.New(log)
	_, body, err := h.call("/stream/", "b")
	is.NoErr(err)
	is.Equal(body, event(1)+event(2)+event(3)+event(4))
	is.Equal(h.fleet.doubtfulCount(), 0) // the first upstream states that it has not run the request
	log.mutex.Lock()
	defer log.mutex.Unlock()
	is.True(strings.Contains(log.buffer.String(), `"message":"UpstreamBackpressure"`))
}
