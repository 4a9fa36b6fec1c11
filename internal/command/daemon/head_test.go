package daemon

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/gateway/responsehead"
)

// Guards against a head without an end, from an upstream that answers an order or from the store, that fills the memory.
func TestHeadWithoutEndIsNotHeld(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		connection, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer connection.Close()
		_, err = connection.Write([]byte("HTTP/1.1 200 OK\r\n"))
		for line := bytes.Repeat([]byte("A: "+strings.Repeat("b", 1000)+"\r\n"), 32); err == nil; {
			_, err = connection.Write(line)
		}
	}))
	defer server.Close()
	response, err := newHTTPClient().Get(server.URL)
	if err == nil {
		response.Body.Close()
	}
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "exceeded 65536 bytes"))
}

// Guards against an answer to an order, a report or a call of the store that counts although it is none.
func TestMalformedHeadFails(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\n", "HTTP/1.1 202 Accepted\r\nX-Bad Name: v\r\nContent-Length: 2\r\n\r\n",
		"HTTP/1.1 202 Accepted\r\nContent-Length : 0\r\nContent-Length: 2\r\n\r\n",
	} {
		is := is.New(t)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			connection, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			defer connection.Close()
			_, _ = connection.Write([]byte(head + "{}"))
		}))
		for _, client := range []*http.Client{newHTTPClient(), newOrderClient()} {
			response, err := client.Post(server.URL, "application/json", strings.NewReader("{}"))
			if err == nil {
				response.Body.Close()
			}
			is.True(errors.Is(err, responsehead.ErrMalformed))
		}
		server.Close()
	}
}
