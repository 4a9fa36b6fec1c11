package forward_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/gateway/call"
	"lacewingrock.example/lacewingrock/internal/gateway/forward"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// dialect sends calls without headers of its own.
type dialect struct{ call.Dialect }

func (dialect) RequestHeader(call.Call, call.Attempt) http.Header { return http.Header{} }

func (dialect) ParseResponse(*http.Response) call.ResponseInfo {
	return call.ResponseInfo{Signed: true}
}

// countingUpstream answers the first request on each connection, and the next ones as the test defines.
type countingUpstream struct {
	listener    net.Listener
	connections atomic.Int32
	requests    atomic.Int32
	// closesOnReuse: the second request on a connection is read, and the connection closed without a response.
	closesOnReuse bool
}

func (u *countingUpstream) run() {
	for {
		connection, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.connections.Add(1)
		go u.serve(connection)
	}
}

func (u *countingUpstream) serve(connection net.Conn) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for served := 0; ; served++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		u.requests.Add(1)
		if served > 0 && u.closesOnReuse {
			u.listener.Close() // nothing can be sent again
			return
		}
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

func newCountingUpstream(t *testing.T, closesOnReuse bool) (*countingUpstream, *forward.Client, traffic.Upstream) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	u := &countingUpstream{listener: listener, closesOnReuse: closesOnReuse}
	go u.run()
	client := &forward.Client{
		Dialect: dialect{},
		Dial: func(ctx context.Context, upstream traffic.Upstream) (net.Conn, error) {
			dialer := net.Dialer{Timeout: time.Second}
			return dialer.DialContext(ctx, "tcp", upstream.Address)
		},
		KeepsConnections: func(string) bool { return true },
	}
	return u, client, traffic.Upstream{ID: "u", Address: listener.Addr().String()}
}

func send(t *testing.T, client *forward.Client, upstream traffic.Upstream, newConnection bool) error {
	t.Helper()
	outgoing := call.Call{ID: "id", Method: http.MethodGet, Target: "/", Host: "a.example"}
	response, err := client.Do(t.Context(), upstream, outgoing, call.Attempt{}, newConnection)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	response.Body.Close()
	return err
}

// Guards against a request that may run once and is sent on a connection that was idle: the upstream may be closing it,
// and whether the request ran would be unknown.
func TestNewConnectionIsNew(t *testing.T) {
	is := is.New(t)
	upstream, client, declared := newCountingUpstream(t, false)
	is.NoErr(send(t, client, declared, false))
	is.NoErr(send(t, client, declared, false))
	is.Equal(upstream.connections.Load(), int32(1))
	is.NoErr(send(t, client, declared, true))
	is.Equal(upstream.connections.Load(), int32(2))
	is.NoErr(send(t, client, declared, true))
	is.Equal(upstream.connections.Load(), int32(3))
}

// Guards against a request that has reached its upstream and is reported as not sent: the library sends it again when a
// reused connection breaks, and fails to connect.
func TestRequestThatWasSentIsNotReportedAsNotConnected(t *testing.T) {
	is := is.New(t)
	upstream, client, declared := newCountingUpstream(t, true)
	is.NoErr(send(t, client, declared, false))
	err := send(t, client, declared, false)
	is.True(errors.Is(err, forward.ErrBrokenResponse))
	is.Equal(upstream.requests.Load(), int32(2))
}

// Guards against calls that go to the address that an upstream had before it started again under its id, and over idle
// connections to its life before.
func TestCallsReachTheUpstreamsNewLife(t *testing.T) {
	for _, newConnection := range []bool{false, true} {
		is := is.New(t)
		before, client, upstream := newCountingUpstream(t, false)
		after, _, restarted := newCountingUpstream(t, false)
		restarted.ID = upstream.ID
		for _, declared := range []traffic.Upstream{upstream, restarted, restarted} {
			response, err := client.Do(t.Context(), declared, call.Call{Method: http.MethodGet, Target: "/"}, call.Attempt{}, newConnection)
			is.NoErr(err)
			_, err = io.ReadAll(response.Body)
			is.NoErr(err)
			response.Body.Close()
		}
		is.Equal(before.requests.Load(), int32(1))
		is.Equal(after.requests.Load(), int32(2))
		restarted.StartedMillis++ // at the same address
		connections := after.connections.Load()
		response, err := client.Do(t.Context(), restarted, call.Call{Method: http.MethodGet, Target: "/"}, call.Attempt{}, newConnection)
		is.NoErr(err)
		response.Body.Close()
		is.Equal(after.connections.Load(), connections+1)
	}
}
