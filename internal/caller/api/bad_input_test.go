package api_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/caller/api"
	"lacewingrock.example/lacewingrock/internal/caller/completion"
	"lacewingrock.example/lacewingrock/internal/caller/refusal"
	"lacewingrock.example/lacewingrock/internal/caller/stream"
)

// Each invalid request gets its error code at once, in the API's error format, and does not reach an upstream.
func TestBadRequests(t *testing.T) {
	pipeline := &fakePipeline{}
	smallLimits := limits()
	smallLimits.Completion.BodyBytes = 1 << 10
	smallLimits.MaxServiceBodyBytes = 1 << 10
	server := start(t, pipeline, smallLimits)
	long := strings.Repeat("x", 2<<10)
	const completions = "/v1/completions"
	cases := []struct {
		name, method, path, key, body string
		status                        int
		code                          string
	}{
		{"no key", "POST", completions, "", `{}`, 401, "missing_key"},
		{"wrong key", "POST", completions, "other", `{}`, 401, "invalid_key"},
		{"unknown path", "GET", "/v2", "secret", "", 404, "not_found"},
		{"wrong method", "GET", completions, "secret", "", 405, "method_not_allowed"},
		{"empty body", "POST", completions, "secret", "", 400, "bad_request"},
		{"not JSON", "POST", completions, "secret", "{", 400, "bad_request"},
		{"JSON list", "POST", completions, "secret", "[]", 400, "bad_request"},
		{"no prompt", "POST", completions, "secret", `{"model":"a"}`, 400, "bad_request"},
		{"large body", "POST", completions, "secret", `{"prompt":"` + long + `"}`, 413, "body_too_large"},
		{"deep nesting", "POST", completions, "secret", `{"a":` + strings.Repeat("[", 500), 400, "bad_request"},
		{"large service call", "POST", "/services/orders/a", "secret", long, 413, "body_too_large"},
		{"dot segments", "POST", "/services/orders/%2e%2e/a", "secret", "", 400, "bad_request"},
		{"service without key", "POST", "/services/orders", "", "", 401, "missing_key"},
		{"wrong service method", "TRACE", "/services/orders", "secret", "", 405, "method_not_allowed"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			response, text := doRequest(t, c.method, server.url(c.path), c.key, c.body)
			is.Equal(response.StatusCode, c.status)
			is.Equal(response.Header.Get("X-Run"), "not-run")
			is.True(response.Header.Get(api.HeaderRequestID) != "")
			var wire struct {
				Error struct{ Message, Type, Code string }
			}
			is.NoErr(json.Unmarshal([]byte(text), &wire))
			is.Equal(wire.Error.Code, c.code)
			is.True(wire.Error.Message != "" && wire.Error.Type != "")
		})
	}
	is.New(t).Equal(pipeline.calls.Load(), int32(0))
}

func TestServices(t *testing.T) {
	is := is.New(t)
	pipeline := &fakePipeline{}
	server := start(t, pipeline, limits())
	response, text := doRequest(t, "POST", server.url("/services/orders/a%2Fb/c?x=1"), "secret", "{}")
	is.Equal(response.StatusCode, http.StatusCreated)
	is.Equal(text, "POST /a%2Fb/c")
	is.Equal(response.Header.Get("X-Run"), "ran")
	for _, key := range []string{strings.Repeat("k", 256), "a b", "é"} {
		request, err := http.NewRequest("POST", server.url("/services/orders/a"), nil)
		is.NoErr(err)
		request.Header.Set("Authorization", "Bearer secret")
		request.Header.Set("Idempotency-Key", key)
		response, err := http.DefaultClient.Do(request)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusBadRequest)
		is.NoErr(response.Body.Close())
	}
	is.Equal(pipeline.calls.Load(), int32(1))
}

// ---------------------------------------------------------------------------------------------

// sendRaw opens a connection, sends the text, and returns everything received until the server closes the connection.
func sendRaw(t *testing.T, address, text string) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	_, _ = io.WriteString(conn, text)
	response, _ := io.ReadAll(conn)
	return string(response)
}

func requestHead(lines ...string) string {
	return "POST /v1/completions HTTP/1.1\r\nHost: a\r\n" + strings.Join(lines, "\r\n")
}

// A slow or dead client never completes its headers or its body, or sends endless headers. Its connection must be
// released within bounded time, and no upstream may be called.
func TestSlowAndEndlessSenders(t *testing.T) {
	pipeline := &fakePipeline{}
	shortLimits := limits()
	shortLimits.HeaderTimeout = 200 * time.Millisecond
	shortLimits.BodyTimeout = 200 * time.Millisecond
	server := start(t, pipeline, shortLimits)
	flood := strings.Repeat("X-A: "+strings.Repeat("b", 1000)+"\r\n", 200)
	cases := []struct {
		name, text, want string
	}{
		{"half a header", requestHead("X-A"), "400 Bad Request"},
		{"half a body", requestHead("Authorization: Bearer secret", "Content-Length: 9", "", "{"), "body_too_slow"},
		{"half a body without a key", requestHead("Content-Length: 9", "", "{"), "missing_key"},
		{"malformed chunk", requestHead("Authorization: Bearer secret", "Transfer-Encoding: chunked", "", "zz\r\n"), "bad_request"},
		{"header flood", requestHead(flood, ""), "431"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			response := sendRaw(t, server.address, c.text)
			if !strings.Contains(response, c.want) {
				t.Fatalf("unexpected response %q", response)
			}
		})
	}
	is.New(t).Equal(pipeline.calls.Load(), int32(0))
}

