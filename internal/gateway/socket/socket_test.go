package socket

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// toleratedSilence is how long a sound process may be silent without losing its connections.
const toleratedSilence = 1300 * time.Millisecond

// fatalSilence returns the shortest silence after which Linux closes a connection with these options: while sent bytes are
// unacknowledged, and while it is idle. With a user timeout, idle connections are closed at the first keep-alive timer at
// which that time has passed since the last segment arrived, whatever the count of probes.
func fatalSilence(user, idle, interval time.Duration, count int) (unacknowledged, quiet time.Duration) {
	for probes := 1; ; probes++ {
		// The silence begins right before the first probe, which is sent after idle.
		elapsed := idle + time.Duration(probes)*interval
		if user > 0 && elapsed >= user || user == 0 && probes >= count {
			return user, elapsed - idle
		}
	}
}

// Guards against connections that are closed because a sound upstream is silent for a second, with the requests that run
// there: a user timeout below that closes them whatever the count of keep-alive probes.
func TestSilenceOfASecondClosesNoConnection(t *testing.T) {
	is := is.New(t)
	listener, err := ListenConfig().Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	dialed, err := Dialer(time.Second).DialContext(t.Context(), "tcp", listener.Addr().String())
	is.NoErr(err)
	defer dialed.Close()
	accepted, err := listener.Accept()
	is.NoErr(err)
	defer accepted.Close()
	for _, c := range []struct {
		name       string
		connection net.Conn
	}{{"dialed", dialed}, {"accepted", accepted}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			user := time.Duration(option(t, c.connection, unix.TCP_USER_TIMEOUT)) * time.Millisecond
			idle := time.Duration(option(t, c.connection, unix.TCP_KEEPIDLE)) * time.Second
			interval := time.Duration(option(t, c.connection, unix.TCP_KEEPINTVL)) * time.Second
			unacknowledged, quiet := fatalSilence(user, idle, interval, option(t, c.connection, unix.TCP_KEEPCNT))
			is.True(unacknowledged > toleratedSilence)
			is.True(quiet > toleratedSilence)
			is.True(quiet <= 3*time.Second) // a connection that stopped working is still noticed soon
		})
	}
}

// option returns a TCP option of a connection.
func option(t *testing.T, connection net.Conn, name int) (value int) {
	t.Helper()
	raw, err := connection.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var failed error
	err = raw.Control(func(fd uintptr) { value, failed = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name) })
	if err != nil || failed != nil {
		t.Fatal(err, failed)
	}
	return value
}
