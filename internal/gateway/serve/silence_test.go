package serve_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// silence is how long a sound upstream is silent in these tests.
const silence = 1100 * time.Millisecond

// Guards against responses that are given up because a sound upstream is silent for a second: a request that may run once
// would be lost, and a stream would run again elsewhere, in which its prompt is prefilled anew.
func TestSilenceOfASecondLosesNoResponse(t *testing.T) {
	for _, c := range []struct {
		name    string
		path    string
		respond http.HandlerFunc
		body    string
	}{
		{"may run once", "/once/", func(rw http.ResponseWriter, r *http.Request) {
			time.Sleep(silence)
			served(rw, r)
		}, answer},
		{"before the first event", "/stream/", func(rw http.ResponseWriter, _ *http.Request) {
			time.Sleep(silence)
			rw.Header().Set(headerSigned, "s1")
			_, _ = io.WriteString(rw, event(1)+event(2))
		}, event(1) + event(2)},
		{"between events", "/stream/", func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set(headerSigned, "s1")
			_, _ = io.WriteString(rw, event(1))
			rw.(http.Flusher).Flush()
			time.Sleep(silence)
			_, _ = io.WriteString(rw, event(2))
		}, event(1) + event(2)},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newHarness(t, c.respond, c.respond)
			response, body, err := h.call(c.path, "b")
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusOK)
			is.Equal(body, c.body)
			is.Equal(h.runs(), 1)
		})
	}
}

// Guards against an upstream that ends in silence after its first events and counts as one that went on sending: the prompt parts that
// crashed it would be cleared.
func TestSilenceAfterTheLastEventIsNoSending(t *testing.T) {
	const before, most = 600 * time.Millisecond, 300 * time.Millisecond
	is := is.New(t)
	h := newHarness(t, func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set(headerSigned, "s1")
		_, _ = io.WriteString(rw, event(1))
		rw.(http.Flusher).Flush()
		time.Sleep(before)
		panic(http.ErrAbortHandler)
	})
	_, _, _ = h.call("/stream/", "b") // the response is cut
	h.fleet.mutex.Lock()
	defer h.fleet.mutex.Unlock()
	is.True(len(h.fleet.broken) > 0)
	is.True(h.fleet.sending < most)
}
