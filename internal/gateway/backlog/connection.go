package backlog

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/gateway/memory"
)

// connection.go writes at once what the kernel takes, and keeps the rest.

// errStalled: the caller has read nothing for too long.
var errStalled = errors.New("backlog: the caller makes no progress")

// connection is a caller's connection. Its writes have no deadline: they fail if the caller makes no progress.
type connection struct {
	socketConnection
	backlogs *Backlogs

	mutex sync.Mutex
	queue queue
	// draining: the goroutine that writes the queue runs. Nothing else writes then.
	draining bool
	since    time.Time
	// refused: the account had no room since the queue was last empty.
	refused bool
	err     error
	// ending: the end is to be sent after the queue. dropped: the connection was closed with what it had queued.
	ending, dropped bool
	// resets: closing drops what is queued and resets the connection. linger, if set, is the linger time that the socket gets
	// after the queue: until then the response is not whole at the kernel either, and is reset if the process ends.
	resets bool
	linger *int
	// closed: the connection is to be closed after the queue. It is set with the lock held.
	closed atomic.Bool
	// changed gets a value when a write that waits for room should look again.
	changed chan struct{}
}

func newConnection(backlogs *Backlogs, socket socketConnection) *connection {
	return &connection{
		socketConnection: socket, backlogs: backlogs, queue: queue{account: backlogs.Account}, changed: make(chan struct{}, 1),
	}
}

// Write writes data, or keeps what the kernel does not take at once. It waits only if the account has no room.
func (c *connection) Write(data []byte) (written int, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	length := len(data)
	for len(data) > 0 {
		switch {
		case c.err != nil:
			return length - len(data), c.err
		case c.closed.Load():
			return length - len(data), net.ErrClosed
		case !c.draining:
			if data, err = c.writeDirectly(data); err != nil {
				c.fail(err)
			}
		default:
			data = c.keep(data)
		}
	}
	return length, nil
}

// writeDirectly writes what the kernel takes at once, while nothing is queued, and begins a queue with the rest.
// Without room for one it waits for the caller. The lock is held, except while it waits.
func (c *connection) writeDirectly(data []byte) (rest []byte, err error) {
	n, err := c.WriteImmediately(data)
	data = data[n:]
	if err != nil || len(data) == 0 {
		return data, err
	}
	if c.queue.grow() {
		c.startDraining()
		return c.queue.add(data), nil
	}
	c.recordRefusal()
	part := data[:min(len(data), blockBytes)]
	c.mutex.Unlock()
	err = c.send(part)
	c.mutex.Lock()
	return data[len(part):], err
}

// keep adds data to the queue, and waits if there is no room. It returns the rest. The lock is held, except while it
// waits.
func (c *connection) keep(data []byte) (rest []byte) {
	data = c.queue.add(data)
	if len(data) == 0 || c.queue.grow() {
		return data
	}
	c.recordRefusal()
	c.mutex.Unlock()
	defer c.mutex.Lock()
	timer := time.NewTimer(roomInterval)
	defer timer.Stop()
	select {
	case <-c.changed:
	case <-timer.C:
	}
	return data
}

// recordRefusal counts, once for each queue, that there was no room. The lock is held.
func (c *connection) recordRefusal() {
	if !c.refused {
		c.refused = true
		c.backlogs.Account.RecordRefusal(memory.Response)
	}
}

// startDraining starts to write the queue. The lock is held.
func (c *connection) startDraining() {
	c.draining = true
	c.since = time.Now()
	c.queue.peak = 0
	c.backlogs.add(1)
	go c.run()
}

// run writes the queue until it is empty, and then ends the connection if that is due.
func (c *connection) run() {
	var err error
	for {
		c.mutex.Lock()
		if err != nil {
			c.fail(err)
		}
		data := c.queue.first()
		if c.err != nil || len(data) == 0 {
			break
		}
		c.mutex.Unlock()
		if err = c.send(data); err == nil {
			c.drop(len(data))
		}
	}
	defer c.backlogs.add(-1)
	c.endDraining()
	ending, closed, failed := c.ending, c.closed.Load(), c.err
	c.applyLinger()
	c.mutex.Unlock()
	switch {
	case failed != nil:
		c.socketConnection.Close() // also ends the request that runs on it
	case closed:
		c.closeInOrder()
	case ending:
		_ = c.socketConnection.CloseWrite() // fails if the caller has closed the connection
	}
}

// endDraining records that nothing is queued any more. The lock is held.
func (c *connection) endDraining() {
	if c.err != nil && !c.dropped {
		c.backlogs.Scope.Counter("unread_responses").Inc(1)
		c.backlogs.Log.Info().Str("Caller", c.RemoteAddr().String()).Int("Bytes", c.queue.bytes).Int("PeakBytes", c.queue.peak).
			Int64("TookMillis", time.Since(c.since).Milliseconds()).Err(c.err).Msg("BacklogLost")
	}
	c.queue.clear()
	c.draining, c.refused = false, false
	c.signal()
}

