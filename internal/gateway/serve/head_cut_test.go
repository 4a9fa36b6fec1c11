package serve_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Guards against a success with a short body for an answer whose head was cut: the upstream closed its connection inside it.
func TestAnswerCutInItsHeadIsNoSuccess(t *testing.T) {
	heads := []struct{ name, head string }{
		{"without a length", "HTTP/1.1 200 OK\r\n%s: id1\r\n%s: s1\r\nContent-Type: text/event-stream\r\n\r\n"},
		{"with a length", "HTTP/1.1 200 OK\r\n%s: id1\r\n%s: s1\r\nContent-Length: 13\r\n\r\n"},
		{"in chunks, inside the size of the first", "HTTP/1.1 200 OK\r\n%s: id1\r\n%s: s1\r\nTransfer-Encoding: chunked\r\n\r\n10"},
		{"after an informational response", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n%s: id1\r\n%s: s1\r\n\r\n"},
	}
	for _, c := range heads {
		for _, path := range []string{"/single/", "/stream/", "/once/", "/idem/"} {
			for _, resets := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, reset %t", c.name, path, resets), func(t *testing.T) {
					t.Parallel()
					head := fmt.Sprintf(c.head, headerID, headerSigned)
					for length := range len(head) {
						is := is.New(t)
						h := newHarness(t, func(rw http.ResponseWriter, _ *http.Request) {
							connection, _, err := rw.(http.Hijacker).Hijack()
							if err != nil {
								return
							}
							_, _ = connection.Write([]byte(head[:length]))
							if resets {
								_ = connection.(*net.TCPConn).SetLinger(0)
							}
							connection.Close()
						})
						response, body, err := h.call(path, "b")
						if response != nil && response.StatusCode < 300 && err == nil {
							t.Errorf("%d of %d bytes: status %d, body %q", length, len(head), response.StatusCode, body)
						}
						h.server.Close()
						for _, u := range h.upstreams {
							u.server.Close()
						}
						is.True(response != nil || err != nil)
					}
				})
			}
		}
	}
}
