package socket

import (
	"errors"
	"io"
	"net/http"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// Guards against a broken response that looks complete: one that ends with its connection is broken by a reset, which a
// server can send only if its connections have SetLinger.
func TestConnectionOfAServerCanBeReset(t *testing.T) {
	for _, c := range []struct {
		name     string
		reset    bool
		expected error
	}{{"closed", false, nil}, {"reset", true, syscall.ECONNRESET}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			opened, err := Listen(t.Context(), "127.0.0.1:0")
			is.NoErr(err)
			begun := make(chan bool)
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Transfer-Encoding", "identity")
				_, _ = io.WriteString(w, "part")
				_ = http.NewResponseController(w).Flush()
				<-begun
				connection, _, _ := http.NewResponseController(w).Hijack()
				if c.reset {
					_ = connection.(interface{ SetLinger(seconds int) error }).SetLinger(0)
				}
				_ = connection.Close()
			})}
			go func() { _ = server.Serve(opened) }()
			defer server.Close()
			client := &http.Client{Transport: &http.Transport{DialContext: Dialer(HandshakeTimeout).DialContext}}
			response, err := client.Get("http://" + opened.Addr().String())
			is.NoErr(err)
			defer response.Body.Close()
			begun <- true
			body, err := io.ReadAll(response.Body)
			is.Equal(string(body), "part")
			is.True(errors.Is(err, c.expected))
		})
	}
}
