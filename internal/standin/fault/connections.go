package fault

// Connections with injected faults. Connection tracking between two hosts may lose its entry for a
// connection. Data sent on that connection is then dropped without an error, while new connections work.
// The listener here simulates this for the stand-ins.

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// Listener accepts connections that can be made silent. The field Listener must be set.
type Listener struct {
	net.Listener

	mu   sync.Mutex
	open map[*connection]struct{}
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	accepted := &connection{Conn: inner, listener: l, closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open == nil {
		l.open = make(map[*connection]struct{})
	}
	l.open[accepted] = struct{}{}
	return accepted, nil
}

// SilenceOpen permanently silences every connection that is open now, and returns their number.
// Connections accepted later work.
func (l *Listener) SilenceOpen() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for open := range l.open {
		open.silent.Store(true)
	}
	return len(l.open)
}

func (l *Listener) remove(closed *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, closed)
}

// connection drops all data in both directions once it is silent.
type connection struct {
	net.Conn
	listener  *Listener
	silent    atomic.Bool
	closeOnce sync.Once
	closed    chan struct{}
}

// Read returns no data on a silent connection. It drops what arrives until the server closes the
// connection.
func (c *connection) Read(into []byte) (int, error) {
	for {
		n, err := c.Conn.Read(into)
		if !c.silent.Load() {
			return n, err
		}
		if err != nil {
			<-c.closed
			return 0, net.ErrClosed
		}
	}
}

// Write drops the data on a silent connection and reports success.
func (c *connection) Write(from []byte) (int, error) {
	if c.silent.Load() {
		return len(from), nil
	}
	return c.Conn.Write(from)
}

// Close closes the connection.
func (c *connection) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.listener.remove(c)
	})
	return c.Conn.Close()
}

// Cut closes the client's connection before the answer is complete. The client sees a broken connection and
// cannot know whether its call took effect.
func Cut(w http.ResponseWriter) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	hijacked, _, err := hijacker.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	hijacked.Close()
}
