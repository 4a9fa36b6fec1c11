package serve_test

// Upstreams in trouble that send bytes without an end.

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// endless sends a beginning and then a piece without an end, until its connection is closed.
type endless struct {
	begin, piece string
	requests     atomic.Int32
	closed       atomic.Int32
	sent         atomic.Int64
	longest      atomic.Int64
}

func (u *endless) respond(rw http.ResponseWriter, r *http.Request) {
	connection, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer connection.Close()
	u.requests.Add(1)
	begun := time.Now()
	_ = setSendBuffer(connection, 32<<10)
	begin := strings.ReplaceAll(u.begin, "ID", headerID+": "+r.Header.Get(headerID)+"\r\n"+headerSigned+": s1")
	_, err = io.WriteString(connection, begin)
	for piece := []byte(u.piece); err == nil; {
		var n int
		n, err = connection.Write(piece)
		u.sent.Add(int64(n))
	}
	u.longest.Store(max(u.longest.Load(), int64(time.Since(begun))))
	u.closed.Add(1)
}

const (
	okHead     = "HTTP/1.1 200 OK\r\nID\r\n"
	failedHead = "HTTP/1.1 500 Internal Server Error\r\nID\r\n"
)

// endlessResponses are what upstreams in trouble send, and how it is counted.
var endlessResponses = []struct {
	name   string
	path   string
	begin  string
	piece  string
	reason string
	// most is how many bytes may be received of one response, in MiB, with what the buffers of the kernel take.
	most float64
}{
	{"head", "/idem/", okHead, strings.Repeat("A: "+strings.Repeat("b", 1000)+"\r\n", 16), "head", 1},
	{"line of a head", "/idem/", okHead + "A: ", strings.Repeat("b", 16<<10), "head", 1},
	{"no head", "/idem/", "", strings.Repeat("b", 16<<10), "head", 1},
	{"informational heads", "/idem/", "", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 512), "head", 1},
	{"head of a stream", "/stream/", okHead, strings.Repeat("A: "+strings.Repeat("b", 1000)+"\r\n", 16), "head", 1},
	{"body with a length", "/idem/", okHead + "Content-Length: 1099511627776\r\n\r\n", strings.Repeat("b", 16<<10), "body", 1},
	{"body without a length", "/idem/", okHead + "\r\n", strings.Repeat("b", 16<<10), "body", 34},
	{"body in chunks", "/idem/", okHead + "Transfer-Encoding: chunked\r\n\r\n", "4000\r\n" + strings.Repeat("b", 16<<10) + "\r\n", "body", 34},
	{"failure with a length", "/idem/", failedHead + "Content-Length: 1099511627776\r\n\r\n", strings.Repeat("b", 16<<10), "failure_body", 1},
	{"failure without a length", "/idem/", failedHead + "\r\n", strings.Repeat("b", 16<<10), "failure_body", 1},
	{"failure in chunks", "/idem/", failedHead + "Transfer-Encoding: chunked\r\n\r\n", "4000\r\n" + strings.Repeat("b", 16<<10) + "\r\n", "failure_body", 1},
	{"comments in a stream", "/stream/", okHead + "\r\n", strings.Repeat(": comment\n\n", 1000), "no_data", 1},
	{"comments without a blank line", "/stream/", okHead + "\r\n", strings.Repeat(": comment\n", 1000), "no_data", 1},
	{"stream without an event", "/stream/", okHead + "\r\n", strings.Repeat("b", 16<<10), "no_data", 1},
	{"event", "/stream/", okHead + "\r\nid: 1\ndata: ", strings.Repeat("b", 16<<10), "event", 2},
	{"comments after an event", "/stream/", okHead + "\r\nid: 1\ndata: piece 1\n\n", strings.Repeat(": comment\n\n", 1000), "no_data", 1},
}

// Guards against an upstream that sends bytes without an end, and takes the memory of the instance, or the requests of other
// upstreams, with it.
func TestUpstreamThatSendsWithoutEnd(t *testing.T) {
	for _, tt := range endlessResponses {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			const count = 60
			u := &endless{begin: tt.begin, piece: tt.piece}
			whole := func(rw http.ResponseWriter, r *http.Request) {
				if r.Header.Get(headerLastEvent) != "" {
					respondInChunks(rw, r, event(2))
					return
				}
				respondInChunks(rw, r, event(1)+event(2))
			}
			h := newBytesHarness(t, 144, u.respond, whole, whole)
			heap := watchHeap()
			var group sync.WaitGroup
			var complete, broken, wrong atomic.Int32
			for range count {
				group.Go(func() {
					response, body, err := h.callBriefly(tt.path)
					switch {
					case err != nil:
						broken.Add(1)
					case response.StatusCode == http.StatusOK && strings.Count(body, event(1)) == 1 && strings.HasSuffix(body, event(2)):
						complete.Add(1)
					default:
						wrong.Add(1)
						t.Log(response.StatusCode, len(body))
					}
				})
				time.Sleep(5 * time.Millisecond)
				if tt.most >= 34 {
					group.Wait() // several at once would reach the deadline before the bound on a busy machine
				}
			}
			group.Wait()
			growth := heap.growth()
			time.Sleep(50 * time.Millisecond)
			requests := u.requests.Load()
			t.Logf("%d requests at the upstream, %.1f MiB each, longest %s; %d complete, %d broken; heap grew by %.1f MiB", requests,
				float64(u.sent.Load())/(1<<20)/float64(max(requests, 1)), time.Duration(u.longest.Load()).Round(time.Millisecond),
				complete.Load(), broken.Load(), growth)
			is.True(requests > 0)
			is.Equal(u.closed.Load(), requests) // each connection was closed
			is.True(time.Duration(u.longest.Load()) < 3*time.Second)
			is.Equal(h.excesses(tt.reason), int64(requests))
			is.True(float64(u.sent.Load()) <= float64(requests)*tt.most*(1<<20))
			is.True(growth < 72)
			is.Equal(wrong.Load(), int32(0))
			if tt.most < 34 { // others are served by another upstream
				is.Equal(complete.Load(), int32(count))
				return
			}
			// A signed body that is longer than what is held is forwarded, and breaks off for its caller.
			is.Equal(complete.Load()+broken.Load(), int32(count))
			is.Equal(broken.Load(), requests)
		})
	}
}

