package socket

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a connection that is closed under a response or a body because its other end is sound, acknowledges what
// arrives, and does not read for a while: its window is full, and the user timeout counts that as an end that is gone.
func TestEndThatDoesNotReadForAWhileKeepsItsConnection(t *testing.T) {
	const length = 32 << 20
	for _, c := range []struct {
		name  string
		pause time.Duration
	}{{"1.3 s", toleratedSilence}, {"4 s", 4 * time.Second}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer listener.Close()
			dialed, err := Dialer(time.Second).DialContext(t.Context(), "tcp", listener.Addr().String())
			is.NoErr(err)
			defer dialed.Close()
			accepted, err := listener.Accept()
			is.NoErr(err)
			defer accepted.Close()
			failed := make(chan error, 1)
			go func() {
				_, err := dialed.Write(make([]byte, length))
				failed <- err
			}()
			time.Sleep(c.pause)
			n, err := io.CopyN(io.Discard, accepted, length)
			t.Logf("read %d bytes after a pause of %s: %v", n, c.pause, err)
			is.NoErr(<-failed)
			is.NoErr(err)
		})
	}
}
