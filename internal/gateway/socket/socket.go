// Package socket opens TCP connections that fail on their own when the other end becomes unreachable.
//
// A host that lost power or network sends nothing, and a connection can stop working for good while new connections to
// the same host work. Without further settings a call on such a connection hangs until its caller times out. A limit on
// how long sent bytes may stay unacknowledged (TCP_USER_TIMEOUT), and keep-alive probes on idle connections, make the
// kernel close it.
package socket

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// userTimeout is how long sent bytes may stay unacknowledged. Lost packets are retransmitted within some 200 ms, so
	// two losses in a row are tolerated on paths with a delay of some milliseconds.
	userTimeout = 900 * time.Millisecond
	// keepAliveIdle and keepAliveInterval are whole seconds, the smallest unit that the kernel supports.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
)

// HandshakeTimeout bounds the handshake on an accepted connection. Between instances a handshake takes some
// milliseconds. A connection that is lost right after it was established never completes it, and a server that stops
// waits for it.
const HandshakeTimeout = time.Second

// Dialer returns a dialer whose connections detect an unreachable peer. The parameter connect is the connect timeout.
func Dialer(connectTimeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: connectTimeout, KeepAliveConfig: keepAlive(), Control: Control}
}

// ListenConfig returns the same settings for accepted connections.
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: keepAlive(), Control: Control}
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: 2}
}

// Control sets TCP_USER_TIMEOUT, which bounds how long sent bytes may stay unacknowledged.
func Control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		ms := int(userTimeout.Milliseconds())
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, ms)
	})
	if err != nil {
		return err
	}
	return failed
}
