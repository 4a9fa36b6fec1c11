// Package socket opens TCP connections that fail on their own when the other end becomes unreachable.
//
// A host that lost power or network sends nothing, and a connection can stop working for good while new connections to
// the same host work. Without further settings a call on such a connection hangs until its caller times out. A limit on
// how long sent bytes may stay unacknowledged (TCP_USER_TIMEOUT), and keep-alive probes on idle connections, make the
// kernel close it. A peer that acknowledges and does not read keeps its connection: the limit is raised for it.
package socket

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepAliveIdle and keepAliveInterval are whole seconds, the smallest unit that the kernel supports. After
	// keepAliveCount probes without an answer the connection is closed: one may be lost.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// userTimeout is how long sent bytes may stay unacknowledged. It also decides when keep-alive probes give up, in place
	// of their count, so it is longer than all but the last probe take. Otherwise one lost probe, or a process that is
	// silent for a second and goes on, would cost the connection and the requests on it.
	userTimeout = keepAliveIdle + (keepAliveCount-1)*keepAliveInterval + keepAliveInterval/2
)

// HandshakeTimeout bounds the handshake on an accepted connection. Between instances a handshake takes some
// milliseconds. A connection that is lost right after it was established never completes it, and a server that stops
// waits for it.
const HandshakeTimeout = time.Second

// ListenConfig returns the settings for connections whose server sets its own user timeout.
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: keepAlive(), Control: Control}
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

// Control sets TCP_USER_TIMEOUT, which bounds how long sent bytes may stay unacknowledged.
func Control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) { failed = setUserTimeout(int(fd), userTimeout) })
	if err != nil {
		return err
	}
	return failed
}

func setUserTimeout(descriptor int, timeout time.Duration) error {
	return unix.SetsockoptInt(descriptor, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
}
