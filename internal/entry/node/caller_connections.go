package node

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"lacewingrock.example/lacewingrock/internal/gateway/serve"
)

// caller_connections.go closes connections that callers keep and do not use, before this process has no file left. Without one it
// accepts nobody, and reaches no upstream, peer or store. Callers open many connections where the load balancer hands most of them
// to one instance.

const (
	// callerFilesShare is the part of the files of this process that callers' connections may use. Each request may need another
	// connection to its upstream.
	callerFilesShare = 0.5
	// minUnused is how long a connection is without a request before it counts as unused: its caller may be about to send the next
	// one.
	minUnused = 500 * time.Millisecond
	// defaultFiles is used if the limit on files cannot be read. It is what most systems allow at least.
	defaultFiles = 1024
)

// callerConnections are the connections of callers.
type callerConnections struct {
	// limit is how many may be open before those that are not used are closed.
	limit int
	// minUnused is how long one is without a request before it may be closed.
	minUnused time.Duration

	mutex sync.Mutex
	open  map[net.Conn]*callerConnection
	// closing counts those of them that are being closed.
	closing int
	// idle has those without a request, the longest idle ones first.
	idle list.List
}

// callerConnection is one of them.
type callerConnection struct {
	connection net.Conn
	// place is where it is in the list of idle ones, nil if it is not idle.
	place     *list.Element
	idleSince time.Time
	// closing: it is being closed, and a request that arrives on it is not served.
	closing bool
}

// newCallerConnections returns those of a server that may have a number of files open.
func newCallerConnections(files int) *callerConnections {
	return &callerConnections{
		limit: max(int(callerFilesShare*float64(files)), 1), minUnused: minUnused, open: make(map[net.Conn]*callerConnection),
	}
}

// maxFiles returns how many files this process may have open.
func maxFiles() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return defaultFiles
	}
	return int(min(limit.Cur, 1<<20)) // unlimited is a number that int may not hold
}

// setState is called by the server when the state of a connection changes: before the handler of a request, and after it.
func (c *callerConnections) setState(connection net.Conn, state http.ConnState) {
	for _, unused := range c.track(time.Now(), connection, state) {
		unused.Close()
	}
}

// track records the state of a connection, and returns those that are to be closed.
func (c *callerConnections) track(now time.Time, connection net.Conn, state http.ConnState) (unused []net.Conn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known := c.open[connection]
	if known == nil {
		known = &callerConnection{connection: connection}
		c.open[connection] = known
	}
	if known.place != nil {
		c.idle.Remove(known.place)
		known.place = nil
	}
	switch state {
	case http.StateIdle:
		known.idleSince = now
		known.place = c.idle.PushBack(known)
	case http.StateClosed, http.StateHijacked:
		delete(c.open, connection)
		if known.closing {
			c.closing--
		}
	}
	for len(c.open)-c.closing > c.limit {
		first := c.idle.Front()
		if first == nil || now.Sub(first.Value.(*callerConnection).idleSince) < c.minUnused {
			break
		}
		longest := c.idle.Remove(first).(*callerConnection)
		longest.place, longest.closing = nil, true
		c.closing++
		unused = append(unused, longest.connection)
	}
	return unused
}

// serve returns a handler that does not serve requests on connections that are being closed. Such a request has crossed the close
// and its caller cannot get a response: an upstream would run it in vain.
func (c *callerConnections) serve(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.isClosing(serve.ConnectionOf(r.Context())) {
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	})
}

func (c *callerConnections) isClosing(connection net.Conn) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known := c.open[connection]
	return known != nil && known.closing
}
