package serve_test

// Callers that read slowly, and large bodies.

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// Guards against a response that its upstream ends, because the caller reads slowly and the instance does not read on
// meanwhile: the caller would get a part of it, also after the deadline of the request.
func TestUpstreamIsReadOnWhileTheCallerReadsSlowly(t *testing.T) {
	const length = 8 << 20
	for _, c := range []struct {
		name   string
		path   string
		stream bool
	}{
		{"body", "/once/", false},
		{"stream", "/single/", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			u := &impatient{length: length, patience: time.Second, stream: c.stream}
			h := newBytesHarness(t, 144, u.respond)
			response, err := slowClient(t).Do(h.request(c.path, "b", headerTimeout, "1000"))
			is.NoErr(err)
			defer response.Body.Close()
			time.Sleep(1500 * time.Millisecond) // the caller reads nothing, and the deadline passes
			is.Equal(u.whole.Load(), int32(1))
			is.True(h.account.Held("responses") > 0)
			// The attempt was settled: its slot is free although the caller has not got the response.
			is.True(!h.isInFlight("u0"))
			got, err := readSlowly(response.Body, 512<<10, 100*time.Millisecond)
			is.NoErr(err)
			is.Equal(got, length)
			is.True(h.backlogs.Await(t.Context()))
			h.awaitEmptyAccount()
		})
	}
}

// Guards against a response that breaks off and looks complete, because what was queued for its caller is followed by an
// end.
func TestBrokenResponseWithABacklogDoesNotLookComplete(t *testing.T) {
	const sent = 6 << 20
	for _, c := range []struct {
		name  string
		proto string
	}{{"chunks", "HTTP/1.1"}, {"end of the connection", "HTTP/1.0"}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			broke := make(chan struct{})
			h := newBytesHarness(t, 144, func(rw http.ResponseWriter, r *http.Request) {
				rw.Header().Set(headerSigned, "s1")
				_, _ = io.WriteString(rw, strings.Repeat("data: "+strings.Repeat("x", 1016)+"\n\n", sent>>10))
				rw.(http.Flusher).Flush()
				time.Sleep(time.Second) // so that all of it is read: a reset drops what is not
				reset(rw, r)
				close(broke)
			})
			connection, err := slowDialer().Dial("tcp", h.server.Listener.Addr().String())
			is.NoErr(err)
			defer connection.Close()
			_, err = fmt.Fprintf(connection, "POST /single/ %s\r\nHost: a.example\r\n%s: id1\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
				c.proto, headerID, headerKey, key)
			is.NoErr(err)
			<-broke
			time.Sleep(100 * time.Millisecond)
			response, err := io.ReadAll(connection)
			if c.proto == "HTTP/1.0" {
				is.True(err != nil) // reset: an end in order would be the end of the response
				return
			}
			is.NoErr(err)
			is.True(len(response) > sent) // what was sent before the break arrives
			is.True(!bytes.HasSuffix(response, []byte("0\r\n\r\n")))
		})
	}
}

// Guards against an upstream that goes on to work for a caller that has left, because its events are queued.
func TestAttemptEndsWhenTheCallerLeaves(t *testing.T) {
	is := is.New(t)
	ended := make(chan time.Time, 1)
	h := newBytesHarness(t, 144, func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(headerSigned, "s1")
		for r.Context().Err() == nil {
			if _, err := io.WriteString(rw, "data: "+strings.Repeat("x", 8<<10)+"\n\n"); err != nil {
				break
			}
			rw.(http.Flusher).Flush()
			time.Sleep(time.Millisecond)
		}
		ended <- time.Now()
	})
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	response, err := slowClient(t).Do(h.request("/single/", "b").WithContext(ctx))
	is.NoErr(err)
	defer response.Body.Close()
	time.Sleep(700 * time.Millisecond)
	is.True(h.backlogs.Count() > 0)
	left := time.Now()
	leave()
	is.True((<-ended).Sub(left) < 500*time.Millisecond)
	for h.backlogs.Count() > 0 {
		is.True(time.Since(left) < 5*time.Second) // what was queued is dropped
		time.Sleep(10 * time.Millisecond)
	}
	h.awaitEmptyAccount()
}

