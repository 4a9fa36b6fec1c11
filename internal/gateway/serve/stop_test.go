package serve_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/placement/origin"
)

// stoppingFleet is a fleet in which a question takes until the test lets it go on, or until it is given up.
type stoppingFleet struct {
	*preparingFleet
	// asked is closed by the question that waits.
	asked chan struct{}
	// waitsForOrigin: the question for the origin of a stream is the one that waits.
	waitsForOrigin bool
}

// wait waits until the question is given up, or until the limit.
func (f *stoppingFleet) wait(ctx context.Context, limit time.Duration) {
	close(f.asked)
	select {
	case <-ctx.Done():
	case <-time.After(limit):
	}
}

// originTimeout is the time after which the question for an origin is given up by itself.
const originTimeout = 300 * time.Millisecond

func (f *stoppingFleet) FindOrigin(ctx context.Context, _ origin.Stream, service string) origin.Finding {
	if f.waitsForOrigin {
		f.wait(ctx, originTimeout)
	}
	return origin.Finding{Origin: origin.Origin{Service: service, Software: "v1"}, Source: origin.SourceProof}
}

// waitsAt returns a fleet whose holder grants all questions before the given one, which waits until it is given up.
func (h *harness) waitsAt(question int32) *stoppingFleet {
	f := &stoppingFleet{asked: make(chan struct{})}
	f.preparingFleet = &preparingFleet{fleet: h.fleet, answer: func(ctx context.Context, number int32) mesh.PrepareResult {
		if number < question {
			return mesh.Loaded{Version: 1}
		}
		if number == question {
			f.wait(ctx, time.Hour)
		} else {
			<-ctx.Done()
		}
		return mesh.NotHolder{}
	}}
	h.limitAll()
	h.handler.Fleet = f
	return f
}

// called is a response to a request that was sent in the background.
type called struct {
	response *http.Response
	body     string
	err      error
	took     time.Duration
}

// start sends a request in the background.
func (h *harness) start(request *http.Request) <-chan called {
	result := make(chan called, 1)
	go func() {
		began := time.Now()
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			result <- called{err: err, took: time.Since(began)}
			return
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		result <- called{response: response, body: string(body), err: err, took: time.Since(began)}
	}()
	return result
}

// answeredWithin is the time within which a request is answered whose wait has ended, far less than its deadline.
const answeredWithin = time.Second

// Guards against requests that a stopping instance has read and closes without an answer, as they wait for an upstream until the
// process ends: each wait before a request is sent ends with a refusal, as not run.
func TestStopEndsTheWaitsOfRequestsThatWereNotSent(t *testing.T) {
	for _, c := range []struct {
		name string
		path string
		// set makes the request wait, and returns the fleet whose question it waits for.
		set     func(h *harness) *stoppingFleet
		headers []string
	}{
		{"for a place at an upstream", "/once/", func(h *harness) *stoppingFleet { return h.waitsAt(1) }, nil},
		{"of a request that may be repeated", "/idem/", func(h *harness) *stoppingFleet { return h.waitsAt(1) }, nil},
		{"of a stream", "/stream/", func(h *harness) *stoppingFleet { return h.waitsAt(1) }, nil},
		{"after an upstream was full", "/once/", func(h *harness) *stoppingFleet { return h.waitsAt(2) }, nil},
		{"for the origin of a stream", "/stream/", func(h *harness) *stoppingFleet {
			f := h.waitsAt(1)
			f.waitsForOrigin = true
			f.answer = func(context.Context, int32) mesh.PrepareResult { return mesh.Loaded{Version: 1} }
			return f
		}, []string{headerHas, "1", headerResumes, "first"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newHarness(t, full, full)
			fleet := c.set(h)
			result := h.start(h.request(c.path, "b", c.headers...))
			<-fleet.asked
			sent := h.runs()
			h.handler.StartDraining()
			h.handler.RefuseRequests()
			got := <-result
			is.NoErr(got.err)
			is.Equal(got.response.StatusCode, http.StatusServiceUnavailable)
			is.Equal(got.response.Header.Get("X-Run"), "not-run")
			is.True(got.took < answeredWithin)
			is.Equal(h.runs(), sent)
		})
	}
}

// Guards against a request that is sent to an upstream by an instance that will end before its response, because its body
// arrived only after the instance had begun to refuse requests.
func TestStopRefusesARequestWhoseBodyArrivesLate(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, served)
	body, rest := io.Pipe()
	request := h.request("/once/", "")
	request.Body, request.ContentLength = body, 2
	result := h.start(request)
	_, err := io.WriteString(rest, "a")
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond) // the header is read
	h.handler.RefuseRequests()
	_, err = io.WriteString(rest, "b")
	is.NoErr(err)
	got := <-result
	is.NoErr(got.err)
	is.Equal(got.response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(got.response.Header.Get("X-Run"), "not-run")
	is.Equal(h.runs(), 0)
}

// Guards against requests that a stop gives up although another upstream would serve them at once, and against those that may
// have run, wait for a further upstream and get no answer, or one that denies it, before the process ends.
func TestStopLetsRequestsThatMayHaveRunGoOn(t *testing.T) {
	for _, c := range []struct {
		name string
		path string
		// first and others are what upstreams respond to the first and to all further attempts.
		first, others http.HandlerFunc
		// status is that of the response after the end of all waits; 0 for a response that is broken off.
		status int
	}{
		{"a request that may be repeated", "/idem/", reset, served, http.StatusBadGateway},
		{"a stream in the middle", "/stream/", func(rw http.ResponseWriter, r *http.Request) {
			eventsOf(rw, r, 1, 2)
			reset(rw, r)
		}, allEvents, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			t.Run("served by the next upstream", func(t *testing.T) {
				is := is.New(t)
				respond := firstThen(slow(c.first), c.others)
				h := newHarness(t, respond, respond)
				result := h.start(h.request(c.path, "b"))
				for h.runs() == 0 {
					time.Sleep(time.Millisecond)
				}
				h.handler.RefuseRequests()
				got := <-result
				is.NoErr(got.err)
				is.Equal(got.response.StatusCode, http.StatusOK)
			})
			t.Run("no upstream has a place", func(t *testing.T) {
				is := is.New(t)
				respond := firstThen(c.first, c.others)
				h := newHarness(t, respond, respond)
				fleet := h.waitsAt(2)
				result := h.start(h.request(c.path, "b"))
				<-fleet.asked
				h.handler.RefuseRequests()
				time.Sleep(100 * time.Millisecond)
				select {
				case <-result:
					t.Fatal("the request was given up with the first end of waits")
				default:
				}
				h.handler.EndWaits()
				got := <-result
				is.True(got.took < answeredWithin)
				if c.status == 0 {
					is.True(got.err != nil)
					return
				}
				is.NoErr(got.err)
				is.Equal(got.response.StatusCode, c.status)
			})
		})
	}
}

// slow responds after a moment.
func slow(respond http.HandlerFunc) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		time.Sleep(50 * time.Millisecond)
		respond(rw, r)
	}
}
