package exchange_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/gateway/responsehead"
	"lacewingrock.example/lacewingrock/internal/upstream/exchange"
)

// respondWith starts a listener that sends the same bytes to each request and closes the connection, after a reset if set.
func respondWith(t *testing.T, response string, read bool) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	serve := func(connection net.Conn) {
		defer connection.Close()
		request, err := http.ReadRequest(bufio.NewReader(connection))
		if err != nil {
			return
		}
		if read {
			_, _ = io.Copy(io.Discard, request.Body)
		}
		_, _ = io.WriteString(connection, response)
		if !read {
			time.Sleep(20 * time.Millisecond)
			_ = connection.(*net.TCPConn).SetLinger(0)
		}
	}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(connection)
		}
	}()
	return listener.Addr().String()
}

// Guards against the output of an engine or a service in trouble that counts as its answer.
func TestMalformedResponseMayHaveRun(t *testing.T) {
	for _, response := range []string{
		"HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nX-Bad Name: v\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 1\r\nContent-Length: 5\r\n\r\nwhole",
	} {
		is := is.New(t)
		_, err := do(t, t.Context(), respondWith(t, response, true))
		is.True(errors.Is(err, responsehead.ErrMalformed))
		var failure *exchange.Failure
		is.True(errors.As(err, &failure))
		is.True(failure.MaybeSent)
	}
}

// Guards against a part of a response that counts as whole, because its connection was reset during the upload.
func TestResponseThatIsResetDuringTheUploadIsBroken(t *testing.T) {
	for range 10 {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		transport := &exchange.Transport{ConnectTimeout: time.Second}
		response, err := transport.Do(ctx, exchange.Request{
			Address: respondWith(t, "HTTP/1.1 200 OK\r\n\r\npart", false), Method: http.MethodPost, Target: "/", Body: make([]byte, 16<<20),
		})
		if err != nil {
			continue // the connection failed before the head was read
		}
		_, err = exchange.ReadAll(response.Body, 100)
		_ = response.Body.Close()
		is.True(err != nil)
	}
}