// callBriefly sends a request, and keeps only the beginning of a long response.
func (h *bytesHarness) callBriefly(path string) (*http.Response, string, error) {
	response, err := http.DefaultClient.Do(h.request(path, "b", headerTimeout, "2900"))
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, 128<<10))
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	return response, string(content), err
}

// Guards against the claim that a request has not run, whose upstream has sent bytes without an end.
func TestRequestWhoseResponseHasNoEndMayHaveRun(t *testing.T) {
	for _, tt := range endlessResponses {
		if tt.path == "/stream/" || tt.most >= 34 {
			continue
		}
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newBytesHarness(t, 144, (&endless{begin: tt.begin, piece: tt.piece}).respond)
			response, _, err := h.call("/once/", "b")
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusBadGateway)
			is.True(response.Header.Get("X-Run") != "not-run")
		})
	}
}

// Guards against a body that is passed on in part where it would fit, or an event that is held to be endless, at the bounds.
func TestResponsesWithinTheBounds(t *testing.T) {
	for _, c := range []struct {
		name    string
		path    string
		respond func(rw http.ResponseWriter, r *http.Request, body string)
		body    string
		framed  bool
	}{
		{"body in chunks within what is held", "/once/", respondInChunks, strings.Repeat("b", 1<<20), true},
		{"longer body in chunks", "/once/", respondInChunks, strings.Repeat("b", 3<<20), false},
		{"long body with a length", "/once/", respondWithLength, strings.Repeat("b", 31<<20), false},
		{"long event", "/single/", respondInChunks, "id: 1\ndata: " + strings.Repeat("b", 1<<20-100) + "\n\n", false},
		{"long stream", "/single/", respondInChunks, strings.Repeat(event(1)+": comment\n\n", 200<<10), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newBytesHarness(t, 144, func(rw http.ResponseWriter, r *http.Request) { c.respond(rw, r, c.body) })
			response, body, err := h.call(c.path, "b")
			is.NoErr(err)
			is.True(body == c.body)
			is.Equal(response.Header.Get("Content-Length") != "", c.framed)
			h.awaitEmptyAccount()
		})
	}
}

// Guards against bodies that stay in the account, and a refusal that does not say that the request has not run.
func TestBodiesWithoutRoomAreRefused(t *testing.T) {
	for _, c := range []struct {
		name    string
		chunked bool
	}{{"with a length", false}, {"in chunks", true}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newBytesHarness(t, 8, served) // an account of 2 MiB
			for _, size := range []struct {
				bytes  int
				status int
			}{{32 << 10, http.StatusOK}, {900 << 10, http.StatusOK}, {1200 << 10, http.StatusServiceUnavailable}} {
				request := h.request("/once/", strings.Repeat("b", size.bytes))
				if c.chunked {
					request.ContentLength = -1
				}
				response, err := http.DefaultClient.Do(request)
				is.NoErr(err)
				response.Body.Close()
				is.Equal(response.StatusCode, size.status)
				if size.status == http.StatusServiceUnavailable {
					is.Equal(response.Header.Get("X-Run"), "not-run")
					is.Equal(response.Header.Get("Retry-After"), "1.000")
					is.True(response.Close)
				}
			}
			h.awaitEmptyAccount()
			is.Equal(h.scope.Snapshot().Counters()["memory_refusals+kind=large_bodies"].Value(), int64(1))
		})
	}
}

// Guards against bytes that stay in the account, where several failures of one request are kept one after the other.
func TestKeptFailuresLeaveTheAccount(t *testing.T) {
	is := is.New(t)
	failed := func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set(headerSigned, "s1")
		rw.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(rw, strings.Repeat("b", 200<<10))
	}
	h := newBytesHarness(t, 144, failed, failed, failed)
	response, body, err := h.call("/thrice/", "b")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusInternalServerError)
	is.Equal(len(body), 200<<10)
	_, peak := h.account.Total()
	is.True(peak > 0)
	h.awaitEmptyAccount()
}
