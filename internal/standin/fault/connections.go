package fault

// Connections that fail on demand. Something between two ends may lose track of their connection:
// what is sent on it arrives nowhere and nobody is told, while new connections work. The same
// listener serves the stand-ins and the proxy of the integration tests.

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// Listener hands out connections that can be made silent. Its zero value is not usable: set
// Listener.
type Listener struct {
	net.Listener

	mu   sync.Mutex
	open map[*connection]struct{}
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	plain, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	accepted := &connection{Conn: plain, owner: l, closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open == nil {
		l.open = make(map[*connection]struct{})
	}
	l.open[accepted] = struct{}{}
	return accepted, nil
}

// SilenceOpen makes every connection that is open now silent for good, and returns how many those
// were. Connections accepted later work.
func (l *Listener) SilenceOpen() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for open := range l.open {
		open.silent.Store(true)
	}
	return len(l.open)
}

func (l *Listener) forget(closed *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, closed)
}

// connection swallows what is written and yields nothing to read once it is silent.
type connection struct {
	net.Conn
	owner  *Listener
	silent atomic.Bool
	once   sync.Once
	closed chan struct{}
}

// Read yields nothing on a silent connection: what arrives is dropped until the other end or the
// server closes it.
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

// Write pretends to send on a silent connection.
func (c *connection) Write(from []byte) (int, error) {
	if c.silent.Load() {
		return len(from), nil
	}
	return c.Conn.Write(from)
}

// Close closes the connection.
func (c *connection) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.owner.forget(c)
	})
	return c.Conn.Close()
}

// Cut closes the caller's connection without (the rest of) an answer. The caller sees a reset and
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
