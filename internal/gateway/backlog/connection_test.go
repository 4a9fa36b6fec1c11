package backlog

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"lacewingrock.example/lacewingrock/internal/gateway/memory"
	"lacewingrock.example/lacewingrock/internal/gateway/socket"
)

// pair is a connection with a backlog, and the caller's end of it.
type pair struct {
	backlogs *Backlogs
	server   net.Conn
	caller   *net.TCPConn
}

// newPair returns a pair whose sockets keep little, within an account that is large.
func newPair(t *testing.T) *pair {
	t.Helper()
	is := is.New(t)
	p := &pair{backlogs: &Backlogs{Account: &memory.Account{Limit: 64 << 20}, Log: zerolog.Nop(), Scope: tally.NoopScope}}
	inner, err := socket.Listen(t.Context(), "127.0.0.1:0")
	is.NoErr(err)
	defer inner.Close()
	caller, err := net.Dial("tcp", inner.Addr().String())
	is.NoErr(err)
	p.caller = caller.(*net.TCPConn)
	is.NoErr(p.caller.SetReadBuffer(8 << 10))
	p.server, err = p.backlogs.Listener(inner).Accept()
	is.NoErr(err)
	t.Cleanup(func() {
		_ = p.caller.Close()
		_ = p.server.Close()
	})
	return p
}

// Guards against a request that is read, and run, on a connection whose end is decided: its response would be lost. The HTTP
// server may set the deadline of its next read just after the connection was closed as an idle one.
func TestNothingIsReadAfterClose(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	_, err := p.server.Write(make([]byte, 8<<20))
	is.NoErr(err)
	is.Equal(p.backlogs.Count(), int64(1))
	is.NoErr(p.server.Close())
	_, err = p.caller.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	_ = p.server.SetReadDeadline(time.Now().Add(time.Second))
	n, err := p.server.Read(make([]byte, 100))
	is.True(err != nil)
	is.Equal(n, 0)
}
