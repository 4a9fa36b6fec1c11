package serve_test

// Streams that break in the middle.

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
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

// Guards against events that are held back until the stream ends because their lines end in CR LF.
func TestEventsInCRLFArriveAtOnce(t *testing.T) {
	is := is.New(t)
	const first = "id: 1\r\ndata: piece 1\r\n\r\n"
	received := make(chan struct{})
	h := newHarness(t, func(rw http.ResponseWriter, r *http.Request) {
		respondInChunks(rw, r, first)
		select {
		case <-received:
		case <-r.Context().Done():
		}
	})
	request := h.request("/single/", "b")
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer response.Body.Close()
	body := make([]byte, len(first))
	_, err = io.ReadFull(response.Body, body)
	close(received)
	is.NoErr(err)
	is.Equal(string(body), first)
}

// respondUnframed responds without a length or chunks, and ends the response by closing the connection in order.
func respondUnframed(rw http.ResponseWriter, r *http.Request, body string) {
	if connection := writeUnframed(rw, r, "HTTP/1.1", body); connection != nil {
		connection.Close()
	}
}

// respondUnframed10 does so in HTTP/1.0.
func respondUnframed10(rw http.ResponseWriter, r *http.Request, body string) {
	if connection := writeUnframed(rw, r, "HTTP/1.0", body); connection != nil {
		connection.Close()
	}
}

// respondUnframedAndReset resets the connection at the end of the body.
func respondUnframedAndReset(rw http.ResponseWriter, r *http.Request, body string) {
	if connection := writeUnframed(rw, r, "HTTP/1.1", body); connection != nil {
		time.Sleep(30 * time.Millisecond) // so that the body arrives
		_ = connection.(*net.TCPConn).SetLinger(0)
		connection.Close()
	}
}

// writeUnframed writes a response without a length or chunks, and returns its connection, nil if that is lost.
func writeUnframed(rw http.ResponseWriter, r *http.Request, proto, body string) net.Conn {
	connection, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return nil
	}
	_, _ = fmt.Fprintf(connection, "%s 200 OK\r\n%s: %s\r\n%s: s1\r\n\r\n%s", proto, headerID, r.Header.Get(headerID), headerSigned, body)
	return connection
}

func respondWithLength(rw http.ResponseWriter, _ *http.Request, body string) {
	rw.Header().Set(headerSigned, "s1")
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(rw, body)
}

func respondInChunks(rw http.ResponseWriter, _ *http.Request, body string) {
	rw.Header().Set(headerSigned, "s1")
	_, _ = io.WriteString(rw, body)
	rw.(http.Flusher).Flush()
}

// streamEnds are ways in which an upstream ends a stream.
var streamEnds = []struct {
	name    string
	respond func(rw http.ResponseWriter, r *http.Request, body string)
	body    string
	// relayed is what the caller receives.
	relayed  string
	complete bool
}{
	{name: "without a length, between events", respond: respondUnframed, body: event(1) + event(2), relayed: event(1) + event(2), complete: true},
	{name: "without a length, in an id", respond: respondUnframed, body: event(1) + "id: 2", relayed: event(1)},
	{name: "without a length, in data", respond: respondUnframed, body: event(1) + "id: 2\ndata: pie", relayed: event(1)},
	{name: "without a length, before the blank line", respond: respondUnframed, body: event(1) + "id: 2\ndata: piece 2\n", relayed: event(1)},
	{name: "without a length, in the first event", respond: respondUnframed, body: "id: 1\nda"},
	{name: "without a length, before the first event", respond: respondUnframed},
	{name: "without a length, in CR LF", respond: respondUnframed, body: event(1) + "id: 2\r\ndata: piece 2\r\n\r", relayed: event(1)},
	{name: "without a length, reset between events", respond: respondUnframedAndReset, body: event(1), relayed: event(1)},
	{name: "HTTP/1.0, in data", respond: respondUnframed10, body: event(1) + "id: 2\ndata: pie", relayed: event(1)},
	{name: "HTTP/1.0, between events", respond: respondUnframed10, body: event(1), relayed: event(1), complete: true},
	{name: "with a length, between events", respond: respondWithLength, body: event(1), relayed: event(1), complete: true},
	{name: "with a length, in data", respond: respondWithLength, body: event(1) + "id: 2\ndata: pie", relayed: event(1)},
	{name: "in chunks, between events", respond: respondInChunks, body: event(1), relayed: event(1), complete: true},
	{name: "in chunks, in data", respond: respondInChunks, body: event(1) + "id: 2\ndata: pie", relayed: event(1)},
}

// Guards against a stream that its upstream broke off inside an event and whose caller receives it as complete.
func TestStreamThatEndsInsideAnEventIsBroken(t *testing.T) {
	for _, tt := range streamEnds {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, func(rw http.ResponseWriter, r *http.Request) { tt.respond(rw, r, tt.body) })
			response, body, err := h.call("/single/", "b")
			is.Equal(h.runs(), 1)
			if tt.relayed == "" {
				is.NoErr(err) // nothing was sent to the caller, who gets a refusal
				is.Equal(response.StatusCode, http.StatusBadGateway)
				return
			}
			is.Equal(err == nil, tt.complete)
			is.Equal(body, tt.relayed)
			is.Equal(h.fleet.brokenCount() > 0, !tt.complete) // a crash is suspected where a stream breaks
		})
	}
}

