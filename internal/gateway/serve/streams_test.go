package serve_test

// Streams: what happens when one breaks midway.

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

// event is one event of a stream, in the upstreams' form.
func event(id int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id) }

// An upstream crashes in the middle of an event. The stream goes on at another upstream after the last
// whole event; a piece that came twice, or half, would garble the caller's text without a sign.
func TestStreamGoesOnElsewhere(t *testing.T) {
	is := is.New(t)
	var sends atomic.Int32
	answer := func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(headerSigned, fmt.Sprint("s", sends.Load()))
		flusher := rw.(http.Flusher)
		if sends.Add(1) == 1 {
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
	w := newWorld(t, answer, answer)
	response, body, err := w.call("/stream/", "b")
	is.NoErr(err)
	is.Equal(body, event(1)+event(2)+event(3)+event(4))
	is.Equal(response.Header.Get(headerSigned), "s0") // the headers of the first upstream
	is.Equal(w.runs(), 2)
}

// A stream that may not run twice breaks in the middle. Its caller must see that it is not complete.
func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(headerSigned, "s1")
		_, _ = io.WriteString(rw, event(1))
		rw.(http.Flusher).Flush()
		time.Sleep(30 * time.Millisecond)
		reset(rw, r)
	})
	_, body, err := w.call("/single/", "b")
	is.True(err != nil)
	is.Equal(body, event(1))
	is.Equal(w.runs(), 1)
}
