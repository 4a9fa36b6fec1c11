package socket_test

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/gateway/socket"
)

// upload is more than the buffers of a connection take.
const upload = 16 << 20

// openPair returns both ends of a connection, of which the first one is of this package.
func openPair(t *testing.T) (opened net.Conn, other *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	opened, err = socket.Dialer(time.Second).DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		opened.Close()
		accepted.Close()
	})
	return opened, accepted.(*net.TCPConn)
}

// Guards against a part of a response that looks complete: the other end resets the connection while the request is being
// written, a write gets that, and the next read returns the end of the input.
func TestResetDuringAWriteIsNoEnd(t *testing.T) {
	const response = "part"
	for _, c := range []struct {
		name  string
		after time.Duration
	}{{"at once", 0}, {"once the write waits", 20 * time.Millisecond}} {
		t.Run(c.name, func(t *testing.T) {
			for range 40 {
				is := is.New(t)
				opened, other := openPair(t)
				go func() { _, _ = opened.Write(make([]byte, upload)) }()
				go func() {
					_, _ = other.Write([]byte(response))
					time.Sleep(c.after)
					_ = other.SetLinger(0)
					_ = other.Close()
				}()
				received, err := io.ReadAll(opened)
				is.True(err != nil)
				is.True(len(received) <= len(response))
				_, err = opened.Read(make([]byte, 1))
				is.True(err != nil)
				is.True(!errors.Is(err, io.EOF)) // it stays so
			}
		})
	}
}

// Guards against a whole response that counts as broken, or waits, because the other end has responded without reading the
// request, and takes it later or not at all.
func TestEndInOrderDuringAWriteIsAnEnd(t *testing.T) {
	for _, c := range []struct {
		name  string
		reads bool
	}{{"the request is read later", true}, {"the request is not read", false}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			opened, other := openPair(t)
			go func() { _, _ = opened.Write(make([]byte, upload)) }()
			go func() {
				_, _ = other.Write([]byte("whole"))
				_ = other.CloseWrite()
				if c.reads {
					_, _ = io.Copy(io.Discard, other)
				}
			}()
			began := time.Now()
			received, err := io.ReadAll(opened)
			is.NoErr(err)
			is.Equal(string(received), "whole")
			is.True(time.Since(began) < 100*time.Millisecond)
		})
	}
}
