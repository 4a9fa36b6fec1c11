package serve_test

// Attempts at upstreams: what is forwarded, and which retries may follow a failed attempt.

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/placement/retry"
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
)

func TestRequestPassesUnchanged(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, served)
	response, body, err := h.call("/once/a%2Fb?q=%20x", "the body", headerWorkspace, "forged", "X-Own", "kept")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(body, answer)
	is.Equal(response.Header.Get(headerSigned), "s1")
	received := h.upstreams[0].requests()[0]
	is.Equal(received.RequestURI, "/once/a%2Fb?q=%20x")
	is.Equal(received.Host, "a.example")
	is.Equal(h.upstreams[0].bodies[0], "the body")
	is.Equal(received.Header.Get(headerWorkspace), "own")
	is.Equal(received.Header.Get("X-Own"), "kept")
	is.Equal(received.Header.Get(headerKey), "")
	is.Equal(received.Header.Get(headerUpstream), "u0")
	remaining, err := strconv.Atoi(received.Header.Get(headerRemaining))
	is.NoErr(err)
	is.True(remaining > 0 && remaining <= 2500)
}

// The result of the first attempt decides what may follow. A request that may run only once is never sent again after
// it may have run, and the refusal never states then that it did not run. A request that may run again is sent to
// another upstream.
func TestFirstSendGoesWrong(t *testing.T) {
	tests := []struct {
		name   string
		path   string
		first  http.HandlerFunc
		status int
		runs   int
	}{
		{"refusal of a request that runs once is tried elsewhere", "/once/", full, 200, 2},
		{"refusal of an idempotent one is tried elsewhere", "/idem/", full, 200, 2},
		{"lost response to a request that runs once", "/once/", reset, 502, 1},
		{"lost response to an idempotent one", "/idem/", reset, 200, 2},
		{"failure of a request that runs once is forwarded", "/once/", failing, 500, 1},
		{"failure of an idempotent one", "/idem/", failing, 200, 2},
		{"unsigned success of a request that runs once", "/once/", unsigned, 502, 1},
		{"unsigned success of an idempotent one", "/idem/", unsigned, 200, 2},
		{"response to another request for one that runs once", "/once/", misattributed, 502, 1},
		{"response to another request for an idempotent one", "/idem/", misattributed, 200, 2},
		{"encoded body", "/once/", encoded, 502, 1},
		{"truncated response to a request that runs once", "/once/", truncated, 502, 1},
		{"truncated response to an idempotent one", "/idem/", truncated, 200, 2},
		{"no response to an idempotent one", "/idem/", hanging, 200, 2},
		{"stream that breaks before it begins", "/stream/", reset, 200, 2},
		{"stream that may not be resumed", "/single/", reset, 502, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var attempts atomic.Int32
			respond := func(rw http.ResponseWriter, r *http.Request) {
				if attempts.Add(1) == 1 {
					test.first(rw, r)
					return
				}
				served(rw, r)
			}
			h := newHarness(t, respond, respond)
			response, body, err := h.call(test.path, "b")
			is.NoErr(err)
			is.Equal(response.StatusCode, test.status)
			is.Equal(h.runs(), test.runs)
			if test.status == http.StatusOK {
				is.Equal(body, answer)
			}
			if test.status == http.StatusBadGateway {
				is.Equal(response.Header.Get("X-Run"), "unknown")
				is.Equal(response.Header.Get(headerSigned), "")
				is.True(!strings.Contains(body, "127.0.0.1")) // the address of an upstream must not leak
			}
		})
	}
}

// A request crashes each upstream that runs it and is sent again and again. After three crashes it is refused, with the
// statement that it did not run.
func TestPoisonousRequestIsStopped(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, served)
	fingerprint := suspect.FingerprintOf("own", "/once/", []byte("poison"))
	for number := range 3 {
		h.handler.State.Suspects.RecordCrash(time.Now(), suspect.Crash(number), []suspect.Fingerprint{fingerprint})
	}
	response, _, err := h.call("/once/", "poison")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(response.Header.Get("X-Run"), "not-run")
	response, _, err = h.call("/once/", "innocent")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(h.runs(), 1)
}

// The retry budget of the instance is used up in an outage. Further attempts would multiply the load when there is the
// least capacity, so the failure response of the upstream is forwarded to the caller.
func TestNoRetryWithoutBudget(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, failing, failing)
	h.handler.State.Retries = &retry.Budgets{}
	response, _, err := h.call("/idem/", "b")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusInternalServerError)
	is.Equal(response.Header.Get(headerSigned), "s1")
	is.Equal(h.runs(), 1)
}

// Guards against requests that fail while many upstreams are gone because each refused connection is counted as a
// retry: nothing arrived there, and the next attempt is the first that does.
func TestUnreachedUpstreamTakesNoRetry(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, served, served, served)
	h.handler.State.Retries = &retry.Budgets{}
	h.upstreams[0].server.Close()
	h.upstreams[1].server.Close()
	for _, path := range []string{"/idem/", "/once/", "/stream/", "/idem/", "/once/", "/stream/"} {
		response, _, err := h.call(path, "b")
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusOK)
	}
}

// The address of a removed upstream now belongs to another upstream, which responds that the request is misdirected. A
// second attempt there would fail in the same way and take time in which another upstream could serve the request.
func TestNoSecondAttemptAtAnotherUpstreamsAddress(t *testing.T) {
	is := is.New(t)
	misdirected := func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusMisdirectedRequest) }
	h := newHarness(t, misdirected, misdirected)
	response, _, err := h.call("/idem/", "b")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(response.Header.Get("X-Run"), "not-run")
	is.Equal(h.runs(), 2)
}

