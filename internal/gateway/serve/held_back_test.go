package serve_test

// Responses that this instance holds back because its account has no room.

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fillAccount leaves no room for responses until the returned function is called.
func (h *bytesHarness) fillAccount() (release func()) {
	h.t.Helper()
	const step = 16 << 10
	held := int64(0)
	for h.account.Reserve("responses", step) {
		held += step
	}
	return func() { h.account.Release("responses", held) }
}

// Guards against an upstream that goes on to work for a caller which has left after the deadline of its request, within the time
// for which its response was held back.
func TestAttemptEndsWhenTheCallerLeavesAfterTheDeadline(t *testing.T) {
	is := is.New(t)
	const sent = 512 << 10
	ended := make(chan time.Time, 1)
	h := newBytesHarness(t, 16, func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(headerSigned, "s1")
		rw.Header().Set("Content-Length", strconv.Itoa(2*sent))
		_, _ = io.WriteString(rw, strings.Repeat("x", sent))
		rw.(http.Flusher).Flush()
		<-r.Context().Done()
		ended <- time.Now()
	})
	defer h.fillAccount()()
	begun := time.Now()
	response, err := slowClient(t).Do(h.request("/once/", "b", headerTimeout, "2500"))
	is.NoErr(err)
	defer response.Body.Close()
	time.Sleep(2 * time.Second)                               // the response is held back
	_, err = io.CopyN(io.Discard, response.Body, sent-16<<10) // the rest is not flushed before the end
	is.NoErr(err)
	time.Sleep(3*time.Second - time.Since(begun)) // the deadline passes
	is.Equal(len(ended), 0)
	left := time.Now()
	response.Body.Close()
	is.True((<-ended).Sub(left) < 500*time.Millisecond)
}

// Guards against a second run of a request whose upstream is not silent: this instance does not read on for lack of room.
func TestUpstreamThatIsHeldBackIsNotReplaced(t *testing.T) {
	is := is.New(t)
	var requests atomic.Int32
	long := "id: 1\ndata: " + strings.Repeat("x", 200<<10) + "\n\n"
	respond := func(rw http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		respondInChunks(rw, r, long)
	}
	h := newBytesHarness(t, 16, respond, respond)
	release := h.fillAccount()
	time.AfterFunc(2*time.Second, release)
	response, body, err := h.call("/stream/", "b")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.True(body == long)
	is.Equal(requests.Load(), int32(1))
}
