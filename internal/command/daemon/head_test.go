package daemon

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
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