// Guards against a further attempt of a request that is known to crash upstreams since its last one: the verdict at its
// admission is too old by then.
func TestRequestKnownToCrashUpstreamsIsNotSentAgain(t *testing.T) {
	is := is.New(t)
	var h *harness
	crashing := func(rw http.ResponseWriter, r *http.Request) {
		fingerprint := suspect.FingerprintOf("own", "/idem/", []byte("poison"))
		h.handler.State.WithLock(func(state *serve.SharedState) {
			for number := range 3 {
				state.Suspects.RecordCrash(time.Now(), suspect.Crash(number), []suspect.Fingerprint{fingerprint})
			}
		})
		reset(rw, r)
	}
	h = newHarness(t, crashing, crashing)
	response, _, err := h.call("/idem/", "poison")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusBadGateway)
	is.Equal(h.runs(), 1)
}

// Guards against a request that crashes upstreams and is cleared of that by a response which does not show that it ran to
// completion. Its crashes would not count, and it would be sent on and on.
func TestOnlyACompleteResponseClearsARequest(t *testing.T) {
	unframed := func(rw http.ResponseWriter, _ *http.Request) {
		connection, _, err := rw.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer connection.Close()
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\n"+headerSigned+": s\r\n"+headerID+": id1\r\n\r\nid: 1\ndata: 1\n\n")
	}
	tests := []struct {
		name    string
		path    string
		respond http.HandlerFunc
		clears  bool
	}{
		{"complete response", "/once/", served, true},
		{"complete stream", "/single/", served, true},
		{"failure", "/once/", failing, false},
		{"rejection", "/once/", func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set(headerSigned, "s")
			rw.WriteHeader(http.StatusRequestEntityTooLarge)
		}, false},
		{"response without a length", "/once/", unframed, false},
		{"stream without a length", "/single/", unframed, false},
		{"truncated response", "/once/", truncated, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, tt.respond)
			fingerprint := suspect.FingerprintOf("own", tt.path, []byte("b"))
			h.handler.State.Suspects.RecordCrash(time.Now(), 1, []suspect.Fingerprint{fingerprint})
			_, _, err := h.call(tt.path, "b")
			is.NoErr(err)
			crashes := 0
			h.handler.State.WithLock(func(state *serve.SharedState) { crashes = state.Suspects.Crashes(fingerprint) })
			is.Equal(crashes == 0, tt.clears)
			is.Equal(h.fleet.doubtfulCount() > 0, !tt.clears) // it counts if the upstream is found to have ended
		})
	}
}

// Guards against a request that counts as another one when it comes back: its caller, path and body identify it, and no
// header does.
func TestRequestThatComesBackIsRecognised(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, reset, reset, reset)
	send := func(change func(*http.Request)) suspect.Fingerprint {
		t.Helper()
		request := h.request("/single/a", "body")
		change(request)
		response, err := http.DefaultClient.Do(request)
		is.NoErr(err)
		response.Body.Close()
		return h.fleet.lastFingerprint()
	}
	first := send(func(*http.Request) {})
	for _, change := range []func(*http.Request){
		func(r *http.Request) { r.Header.Set(headerID, "id2") },
		func(r *http.Request) { r.Method = http.MethodPut },
		func(r *http.Request) { r.Host = "A.example" },
		func(r *http.Request) { r.Header.Set(headerTimeout, "1200") },
		func(r *http.Request) { r.ContentLength = -1 }, // in chunks
	} {
		is.Equal(send(change), first)
	}
	is.True(send(func(r *http.Request) { r.URL.Path = "/single/b" }) != first)
	is.True(send(func(r *http.Request) { r.Body, r.ContentLength = http.NoBody, 0 }) != first)
}

// Guards against a failure of an upstream that its caller does not get, though no other attempt brings a response, and against
// a wait for the rest of such a failure while another upstream could respond.
func TestFailureIsForwardedUnlessAnotherAttemptResponds(t *testing.T) {
	tests := []struct {
		name       string
		responders []http.HandlerFunc
		status     int
		runs       int
	}{
		{"no other upstream", []http.HandlerFunc{failing}, http.StatusInternalServerError, 1},
		{"the other one fails too", []http.HandlerFunc{failing, failing}, http.StatusInternalServerError, 2},
		{"the other one is full", []http.HandlerFunc{failing, full}, http.StatusInternalServerError, 2},
		{"the other one breaks", []http.HandlerFunc{failing, reset}, http.StatusInternalServerError, 2},
		{"the other one serves", []http.HandlerFunc{failing, served}, http.StatusOK, 2},
		{"silent after the header, the other one serves", []http.HandlerFunc{failingSilently, served}, http.StatusOK, 2},
		{"silent after the header, no other upstream", []http.HandlerFunc{failingSilently}, http.StatusBadGateway, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var attempts atomic.Int32
			respond := func(rw http.ResponseWriter, r *http.Request) { test.responders[attempts.Add(1)-1](rw, r) }
			responders := make([]http.HandlerFunc, len(test.responders))
			for number := range responders {
				responders[number] = respond
			}
			h := newHarness(t, responders...)
			began := time.Now()
			response, _, err := h.call("/idem/", "")
			is.NoErr(err)
			is.Equal(response.StatusCode, test.status)
			is.Equal(response.Header.Get(headerSigned) != "", test.status != http.StatusBadGateway)
			is.Equal(h.runs(), test.runs)
			is.True(time.Since(began) < time.Second)
		})
	}
}

// failingSilently sends the header of a failure and a part of its body.
func failingSilently(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set("Content-Length", "100")
	failing(rw, r)
	_, _ = io.WriteString(rw, "half")
	_ = http.NewResponseController(rw).Flush()
	<-r.Context().Done()
}