// A caller stops reading in the middle of its stream but keeps the connection open. Its request would occupy a batch
// slot indefinitely, so the pipeline must be notified that the caller has disconnected.
func TestCallerStopsReading(t *testing.T) {
	is := is.New(t)
	result := make(chan error, 1)
	pipeline := &fakePipeline{complete: func(_ context.Context, _ completion.Request, sink api.Sink) (err error) {
		defer func() { result <- err }()
		long := fmt.Sprintf(`{"choices":[{"index":0,"text":%q}]}`, strings.Repeat("a", 100<<10))
		for n := 1; err == nil; n++ {
			err = sink.Event(stream.Event{ID: fmt.Sprint(n), Data: []byte(long)}, n)
		}
		return err
	}}
	shortLimits := limits()
	shortLimits.WriteTimeout = 200 * time.Millisecond
	server := start(t, pipeline, shortLimits)
	conn, err := net.Dial("tcp", server.address)
	is.NoErr(err)
	defer conn.Close()
	body := `{"model":"a","prompt":"b","stream":true}`
	_, err = io.WriteString(conn, requestHead("Authorization: Bearer secret", fmt.Sprintf("Content-Length: %d", len(body)), "", body))
	is.NoErr(err)
	is.True(refusal.Is(<-result, refusal.Cancelled))
}

// Connections above the limit are rejected at once with an error response, and a closed connection frees its slot.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	connectionLimits := limits()
	connectionLimits.MaxConnections = 1
	server := start(t, &fakePipeline{}, connectionLimits)
	held, err := net.Dial("tcp", server.address)
	is.NoErr(err)
	for {
		response := sendRaw(t, server.address, "")
		if strings.Contains(response, "503") {
			is.True(strings.Contains(response, "Retry-After: 1"))
			is.True(strings.Contains(response, `"code":"busy"`))
			break
		}
	}
	is.NoErr(held.Close())
	for !strings.Contains(sendRaw(t, server.address, "GET /v2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"), "not_found") {
		time.Sleep(time.Millisecond)
	}
}

// Callers send bodies far above the limit, with and without a Content-Length. The instance would run out of memory if
// it buffered them before checking the size.
func TestLargeBodiesAreNotBuffered(t *testing.T) {
	is := is.New(t)
	pipeline := &fakePipeline{}
	server := start(t, pipeline, limits())
	const bodyBytes, senders = 32 << 20, 24
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	ended := make(chan error, senders)
	for n := range senders {
		go func() {
			body := io.LimitReader(endless{}, bodyBytes)
			request, err := http.NewRequest("POST", server.url("/v1/completions"), body)
			if err != nil {
				ended <- err
				return
			}
			request.Header.Set("Authorization", "Bearer secret")
			if n%2 == 0 {
				request.ContentLength = bodyBytes
			}
			response, err := http.DefaultTransport.RoundTrip(request)
			if err == nil {
				defer response.Body.Close()
				if response.StatusCode != http.StatusRequestEntityTooLarge {
					err = fmt.Errorf("status %d", response.StatusCode)
				}
				ended <- err
				return
			}
			ended <- nil // the connection was closed while the body was sent, which is also valid
		}()
	}
	for range senders {
		is.NoErr(<-ended)
	}
	runtime.ReadMemStats(&after)
	allocated := after.TotalAlloc - before.TotalAlloc
	t.Logf("%d MiB sent, %d MiB allocated", senders*bodyBytes>>20, allocated>>20)
	is.True(allocated < senders*bodyBytes/4)
	is.Equal(pipeline.calls.Load(), int32(0))
}

// endless is a body of unlimited length.
type endless struct{}

func (endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = ' '
	}
	return len(p), nil
}

// ---------------------------------------------------------------------------------------------

// An operator stops an instance while a stream runs and a caller holds an open connection. The stream must complete,
// the next request on the connection must be answered, and that answer must ask the caller to close the connection.
func TestPlannedStopCutsNothing(t *testing.T) {
	is := is.New(t)
	started, release := make(chan struct{}), make(chan struct{})
	pipeline := &blockingPipeline{started: started, release: release}
	stopLimits := limits()
	stopLimits.ShutdownDelay = 2 * time.Second
	server := start(t, pipeline, stopLimits)
	kept, err := net.Dial("tcp", server.address)
	is.NoErr(err)
	defer kept.Close()
	keptReader := bufio.NewReader(kept)
	is.Equal(listModels(t, kept, keptReader), "")
	completed := make(chan string)
	go func() {
		_, text := doRequest(t, "POST", server.url("/v1/completions"), "secret", `{"model":"a","prompt":"b","stream":true}`)
		completed <- text
	}()
	<-started
	server.stop()
	time.Sleep(100 * time.Millisecond) // within the shutdown delay; the flag is set within microseconds
	is.Equal(listModels(t, kept, keptReader), "close")
	time.Sleep(stopLimits.ShutdownDelay)
	close(release)
	is.True(strings.Contains(<-completed, "[DONE]"))
	is.NoErr(<-server.ended)
	_, err = net.Dial("tcp", server.address)
	is.True(err != nil)
}

// listModels sends a request over a kept connection and returns the Connection header of the answer.
func listModels(t *testing.T, conn net.Conn, reader *bufio.Reader) string {
	t.Helper()
	_, err := io.WriteString(conn, "GET /v1/models HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer secret\r\n\r\n")
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	if response.StatusCode != http.StatusOK {
		t.Fatal(response.Status)
	}
	if response.Close {
		return "close"
	}
	return ""
}
