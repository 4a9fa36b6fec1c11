// Package socket opens connections that notice by themselves when the other end is gone.
//
// A machine that lost power or is cut off answers nothing, and a connection can go silent for good while
// new ones work. Nobody would notice on the connection itself: a call on it hangs until its caller gives
// up. With a bound on how long sent bytes may stay unacknowledged, and probes while nothing is sent, the
// kernel ends such a connection.
package socket

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unacknowledgedFor is how long sent bytes may stay unacknowledged. Lost packets are sent again within
	// some 200 ms, so this bears two losses in a row on paths of some milliseconds.
	unacknowledgedFor = 900 * time.Millisecond
	// probeAfter and probeEvery are whole seconds, the least that the kernel knows.
	probeAfter = time.Second
	probeEvery = time.Second
)

// HandshakeTimeout bounds how long the other end of an accepted connection may take until it has said what it
// is. Between instances that is some milliseconds. A connection that was lost on the way right after it was
// made says nothing, and a server that stops waits for it.
const HandshakeTimeout = time.Second

// Dialer opens connections; connect bounds how long that may take.
func Dialer(connect time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: connect, KeepAliveConfig: probes(), Control: Control}
}

// ListenConfig accepts connections that are probed in the same way.
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: probes(), Control: Control}
}

func probes() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeEvery, Count: 2}
}

// Control bounds how long sent bytes may stay unacknowledged.
func Control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		ms := int(unacknowledgedFor.Milliseconds())
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, ms)
	})
	if err != nil {
		return err
	}
	return failed
}
