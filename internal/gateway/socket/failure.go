package socket

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// failure.go keeps a connection that was reset from looking like one that has ended. The kernel reports a reset once: if a
// write that is in progress gets it, the next read returns the end of the input. A response whose end is that of its connection
// would count as complete although the other end has broken it off, as one does that responds before it has read the request.

// endWait is how long the end of the input waits for a write that is in progress. After a reset it returns at once, as soon as
// it gets the processor.
const endWait = 250 * time.Millisecond

// failureConn is a connection that keeps its failure.
type failureConn struct {
	net.Conn
	tcp     *net.TCPConn
	failure connectionFailure
}

// WithFailure returns a TCP connection whose reads return io.EOF only if the other end has ended what it sends. Once a read or a
// write has got the failure of the connection, reads return that. Other connections are returned as they are.
func WithFailure(opened net.Conn) net.Conn {
	tcp, is := opened.(*net.TCPConn)
	if !is {
		return opened
	}
	return &failureConn{Conn: tcp, tcp: tcp}
}

// Read receives data.
func (c *failureConn) Read(data []byte) (n int, err error) {
	n, err = c.tcp.Read(data)
	switch err {
	case nil:
	case io.EOF:
		err = c.failure.atEnd(c.tcp)
	default:
		c.failure.record(err)
	}
	return n, err
}

// Write sends data.
func (c *failureConn) Write(data []byte) (n int, err error) {
	c.failure.begin()
	n, err = c.tcp.Write(data)
	c.failure.end(err)
	return n, err
}

// connectionFailure is the failure of a connection that a write or a read has got. The zero value is ready for use. It is safe
// for concurrent use.
type connectionFailure struct {
	mutex   sync.Mutex
	running int
	// idle is closed once no write is in progress, nil if nobody waits for that.
	idle chan struct{}
	err  error
}

func (f *connectionFailure) begin() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.running++
}

func (f *connectionFailure) end(err error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.running--
	f.recordLocked(err)
	if f.running == 0 && f.idle != nil {
		close(f.idle)
		f.idle = nil
	}
}

// record records what a read has got. The next one would return the end of the input.
func (f *connectionFailure) record(err error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.recordLocked(err)
}

func (f *connectionFailure) recordLocked(err error) {
	if f.err == nil && isFailure(err) {
		f.err = err
	}
}

// isFailure reports whether a write or a read has got the failure of its connection. That the other end takes nothing any more is none:
// it may have ended what it sends before.
func isFailure(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrDeadlineExceeded)
}

// atEnd returns what a read returns at the end of the input: the failure of the connection, or io.EOF.
func (f *connectionFailure) atEnd(tcp *net.TCPConn) error {
	if idle := f.idleSignal(); idle != nil && !hasEndedInOrder(tcp) {
		select {
		case <-idle:
		case <-time.After(endWait):
		}
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.err != nil {
		return f.err
	}
	return io.EOF
}

// idleSignal returns a channel that is closed once no write is in progress, or nil if none is.
func (f *connectionFailure) idleSignal() <-chan struct{} {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.running == 0 {
		return nil
	}
	if f.idle == nil {
		f.idle = make(chan struct{})
	}
	return f.idle
}

// The states of a connection of the kernel in which the other end has ended what it sends, and has not reset it.
const (
	tcpCloseWait = 8
	tcpLastAck   = 9
)

// hasEndedInOrder reports whether the other end has ended what it sends and has not reset the connection since.
func hasEndedInOrder(tcp *net.TCPConn) (orderly bool) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(descriptor uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		orderly = err == nil && (info.State == tcpCloseWait || info.State == tcpLastAck)
	})
	return orderly
}
