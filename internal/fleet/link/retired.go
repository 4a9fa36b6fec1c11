package link

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"lacewingrock.example/lacewingrock/internal/admission/claim"
)

// retired.go replaces a connection without ending the calls that run on it.
//
// A peer that sends nothing for a second may be gone, or may have paused. Closing its connection would cut the responses
// that it carries for this instance, also if it goes on a moment later. A retired connection takes no new calls. It is
// closed as soon as none runs on it: when they have ended, when their contexts are over or when the transport has found
// the connection dead.

// retiredLifetime bounds the time until a retired connection is closed, unless Links sets its own value. No call to an
// upstream runs longer than that.
const retiredLifetime = claim.MaxRunTime

// maxUnanswered is how long calls may have been without any message from the peer before the next one opens a new
// connection. It covers peers to which this instance sends no heartbeats, as most are in a large fleet.
const maxUnanswered = time.Second

// connection is a connection to a peer. The lock of links protects what changes.
type connection struct {
	links            *Links
	address          string
	client           *grpc.ClientConn
	failedHeartbeats int
	// running counts the calls that have begun and not ended.
	running int
	// created is when it was created, and unanswered when the first call began after the last message was received, as
	// time since created; 0 if none has.
	created    time.Time
	unanswered atomic.Int64
	// retired is closed once the connection is retired, unused once no call runs on it either.
	retired chan struct{}
	unused  chan struct{}
}

// retireLocked takes a connection out of use for new calls. The caller holds the lock.
func (l *Links) retireLocked(c *connection) {
	if l.retired == nil {
		l.retired = make(map[*connection]bool)
	}
	delete(l.connections, c.address)
	l.retired[c] = true
	close(c.retired)
	if c.running == 0 {
		close(c.unused)
	}
	go c.run(cmp.Or(l.RetiredLifetime, retiredLifetime))
}

// run closes a retired connection once no call runs on it, at the latest after the given time.
func (c *connection) run(lifetime time.Duration) {
	expired := time.NewTimer(lifetime)
	defer expired.Stop()
	select {
	case <-c.unused:
	case <-expired.C:
	}
	c.client.Close()
	c.links.mutex.Lock()
	defer c.links.mutex.Unlock()
	delete(c.links.retired, c)
}

// begin returns the connection for a new call to a peer, on which the call counts as running until end.
func (l *Links) begin(address string) (*connection, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	current, err := l.answeringLocked(address)
	if err != nil {
		return nil, err
	}
	current.running++
	current.unanswered.CompareAndSwap(0, int64(time.Since(current.created)))
	return current, nil
}

// answeringLocked returns the connection that takes new calls to a peer, a new one if the present one is silent. The caller
// holds the lock.
func (l *Links) answeringLocked(address string) (*connection, error) {
	current, err := l.currentLocked(address)
	if err != nil || !current.isSilent() {
		return current, err
	}
	l.retireLocked(current)
	return l.currentLocked(address)
}

// Retired returns a channel that is closed once the connection that takes new calls to a peer now has been retired.
func (l *Links) Retired(address string) (retired <-chan struct{}, err error) {
	defer func() { err = errors.WithMessage(err, "link: connect") }()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	current, err := l.answeringLocked(address)
	if err != nil {
		return nil, err
	}
	return current.retired, nil
}

// isSilent reports whether calls have been without any message from the peer for too long.
func (c *connection) isSilent() bool {
	since := time.Duration(c.unanswered.Load())
	return since > 0 && time.Since(c.created)-since > maxUnanswered
}

// end records that a call has ended.
func (c *connection) end() {
	c.links.mutex.Lock()
	defer c.links.mutex.Unlock()
	c.running--
	if c.running == 0 && c.links.retired[c] {
		close(c.unused)
	}
}

// ---------------------------------------------------------------------------------------------

// calls makes calls to a peer, each over the connection that is current when the call begins.
type calls struct {
	links   *Links
	address string
}

// Invoke makes a call with one request and one response.
func (c calls) Invoke(ctx context.Context, method string, request, response any, options ...grpc.CallOption) error {
	used, err := c.links.begin(c.address)
	if err != nil {
		return err
	}
	defer used.end()
	if err := used.client.Invoke(ctx, method, request, response, options...); err != nil {
		return err
	}
	used.unanswered.Store(0)
	return nil
}

// NewStream opens a stream. It counts as running until it fails, the peer ends it or its context ends.
func (c calls) NewStream(
	ctx context.Context, description *grpc.StreamDesc, method string, options ...grpc.CallOption,
) (grpc.ClientStream, error) {
	used, err := c.links.begin(c.address)
	if err != nil {
		return nil, err
	}
	end := sync.OnceFunc(used.end)
	options = append(slices.Clip(options), grpc.OnFinish(func(error) { end() }))
	stream, err := used.client.NewStream(ctx, description, method, options...)
	if err != nil {
		end()
		return nil, err
	}
	return &receivingStream{ClientStream: stream, connection: used}, nil
}

// receivingStream records that messages are received.
type receivingStream struct {
	grpc.ClientStream
	connection *connection
}

// RecvMsg waits for the next message.
func (s *receivingStream) RecvMsg(message any) error {
	if err := s.ClientStream.RecvMsg(message); err != nil {
		return err
	}
	s.connection.unanswered.Store(0)
	return nil
}
