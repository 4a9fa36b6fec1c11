package api

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"lacewingrock.example/lacewingrock/internal/caller/refusal"
)

// limitedListener turns connections away at once when too many are open. Each costs buffers and a
// goroutine even if its sender never ends its headers, so a flood of them would exhaust the memory of
// a small instance; left waiting in the kernel's queue, callers would hang without an answer.
type limitedListener struct {
	net.Listener
	open *atomic.Int64
	most int64
}

// turnAwayWithin bounds the write to a connection that is turned away.
const turnAwayWithin = 100 * time.Millisecond

// Accept returns the next connection within the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.most {
			return &countedConn{Conn: conn, open: l.open}, nil
		}
		l.open.Add(-1)
		turnAway(conn)
	}
}

// turnAway answers without reading the request. The answer is small enough for the kernel's buffer, so
// the write does not hold up the next Accept.
func turnAway(conn net.Conn) {
	defer conn.Close()
	_ = conn.SetWriteDeadline(time.Now().Add(turnAwayWithin))
	_, _ = conn.Write(refusal.New(refusal.Busy, "too many connections are open").RawResponse())
}

// countedConn gives its place back once, however often it is closed.
type countedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

// Close closes the connection and gives its place back.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
