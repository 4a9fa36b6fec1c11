package socket

import (
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// immediate.go writes what the kernel takes at once, and tells what the peer has not acknowledged.

// immediateWrite is a write that does not wait. It is kept with its connection, so that a write allocates nothing.
type immediateWrite struct {
	raw  syscall.RawConn
	call func(descriptor uintptr) (done bool)

	data  []byte
	count int
	err   error
}

// run is called with the socket.
func (w *immediateWrite) run(descriptor uintptr) (done bool) {
	for {
		w.count, w.err = unix.Write(int(descriptor), w.data)
		if !errors.Is(w.err, unix.EINTR) {
			return true
		}
	}
}

// WriteImmediately writes as much as the kernel takes without waiting. It may not be called concurrently.
func (c *connection) WriteImmediately(data []byte) (n int, err error) {
	c.startWrite(len(data))
	defer c.endWrite()
	w := &c.immediate
	if w.raw == nil {
		if w.raw, err = c.tcp.SyscallConn(); err != nil {
			return 0, err
		}
		w.call = w.run
	}
	w.data = data
	err = w.raw.Write(w.call)
	w.data = nil
	switch {
	case err != nil:
		return 0, err
	case errors.Is(w.err, unix.EAGAIN):
		return 0, nil
	case w.err != nil:
		return 0, errors.WithMessage(w.err, "write")
	}
	return w.count, nil
}

// Unacknowledged returns the number of bytes that were written and that the peer has not acknowledged.
func (c *connection) Unacknowledged() (bytes int, err error) {
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return 0, err
	}
	var failed error
	err = raw.Control(func(descriptor uintptr) {
		bytes, failed = unix.IoctlGetInt(int(descriptor), unix.SIOCOUTQ)
	})
	if err == nil {
		err = failed
	}
	return bytes, err
}