// Guards against a caller that stopped reading, and holds bytes of the account for good.
func TestCallerThatStopsReadingIsGivenUp(t *testing.T) {
	is := is.New(t)
	u := &impatient{length: 8 << 20, patience: time.Second}
	h := newBytesHarness(t, 144, u.respond)
	h.backlogs.ProgressInterval = 300 * time.Millisecond
	response, err := slowClient(t).Do(h.request("/once/", "b"))
	is.NoErr(err)
	defer response.Body.Close()
	for h.backlogs.Count() == 0 {
		time.Sleep(time.Millisecond)
	}
	begun := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	is.True(h.backlogs.Await(ctx))
	is.True(time.Since(begun) > 500*time.Millisecond)
	h.awaitEmptyAccount()
	_, err = io.ReadAll(response.Body)
	is.True(err != nil) // it does not look complete
}

// Guards against a next response that overtakes, or is mixed with, one that is still queued on the same connection.
func TestNextResponseFollowsTheBacklog(t *testing.T) {
	is := is.New(t)
	const length = 7 << 20
	h := newBytesHarness(t, 144, func(rw http.ResponseWriter, r *http.Request) {
		respondWithLength(rw, r, strings.Repeat(r.Header.Get("Call-Letter"), length))
	})
	connection, err := slowDialer().Dial("tcp", h.server.Listener.Addr().String())
	is.NoErr(err)
	defer connection.Close()
	for _, letter := range []string{"a", "b"} {
		_, err = fmt.Fprintf(connection, "POST /once/ HTTP/1.1\r\nHost: a.example\r\n%s: id1\r\n%s: %s\r\nCall-Letter: %s\r\nContent-Length: 0\r\n\r\n",
			headerID, headerKey, key, letter)
		is.NoErr(err)
	}
	time.Sleep(300 * time.Millisecond)
	reader := bufio.NewReader(connection)
	for _, letter := range []string{"a", "b"} {
		response, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.True(string(body) == strings.Repeat(letter, length))
	}
}

// crowd counts how requests ended.
type crowd struct {
	served, refused, failed atomic.Int32
	// last is the last response that was not served.
	last atomic.Pointer[string]
}

func (c *crowd) String() string {
	last := "-"
	if text := c.last.Load(); text != nil {
		last = *text
	}
	return fmt.Sprintf("%d served, %d refused, %d failed (%s)", c.served.Load(), c.refused.Load(), c.failed.Load(), last)
}

// fail counts a request that was not served.
func (c *crowd) fail(response *http.Response, body string, err error) {
	c.failed.Add(1)
	text := fmt.Sprint(err)
	if response != nil {
		text = fmt.Sprint(response.Status, " ", body, err)
	}
	c.last.Store(&text)
}

// Guards against an instance that ends, or serves nobody else, because callers read slowly and others send large bodies.
func TestSlowReadersAndLargeBodiesAtOnce(t *testing.T) {
	is := is.New(t)
	const count = 200
	h := newBytesHarness(t, 144, served, served, served)
	for i := range 3 {
		h.declare("slow", fmt.Sprint("s", i), func(rw http.ResponseWriter, r *http.Request) {
			var length int
			_, _ = fmt.Sscan(r.Header.Get("Call-Length"), &length)
			(&impatient{length: length, patience: 3 * time.Second}).respond(rw, r)
		})
		h.declare("large", fmt.Sprint("l", i), func(rw http.ResponseWriter, r *http.Request) {
			time.Sleep(200 * time.Millisecond)
			served(rw, r)
		})
	}
	h.backlogs.Log = zerolog.New(zerolog.NewTestWriter(t))
	body := strings.Repeat("b", 4<<20)
	heap := watchHeap()
	var slow, large, others crowd
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() {
			length := 256<<10 + i*(768<<10)/(count-1)
			request := h.request("/slow/", "b", "Call-Length", fmt.Sprint(length), headerTimeout, "2900")
			response, err := slowClient(t).Do(request)
			if err != nil {
				slow.fail(nil, "", err)
				return
			}
			defer response.Body.Close()
			if response.StatusCode != http.StatusOK {
				text, _ := io.ReadAll(response.Body)
				slow.fail(response, string(text), nil)
				return
			}
			// Each takes 4 seconds, longer than the deadline of its request.
			got, err := readSlowly(response.Body, length/20, 200*time.Millisecond)
			if err != nil || got != length {
				slow.fail(response, fmt.Sprint(got), err)
				return
			}
			slow.served.Add(1)
		})
		time.Sleep(2 * time.Millisecond)
		group.Go(func() {
			response, text, err := h.call("/large/", body)
			switch {
			case err == nil && response.StatusCode == http.StatusOK:
				large.served.Add(1)
			case err == nil && response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("X-Run") == "not-run" &&
				response.Header.Get("Retry-After") != "":
				large.refused.Add(1)
			default:
				large.fail(response, text, err)
			}
		})
	}
	for begun := time.Now(); time.Since(begun) < 4*time.Second; time.Sleep(10 * time.Millisecond) {
		group.Go(func() {
			response, text, err := h.call("/once/", strings.Repeat("b", 2<<10))
			if err == nil && response.StatusCode == http.StatusOK {
				others.served.Add(1)
				return
			}
			others.fail(response, text, err)
		})
	}
	group.Wait()
	growth := heap.growth()
	_, peak := h.account.Total()
	t.Logf("slow: %s; large: %s; others: %s; peak %.1f of %.1f MiB, heap grew by %.1f MiB", &slow, &large, &others,
		float64(peak)/(1<<20), float64(h.account.Limit)/(1<<20), growth)
	is.True(peak <= h.account.Limit)
	is.True(float64(others.served.Load()) >= 0.98*float64(others.served.Load()+others.failed.Load()))
	is.Equal(slow.served.Load(), int32(count))
	is.True(large.refused.Load() > 0)
	is.True(growth < 144)
}

