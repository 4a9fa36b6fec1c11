package socket

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ContextDialer opens TCP connections.
type ContextDialer struct {
	dialer net.Dialer
	// resets: connections are reset when they are closed.
	resets bool
}

// Dialer returns a dialer whose connections detect an unreachable peer.
func Dialer(connectTimeout time.Duration) *ContextDialer {
	return &ContextDialer{dialer: net.Dialer{Timeout: connectTimeout, KeepAliveConfig: keepAlive(), Control: Control}}
}

// WithReset returns a dialer whose connections are reset when they are closed, also by the end of the process. Otherwise the
// kernel goes on sending what the other end has not acknowledged, and it may arrive seconds later.
func (d *ContextDialer) WithReset() *ContextDialer {
	return &ContextDialer{dialer: d.dialer, resets: true}
}

// DialContext opens a connection. The context bounds the time for it.
func (d *ContextDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	opened, err := d.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if tcp, is := opened.(*net.TCPConn); is && d.resets {
		if err := tcp.SetLinger(0); err != nil {
			_ = opened.Close()
			return nil, err
		}
	}
	return newConnection(opened), nil
}

// Listen returns a listener whose connections detect an unreachable peer.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	opened, err := ListenConfig().Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return listener{opened}, nil
}

type listener struct{ net.Listener }

// Accept waits for the next connection.
func (l listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConnection(accepted), nil
}

// connection is a TCP connection that is checked once a checkInterval while as much data may be unacknowledged as fills a
// window. It does not embed *net.TCPConn, whose ReadFrom would write without a check.
type connection struct {
	net.Conn
	tcp *net.TCPConn

	mutex   sync.Mutex
	timer   *time.Timer
	checked bool // the timer runs
	closed  bool
	// writing counts the calls of Write that run.
	writing int
	// unchecked counts the bytes written since all data was last seen acknowledged.
	unchecked int
	limit     limit

	immediate immediateWrite
}

func newConnection(opened net.Conn) net.Conn {
	tcp, is := opened.(*net.TCPConn)
	if !is {
		return opened
	}
	return &connection{Conn: WithFailure(tcp), tcp: tcp}
}

// SyscallConn gives access to the socket.
func (c *connection) SyscallConn() (syscall.RawConn, error) { return c.tcp.SyscallConn() }

// CloseWrite ends what is sent. The HTTP server calls it so that its last response is not lost by a reset.
func (c *connection) CloseWrite() error { return c.tcp.CloseWrite() }

// SetLinger sets what closing does with data that was not acknowledged.
func (c *connection) SetLinger(seconds int) error { return c.tcp.SetLinger(seconds) }

// Write sends data.
func (c *connection) Write(data []byte) (n int, err error) {
	c.startWrite(len(data))
	defer c.endWrite()
	return c.Conn.Write(data)
}

// Close closes the connection.
func (c *connection) Close() error {
	c.mutex.Lock()
	c.closed = true
	if c.timer != nil {
		c.timer.Stop()
	}
	c.mutex.Unlock()
	return c.tcp.Close()
}

func (c *connection) startWrite(length int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.writing++
	c.unchecked += length
	if c.unchecked < minWindow || c.checked || c.closed {
		return
	}
	c.checked = true
	c.limit = newLimit(time.Now())
	if c.timer == nil {
		c.timer = time.AfterFunc(checkInterval, c.check)
		return
	}
	c.timer.Reset(checkInterval)
}

func (c *connection) endWrite() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.writing--
}

// check adjusts the user timeout to the state of the peer as the kernel has it. Without that the user timeout stays as it is.
func (c *connection) check() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.checked = false
	if c.closed {
		return
	}
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return
	}
	var pending bool
	_ = raw.Control(func(descriptor uintptr) { pending = c.adjustLocked(int(descriptor)) })
	if pending || c.writing > 0 {
		c.checked = true
		c.timer.Reset(checkInterval)
		return
	}
	c.unchecked = 0
}

// adjustLocked reports whether data waits for its acknowledgement. The caller holds the lock.
func (c *connection) adjustLocked(descriptor int) (pending bool) {
	now := time.Now()
	info, err := unix.GetsockoptTCPInfo(descriptor, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return false
	}
	next := c.limit.next(now, windowOf(info, now))
	if next.timeout != c.limit.timeout && setUserTimeout(descriptor, next.timeout) != nil {
		return false
	}
	c.limit = next
	return info.Unacked > 0 || info.Notsent_bytes > 0
}
