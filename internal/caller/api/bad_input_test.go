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

// Callers send what they like. Each mistake gets its code at once, in the API's error shape, and none
// of them reaches an upstream.
func TestBadRequests(t *testing.T) {
	pipeline := &fakePipeline{}
	small := limits()
	small.Completion.BodyBytes = 1 << 10
	small.MaxServiceBodyBytes = 1 << 10
	server := start(t, pipeline, small)
	long := strings.Repeat("x", 2<<10)
	const completions = "/v1/completions"
	cases := []struct {
		name, method, path, key, body string
		status                        int
		code                          string
	}{
		{"no key", "POST", completions, "", `{}`, 401, "missing_key"},
		{"wrong key", "POST", completions, "other", `{}`, 401, "invalid_key"},
		{"no path", "GET", "/v2", "secret", "", 404, "not_found"},
		{"method", "GET", completions, "secret", "", 405, "method_not_allowed"},
		{"empty", "POST", completions, "secret", "", 400, "bad_request"},
		{"not JSON", "POST", completions, "secret", "{", 400, "bad_request"},
		{"list", "POST", completions, "secret", "[]", 400, "bad_request"},
		{"no prompt", "POST", completions, "secret", `{"model":"a"}`, 400, "bad_request"},
		{"large", "POST", completions, "secret", `{"prompt":"` + long + `"}`, 413, "body_too_large"},
		{"deep", "POST", completions, "secret", `{"a":` + strings.Repeat("[", 500), 400, "bad_request"},
		{"large call", "POST", "/services/orders/a", "secret", long, 413, "body_too_large"},
		{"dots", "POST", "/services/orders/%2e%2e/a", "secret", "", 400, "bad_request"},
		{"service without key", "POST", "/services/orders", "", "", 401, "missing_key"},
		{"service method", "TRACE", "/services/orders", "secret", "", 405, "method_not_allowed"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			response, text := ask(t, c.method, server.url(c.path), c.key, c.body)
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
	response, text := ask(t, "POST", server.url("/services/orders/a%2Fb/c?x=1"), "secret", "{}")
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

// send opens a connection, sends the text, and returns what comes back until the server closes.
func send(t *testing.T, address, text string) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	_, _ = io.WriteString(conn, text)
	answer, _ := io.ReadAll(conn)
	return string(answer)
}

func head(lines ...string) string {
	return "POST /v1/completions HTTP/1.1\r\nHost: a\r\n" + strings.Join(lines, "\r\n")
}

// A sender is slow on purpose, or its machine has died: its headers or its body never end. Its
// connection must be given back in bounded time and nothing may be asked of an upstream; the same goes
// for headers without end.
func TestSlowAndEndlessSenders(t *testing.T) {
	pipeline := &fakePipeline{}
	quick := limits()
	quick.HeaderTimeout = 200 * time.Millisecond
	quick.BodyTimeout = 200 * time.Millisecond
	server := start(t, pipeline, quick)
	flood := strings.Repeat("X-A: "+strings.Repeat("b", 1000)+"\r\n", 200)
	cases := []struct {
		name, text, want string
	}{
		{"half a header", head("X-A"), "400 Bad Request"},
		{"half a body", head("Authorization: Bearer secret", "Content-Length: 9", "", "{"), "body_too_slow"},
		{"half a body without a key", head("Content-Length: 9", "", "{"), "missing_key"},
		{"cut chunk", head("Authorization: Bearer secret", "Transfer-Encoding: chunked", "", "zz\r\n"), "bad_request"},
		{"header flood", head(flood, ""), "431"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			answer := send(t, server.address, c.text)
			if !strings.Contains(answer, c.want) {
				t.Fatalf("answered %q", answer)
			}
		})
	}
	is.New(t).Equal(pipeline.calls.Load(), int32(0))
}

// A caller stops reading in the middle of its stream but keeps the connection. Its request would hold a
// batch place for ever; the pipeline must be told that it is gone.
func TestCallerStopsReading(t *testing.T) {
	is := is.New(t)
	told := make(chan error, 1)
	pipeline := &fakePipeline{complete: func(_ context.Context, _ completion.Request, sink api.Sink) (err error) {
		defer func() { told <- err }()
		long := fmt.Sprintf(`{"choices":[{"index":0,"text":%q}]}`, strings.Repeat("a", 100<<10))
		for n := 1; err == nil; n++ {
			err = sink.Event(stream.Event{ID: fmt.Sprint(n), Data: []byte(long)}, n)
		}
		return err
	}}
	impatient := limits()
	impatient.WriteTimeout = 200 * time.Millisecond
	server := start(t, pipeline, impatient)
	conn, err := net.Dial("tcp", server.address)
	is.NoErr(err)
	defer conn.Close()
	body := `{"model":"a","prompt":"b","stream":true}`
	_, err = io.WriteString(conn, head("Authorization: Bearer secret", fmt.Sprintf("Content-Length: %d", len(body)), "", body))
	is.NoErr(err)
	is.True(refusal.Is(<-told, refusal.Cancelled))
}

// More connections come than the instance has room for. Those over the limit are told so at once, and
// the place of a closed one is free again.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	few := limits()
	few.MaxConnections = 1
	server := start(t, &fakePipeline{}, few)
	held, err := net.Dial("tcp", server.address)
	is.NoErr(err)
	for {
		answer := send(t, server.address, "")
		if strings.Contains(answer, "503") {
			is.True(strings.Contains(answer, "Retry-After: 1"))
			is.True(strings.Contains(answer, `"code":"busy"`))
			break
		}
	}
	is.NoErr(held.Close())
	for !strings.Contains(send(t, server.address, "GET /v2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"), "not_found") {
		time.Sleep(time.Millisecond)
	}
}

// Callers send bodies far above the limit, with and without saying how long they are. The instance
// would run out of memory if it took them in before judging them.
func TestLargeBodiesTakeNoMemory(t *testing.T) {
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
			ended <- nil // the connection was closed under the body, which is as good
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

// endless is a body without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = ' '
	}
	return len(p), nil
}

// ---------------------------------------------------------------------------------------------

// An operator stops an instance while a stream runs and a caller holds an open connection. The stream
// must come to its end, the connection's next request must be answered, and that answer must tell the
// caller to open a new connection.
func TestPlannedStopCutsNothing(t *testing.T) {
	is := is.New(t)
	begun, goOn := make(chan struct{}), make(chan struct{})
	pipeline := &stoppingPipeline{begun: begun, goOn: goOn}
	settling := limits()
	settling.ShutdownDelay = 2 * time.Second
	server := start(t, pipeline, settling)
	kept, err := net.Dial("tcp", server.address)
	is.NoErr(err)
	defer kept.Close()
	keptReader := bufio.NewReader(kept)
	is.Equal(modelsOver(t, kept, keptReader), "")
	whole := make(chan string)
	go func() {
		_, text := ask(t, "POST", server.url("/v1/completions"), "secret", `{"model":"a","prompt":"b","stream":true}`)
		whole <- text
	}()
	<-begun
	server.stop()
	time.Sleep(100 * time.Millisecond) // less than Settle; the flag is set within microseconds
	is.Equal(modelsOver(t, kept, keptReader), "close")
	time.Sleep(settling.ShutdownDelay)
	close(goOn)
	is.True(strings.Contains(<-whole, "[DONE]"))
	is.NoErr(<-server.ended)
	_, err = net.Dial("tcp", server.address)
	is.True(err != nil)
}

// modelsOver asks over a kept connection and returns the answer's Connection header.
func modelsOver(t *testing.T, conn net.Conn, reader *bufio.Reader) string {
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