// Guards against events that are held back, or a flush that waits, where the caller reads normally.
func TestEventsArriveAtOnceThroughABacklog(t *testing.T) {
	is := is.New(t)
	h := newBytesHarness(t, 144, func(rw http.ResponseWriter, r *http.Request) {
		for id := range 20 {
			respondInChunks(rw, r, event(id))
			time.Sleep(20 * time.Millisecond)
		}
	})
	response, err := http.DefaultClient.Do(h.request("/single/", "b"))
	is.NoErr(err)
	defer response.Body.Close()
	for id := range 20 {
		got := make([]byte, len(event(id)))
		begun := time.Now()
		_, err := io.ReadFull(response.Body, got)
		is.NoErr(err)
		is.Equal(string(got), event(id))
		is.True(time.Since(begun) < 100*time.Millisecond)
	}
	is.Equal(h.backlogs.Count(), int64(0))
}

// Guards against a refusal that is lost, because the connection is closed while the caller still sends its body.
func TestCallerThatSendsItsBodyFirstGetsTheRefusal(t *testing.T) {
	is := is.New(t)
	h := newBytesHarness(t, 8, served)
	connection, err := net.Dial("tcp", h.server.Listener.Addr().String())
	is.NoErr(err)
	defer connection.Close()
	_, err = fmt.Fprintf(connection, "POST /once/ HTTP/1.1\r\nHost: a.example\r\n%s: id1\r\n%s: %s\r\nContent-Length: %d\r\n\r\n",
		headerID, headerKey, key, 4<<20)
	is.NoErr(err)
	_, err = connection.Write(make([]byte, 4<<20))
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	is.NoErr(err)
	response.Body.Close()
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(response.Header.Get("X-Run"), "not-run")
	is.True(response.Close)
	is.Equal(h.account.Held("large_bodies"), int64(0))
}

// Guards against a planned stop that cuts off responses which are complete but not read yet.
func TestPlannedStopWaitsForBacklogs(t *testing.T) {
	is := is.New(t)
	const length = 6 << 20
	u := &impatient{length: length, patience: time.Second}
	h := newBytesHarness(t, 144, u.respond)
	response, err := slowClient(t).Do(h.request("/once/", "b"))
	is.NoErr(err)
	defer response.Body.Close()
	for u.whole.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	stopped := make(chan bool, 1)
	go func() {
		_ = h.server.Config.Shutdown(t.Context())
		stopped <- h.backlogs.Await(t.Context())
	}()
	time.Sleep(300 * time.Millisecond)
	is.Equal(len(stopped), 0)
	got, err := readSlowly(response.Body, 512<<10, 20*time.Millisecond)
	is.NoErr(err)
	is.Equal(got, length)
	is.True(<-stopped)
}
