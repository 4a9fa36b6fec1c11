package store_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/platform/store"
)

// Guards against bytes in the place of the store's response that count as one: a read must fail, and a write may have been made.
func TestMalformedResponseIsNoResponse(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nX-Bad Name: v\r\nX-Revision: 7\r\nContent-Length: 5\r\n\r\nvalue",
		"HTTP/1.1 200 OK\r\nX-Revision: 7\r\nContent-Length : 2\r\nContent-Length: 5\r\n\r\nvalue",
	} {
		is := is.New(t)
		client := &store.Client{Address: respondWith(t, head)}
		_, err := client.Get(context.Background(), "k")
		is.True(errors.Is(err, store.ErrUnavailable))
		_, err = client.CompareAndSwap(context.Background(), "k", 1, []byte("v"))
		is.True(errors.Is(err, store.ErrUnknown))
	}
}

// respondWith starts a listener that sends the same bytes to each request.
func respondWith(t *testing.T, response string) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			if request, err := http.ReadRequest(bufio.NewReader(connection)); err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(connection, response)
			}
			connection.Close()
		}
	}()
	return listener.Addr().String()
}
