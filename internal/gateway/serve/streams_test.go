package serve_test

// Streams that break in the middle.

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// event returns one event of a stream as upstreams write it.
func event(id int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id) }

// An upstream crashes in the middle of an event. The stream is resumed at another upstream after the last complete
// event. A repeated or partial event would corrupt the caller's text without any sign of it.
func TestStreamGoesOnElsewhere(t *testing.T) {
	is := is.New(t)
	var attempts atomic.Int32
	respond := func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(headerSigned, fmt.Sprint("s", attempts.Load()))
		flusher := rw.(http.Flusher)
		if attempts.Add(1) == 1 {
			_, _ = io.WriteString(rw, event(1)+event(2)+"id: 3\ndata: pie")
			flusher.Flush()
			time.Sleep(30 * time.Millisecond)
			reset(rw, r)
			return
		}
		from, err := strconv.Atoi(r.Header.Get(headerLastEvent))
		if err != nil {
			return
		}
		for id := from + 1; id <= 4; id++ {
			_, _ = io.WriteString(rw, event(id))
		}
	}
	h := newHarness(t, respond, respond)
	response, body, err := h.call("/stream/", "b")
	is.NoErr(err)
	is.Equal(body, event(1)+event(2)+event(3)+event(4))
	is.Equal(response.Header.Get(headerSigned), "s0") // the headers of the first upstream
	is.Equal(h.runs(), 2)
}

// A stream that may not run twice breaks in the middle. The caller must be able to detect that it is incomplete.
func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(headerSigned, "s1")
		_, _ = io.WriteString(rw, event(1))
		rw.(http.Flusher).Flush()
		time.Sleep(30 * time.Millisecond)
		reset(rw, r)
	})
	_, body, err := h.call("/single/", "b")
	is.True(err != nil)
	is.Equal(body, event(1))
	is.Equal(h.runs(), 1)
}
