package serve_test

// Sends to upstreams: what passes, and what may follow a send that went wrong.

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/placement/retry"
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
)

func TestRequestPassesUnchanged(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, served)
	response, body, err := w.call("/once/a%2Fb?q=%20x", "the body", headerWorkspace, "forged", "X-Own", "kept")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(body, "answer")
	is.Equal(response.Header.Get(headerSigned), "s1")
	seen := w.upstreams[0].requests()[0]
	is.Equal(seen.RequestURI, "/once/a%2Fb?q=%20x")
	is.Equal(seen.Host, "a.example")
	is.Equal(w.upstreams[0].bodies[0], "the body")
	is.Equal(seen.Header.Get(headerWorkspace), "own")
	is.Equal(seen.Header.Get("X-Own"), "kept")
	is.Equal(seen.Header.Get(headerKey), "")
	is.Equal(seen.Header.Get(headerUpstream), "u0")
	left, err := strconv.Atoi(seen.Header.Get(headerLeft))
	is.NoErr(err)
	is.True(left > 0 && left <= 2500)
}

// What an upstream does to the first send decides what may follow. A request that may run once is never
// sent again after it may have run, and is never said not to have run then; one that may be repeated is
// answered by another upstream.
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
		{"lost answer of a request that runs once", "/once/", reset, 502, 1},
		{"lost answer of an idempotent one", "/idem/", reset, 200, 2},
		{"failure of a request that runs once is passed on", "/once/", failing, 500, 1},
		{"failure of an idempotent one", "/idem/", failing, 200, 2},
		{"unsigned success of a request that runs once", "/once/", unsigned, 502, 1},
		{"unsigned success of an idempotent one", "/idem/", unsigned, 200, 2},
		{"another request's answer to one that runs once", "/once/", crossed, 502, 1},
		{"another request's answer to an idempotent one", "/idem/", crossed, 200, 2},
		{"encoded body", "/once/", encoded, 502, 1},
		{"torn answer of a request that runs once", "/once/", torn, 502, 1},
		{"torn answer of an idempotent one", "/idem/", torn, 200, 2},
		{"silence towards an idempotent one", "/idem/", hanging, 200, 2},
		{"stream that breaks before it begins", "/stream/", reset, 200, 2},
		{"stream that may not be resumed", "/single/", reset, 502, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var sends atomic.Int32
			answer := func(rw http.ResponseWriter, r *http.Request) {
				if sends.Add(1) == 1 {
					test.first(rw, r)
					return
				}
				served(rw, r)
			}
			w := newWorld(t, answer, answer)
			response, body, err := w.call(test.path, "b")
			is.NoErr(err)
			is.Equal(response.StatusCode, test.status)
			is.Equal(w.runs(), test.runs)
			if test.status == http.StatusOK {
				is.Equal(body, "answer")
			}
			if test.status == http.StatusBadGateway {
				is.Equal(response.Header.Get("X-Run"), "unknown")
				is.Equal(response.Header.Get(headerSigned), "")
				is.True(!strings.Contains(body, "127.0.0.1")) // no upstream's address
			}
		})
	}
}

// A request crashes each upstream that runs it and comes again and again. After three crashes it is not
// sent on any more, and its caller is told that it did not run.
func TestPoisonousRequestIsStopped(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, served)
	fingerprint := suspect.FingerprintOf("own", "POST a.example/once/", []byte("poison"))
	for range 3 {
		w.handler.State.Suspects.RecordCrash(time.Now(), []suspect.Fingerprint{fingerprint})
	}
	response, _, err := w.call("/once/", "poison")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(response.Header.Get("X-Run"), "not-run")
	response, _, err = w.call("/once/", "innocent")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(w.runs(), 1)
}

// The retry budget of the instance is used up in an outage. Further sends would multiply the load just
// when there is the least capacity. The upstream's own failure goes to the caller, as there is nothing better.
func TestNoRetryWithoutBudget(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, failing, failing)
	w.handler.State.Retries = &retry.Budgets{}
	response, _, err := w.call("/idem/", "b")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusInternalServerError)
	is.Equal(response.Header.Get(headerSigned), "s1")
	is.Equal(w.runs(), 1)
}

// Guards against requests that fail while many upstreams are gone, as each connection that is refused counts as a retry:
// nothing has arrived there, and the next send is the first that does.
func TestUnreachedUpstreamTakesNoRetry(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, served, served, served)
	w.handler.State.Retries = &retry.Budgets{}
	w.upstreams[0].server.Close()
	w.upstreams[1].server.Close()
	for _, path := range []string{"/idem/", "/once/", "/stream/", "/idem/", "/once/", "/stream/"} {
		response, _, err := w.call(path, "b")
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusOK)
	}
}

// Another upstream has taken the address of one that is gone, and answers that it is not the one meant. It
// will say so again: sent there once more, the request loses the time in which another could serve it.
func TestNoSecondSendToAnotherUpstreamsAddress(t *testing.T) {
	is := is.New(t)
	misdirected := func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusMisdirectedRequest) }
	w := newWorld(t, misdirected, misdirected)
	response, _, err := w.call("/idem/", "b")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(response.Header.Get("X-Run"), "not-run")
	is.Equal(w.runs(), 2)
}