// Guards against a resumed stream that is given a regular end although the second upstream breaks off as well, or may have.
func TestSecondBreakOfAStreamIsNoEnd(t *testing.T) {
	tests := []struct {
		name    string
		first   func(rw http.ResponseWriter, r *http.Request, body string)
		second  func(rw http.ResponseWriter, r *http.Request, body string)
		rest    string
		relayed string
		// regular: the caller sees no error. The response may end with its connection and leave the caller in doubt.
		regular bool
	}{
		{
			name: "second inside an event", first: respondUnframed, second: respondUnframed,
			rest: event(2) + "id: 3", relayed: event(1) + event(2),
		},
		{
			name: "second in chunks inside an event", first: respondInChunks, second: respondInChunks,
			rest: event(2) + "id: 3", relayed: event(1) + event(2),
		},
		{
			name: "first in chunks, second without a length", first: respondInChunks, second: respondUnframed,
			rest: event(2), relayed: event(1) + event(2),
		},
		{
			name: "both without a length", first: respondUnframed, second: respondUnframed,
			rest: event(2), relayed: event(1) + event(2), regular: true,
		},
		{
			name: "first without a length, second in chunks", first: respondUnframed, second: respondInChunks,
			rest: event(2), relayed: event(1) + event(2), regular: true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var attempts atomic.Int32
			respond := func(rw http.ResponseWriter, r *http.Request) {
				if attempts.Add(1) == 1 {
					tt.first(rw, r, event(1)+"id: 2\ndat")
					return
				}
				is.Equal(r.Header.Get(headerLastEvent), "1")
				tt.second(rw, r, tt.rest)
			}
			h := newHarness(t, respond, respond)
			_, body, err := h.call("/stream/", "b")
			is.Equal(err == nil, tt.regular)
			is.Equal(body, tt.relayed)
		})
	}
}

// Guards against a response that the instance gives a length or closing chunks, and so calls complete, though its
// upstream's end proves nothing.
func TestResponseWithoutALengthIsPassedOnWithoutOne(t *testing.T) {
	long := strings.Repeat("x", 600<<10)
	tests := []struct {
		name    string
		path    string
		respond func(rw http.ResponseWriter, r *http.Request, body string)
		body    string
		framed  bool
		broken  bool
	}{
		{name: "stream", path: "/single/", respond: respondUnframed, body: event(1)},
		{name: "plain", path: "/once/", respond: respondUnframed, body: "answer"},
		{name: "long plain", path: "/once/", respond: respondUnframed, body: long},
		{name: "long plain, reset", path: "/once/", respond: respondUnframedAndReset, body: long, broken: true},
		{name: "plain with a length", path: "/once/", respond: respondWithLength, body: "answer", framed: true},
		{name: "plain in chunks", path: "/once/", respond: respondInChunks, body: "answer", framed: true},
		{name: "stream in chunks", path: "/single/", respond: respondInChunks, body: event(1), framed: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, func(rw http.ResponseWriter, r *http.Request) { tt.respond(rw, r, tt.body) })
			response, body, err := h.call(tt.path, "b")
			is.Equal(err != nil, tt.broken)
			is.True(tt.broken || body == tt.body)
			is.Equal(response.ContentLength >= 0 || len(response.TransferEncoding) > 0, tt.framed)
		})
	}
}

// Guards against a second run of a request whose plain response has partly reached the caller, who could get nothing of it.
func TestPlainResponseThatBreaksMidwayIsNotRunAgain(t *testing.T) {
	is := is.New(t)
	respond := func(rw http.ResponseWriter, r *http.Request) {
		respondUnframedAndReset(rw, r, strings.Repeat("x", 600<<10))
	}
	h := newHarness(t, respond, respond)
	_, _, err := h.call("/idem/", "b")
	is.True(err != nil)
	is.Equal(h.runs(), 1)
}

// Guards against a broken stream whose caller speaks HTTP/1.0: there the end of the connection is the end of the response,
// so that it has to be reset.
func TestBrokenStreamIsResetForCallersWithoutChunks(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, func(rw http.ResponseWriter, r *http.Request) { respondInChunks(rw, r, event(1)+"id: 2") })
	connection, err := net.Dial("tcp", h.server.Listener.Addr().String())
	is.NoErr(err)
	defer connection.Close()
	_, err = fmt.Fprintf(connection, "POST /single/ HTTP/1.0\r\nHost: a.example\r\n%s: id1\r\n%s: %s\r\n\r\n", headerID, headerKey, key)
	is.NoErr(err)
	response, err := io.ReadAll(connection)
	is.True(errors.Is(err, syscall.ECONNRESET))
	is.True(strings.HasSuffix(string(response), event(1)))
}

// Guards against a resumable stream that ends for its caller where one upstream broke off.
func TestStreamThatEndsInsideAnEventGoesOnElsewhere(t *testing.T) {
	const last = 3
	for _, tt := range streamEnds {
		if tt.complete {
			continue
		}
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var attempts atomic.Int32
			respond := func(rw http.ResponseWriter, r *http.Request) {
				if attempts.Add(1) == 1 {
					tt.respond(rw, r, tt.body)
					return
				}
				from, _ := strconv.Atoi(r.Header.Get(headerLastEvent)) // 0 without the header
				var rest strings.Builder
				for id := from + 1; id <= last; id++ {
					rest.WriteString(event(id))
				}
				respondInChunks(rw, r, rest.String())
			}
			h := newHarness(t, respond, respond)
			_, body, err := h.call("/stream/", "b")
			is.NoErr(err)
			is.Equal(body, event(1)+event(2)+event(3))
			is.Equal(h.runs(), 2)
		})
	}
}