// drop removes what was written from the queue.
func (c *connection) drop(n int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.queue.drop(n)
	c.signal()
}

// fail records an error, which all further writes return. The lock is held.
func (c *connection) fail(err error) {
	if c.err == nil {
		c.err = err
	}
	c.signal()
}

// signal wakes a write that waits for room. The lock is held.
func (c *connection) signal() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// send writes data, however long that takes while the caller makes progress.
func (c *connection) send(data []byte) error {
	before := -1
	for stalls := 0; ; {
		if err := c.socketConnection.SetWriteDeadline(time.Now().Add(c.backlogs.interval())); err != nil {
			return err
		}
		n, err := c.socketConnection.Write(data)
		if err == nil {
			return c.socketConnection.SetWriteDeadline(time.Time{})
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		data = data[n:]
		stalls++
		unread, err := c.Unacknowledged()
		if err != nil { // not supported everywhere; what the kernel accepts shows progress too
			unread = before
		}
		if n > 0 || unread < before {
			stalls = 0
		}
		if before = unread; stalls >= maxStalls {
			return errStalled
		}
	}
}

// -----------------------------------------------------------------------------------------------

// SetWriteDeadline does nothing: a response is written while its caller makes progress, also after the deadline of
// its request.
func (c *connection) SetWriteDeadline(time.Time) error { return nil }

// Read reads what the caller sends, and nothing once the connection was closed: a request that arrives then would be
// run in vain.
func (c *connection) Read(data []byte) (n int, err error) {
	if !c.closed.Load() {
		n, err = c.socketConnection.Read(data)
	}
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	return n, err
}

// SetReadDeadline sets the deadline of reads. Once the connection was closed, only closeInOrder reads.
func (c *connection) SetReadDeadline(at time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed.Load() {
		return net.ErrClosed
	}
	return c.socketConnection.SetReadDeadline(at)
}

// SetDeadline sets the deadline of reads.
func (c *connection) SetDeadline(at time.Time) error { return c.SetReadDeadline(at) }

// SetLinger sets what closing does with data that was not acknowledged. If that is to be dropped, so is what is queued; if not,
// the socket gets its linger time once all that is queued was written.
func (c *connection) SetLinger(seconds int) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.resets = seconds == 0
	c.linger = nil
	if c.draining && !c.resets {
		c.linger = &seconds
		return nil
	}
	return c.socketConnection.SetLinger(seconds)
}

// applyLinger sets the linger time that waited for the queue. The lock is held.
func (c *connection) applyLinger() {
	if c.linger == nil || c.err != nil {
		return
	}
	_ = c.socketConnection.SetLinger(*c.linger) // fails if the connection is broken
	c.linger = nil
}

// CloseWrite sends the end after what is queued.
func (c *connection) CloseWrite() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.ending = true
	if c.draining {
		return nil
	}
	return c.socketConnection.CloseWrite()
}

// Close closes the connection after what is queued was written.
func (c *connection) Close() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed.Swap(true) {
		return net.ErrClosed
	}
	c.dropped = c.resets
	if !c.draining && (c.dropped || c.err != nil || !c.hasUnread()) {
		return c.socketConnection.Close()
	}
	if !c.draining {
		c.startDraining()
	}
	if c.dropped {
		c.fail(net.ErrClosed)
		return c.socketConnection.Close()
	}
	return c.socketConnection.SetReadDeadline(time.Now()) // no further request is read
}

// hasUnread reports whether the caller has not acknowledged all that was written.
func (c *connection) hasUnread() bool {
	unread, err := c.Unacknowledged()
	return err == nil && unread > 0
}

// closeInOrder sends the end and closes the connection once the caller has got all, or makes no progress. Closing it
// resets it if the caller has sent bytes that were not read, so these are read and dropped until the caller has
// closed it, or lingerTime after it has got all. Before all is acknowledged, the kernel would give up a caller that
// reads slowly: the user timeout is raised only until the connection is closed, see package socket.
func (c *connection) closeInOrder() {
	defer c.socketConnection.Close()
	if c.socketConnection.CloseWrite() != nil {
		return // the connection is broken already
	}
	before, progress := -1, time.Now()
	for dropped := make([]byte, 512); time.Since(progress) < maxStalls*c.backlogs.interval(); {
		if c.socketConnection.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
			return
		}
		_, err := c.socketConnection.Read(dropped)
		unread, failed := c.Unacknowledged()
		switch {
		case failed != nil || unread == 0 && (err != nil || unread == before && time.Since(progress) > lingerTime):
			return
		case errors.Is(err, io.EOF): // it may have ended only what it sends
			time.Sleep(endInterval)
			if c.socketConnection.CloseWrite() != nil {
				return // the caller has closed the connection
			}
		case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
			return // the caller has closed the connection
		}
		if unread != before {
			before, progress = unread, time.Now()
		}
	}
}
