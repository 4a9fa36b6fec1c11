package api

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"lacewingrock.example/lacewingrock/internal/caller/refusal"
)

// limitedListener rejects connections at once when too many are open. Each connection costs buffers and a goroutine
// even if its headers never end, so a flood of them would exhaust the memory of a small instance. Left in the
// kernel's accept queue, callers would wait without an answer.
type limitedListener struct {
	net.Listener
	open  *atomic.Int64
	limit int64
}

// rejectTimeout bounds the write to a rejected connection.
const rejectTimeout = 100 * time.Millisecond

// Accept returns the next connection within the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &countedConn{Conn: conn, open: l.open}, nil
		}
		l.open.Add(-1)
		reject(conn)
	}
}

// reject answers without reading the request. The answer fits into the kernel's buffer, so the write does not delay
// the next Accept.
func reject(conn net.Conn) {
	defer conn.Close()
	_ = conn.SetWriteDeadline(time.Now().Add(rejectTimeout))
	_, _ = conn.Write(refusal.New(refusal.Busy, "too many connections are open").RawResponse())
}

// countedConn releases its slot once, however often it is closed.
type countedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

// Close closes the connection and releases its slot.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
