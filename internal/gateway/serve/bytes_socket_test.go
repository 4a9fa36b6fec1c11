package serve_test

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// rawConnection is the type that a dialer passes to its control function.
type rawConnection = syscall.RawConn

// setReceiveBuffer sets how much a socket takes that is not read.
func setReceiveBuffer(raw syscall.RawConn, bytes int) error {
	return setBuffer(raw, unix.SO_RCVBUF, bytes)
}

// setSendBuffer sets how much a connection takes that was not sent.
func setSendBuffer(connection net.Conn, bytes int) error {
	raw, err := connection.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	return setBuffer(raw, unix.SO_SNDBUF, bytes)
}

func setBuffer(raw syscall.RawConn, option, bytes int) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, option, bytes)
	})
	if err != nil {
		return err
	}
	return failed
}
