package socket

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// latestEnd is how late after its last segment a peer may be given up: the user timeout, and a check that came before it.
const latestEnd = userTimeout + time.Second

// dropSegments has a socket drop all that arrives, and send nothing of its own, as if its host had lost its network.
func dropSegments(t *testing.T, connection net.Conn) {
	t.Helper()
	raw, err := connection.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE, 0)
		if failed != nil {
			return
		}
		program := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
		failed = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &program[0]})
	})
	if err != nil || failed != nil {
		t.Fatal(err, failed)
	}
}

// pair opens a connection, and returns the end that writes and the one that reads.
func pair(t *testing.T, accepts bool) (writer, reader net.Conn) {
	t.Helper()
	opened, err := Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer opened.Close()
	dialed, err := Dialer(time.Second).DialContext(t.Context(), "tcp", opened.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dialed.Close() })
	accepted, err := opened.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	if accepts {
		return accepted, dialed
	}
	return dialed, accepted
}

// Guards against a peer that is gone and keeps its connection, because its window was full before: a longer user timeout
// must not outlast the acknowledgements for which it was raised.
func TestUnreachablePeerIsNoticed(t *testing.T) {
	const length = 32 << 20
	for _, c := range []struct {
		name    string
		accepts bool
		length  int
		// reads: the peer reads until it is gone.
		reads bool
		gone  time.Duration
	}{
		{"before a short request", false, 100, true, 0},
		{"before a short response", true, 100, true, 0},
		{"while it reads a request", false, length, true, 0},
		{"before its window is full", false, length, false, 0},
		{"soon after its window is full", false, length, false, 700 * time.Millisecond},
		{"long after its window is full", false, length, false, 6 * time.Second},
		{"long after its window is full of a response", true, length, false, 6 * time.Second},
		{"long after its window is full, nobody waits to write", false, 200 << 10, false, 6 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			writer, reader := pair(t, c.accepts)
			if c.reads {
				_, err := writer.Write([]byte("first"))
				is.NoErr(err)
				_, err = io.ReadFull(reader, make([]byte, len("first")))
				is.NoErr(err)
			}
			begun := time.Now()
			if c.gone == 0 {
				dropSegments(t, reader)
			}
			go func() { _, _ = writer.Write(make([]byte, c.length)) }()
			ended := make(chan time.Duration, 1)
			go func() {
				_, _ = writer.Read(make([]byte, 1)) // ends when the kernel gives the connection up
				ended <- time.Since(begun)
			}()
			time.Sleep(c.gone)
			if c.gone > 0 {
				dropSegments(t, reader)
			}
			elapsed := <-ended - c.gone
			t.Logf("noticed after %s", elapsed.Round(time.Millisecond))
			is.True(elapsed > 0) // not while it was alive
			is.True(elapsed < latestEnd+time.Second/2)
		})
	}
}

// Guards against a user timeout that stays raised once the peer reads again: if it were gone next, that would be noticed late.
func TestUserTimeoutIsRestored(t *testing.T) {
	for _, c := range []struct {
		name    string
		accepts bool
		length  int
	}{{"request", false, 32 << 20}, {"response", true, 32 << 20}, {"request, nobody waits to write", false, 200 << 10}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			writer, reader := pair(t, c.accepts)
			failed := make(chan error, 1)
			go func() {
				_, err := writer.Write(make([]byte, c.length))
				failed <- err
			}()
			time.Sleep(6 * time.Second)
			raised := time.Duration(option(t, writer, unix.TCP_USER_TIMEOUT)) * time.Millisecond
			t.Logf("raised to %s", raised)
			is.True(raised > userTimeout)
			_, err := io.CopyN(io.Discard, reader, int64(c.length))
			is.NoErr(err)
			is.NoErr(<-failed)
			time.Sleep(2 * checkInterval)
			is.Equal(time.Duration(option(t, writer, unix.TCP_USER_TIMEOUT))*time.Millisecond, userTimeout)
		})
	}
}
