package serve_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against an answer of an upstream in trouble that its caller gets, or gets a closed connection for: its status is none,
// or a name in its head or trailer is.
func TestMalformedResponseIsNoAnswer(t *testing.T) {
	plain := func(status, field string) string {
		return "HTTP/1.1 " + status + "\r\n%s: %s\r\n%s: s1\r\n" + field + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(event(1))) + event(1)
	}
	chunks := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nX Sum: 1\r\n\r\n", len(event(1)), event(1))
	for _, form := range []struct{ name, response string }{
		{"status 000", plain("000 None", "")},
		{"status 999", plain("999 None", "")},
		{"a blank in a name", plain("200 OK", "X-Bad Name: v\r\n")},
		{"a hidden length", plain("200 OK", "Content-Length : 5\r\n")},
		{"a hidden encoding", plain("404 Not Found", "Transfer-Encoding : chunked\r\n")},
		{"a control byte in a name", plain("200 OK", "X\x01Y: v\r\n")},
		{"a blank in a name of the trailer", "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s1\r\n" + chunks},
	} {
		for _, path := range []string{"/once/", "/idem/", "/stream/"} {
			t.Run(form.name+", "+path, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				h := newHarness(t, func(rw http.ResponseWriter, r *http.Request) {
					connection, _, err := rw.(http.Hijacker).Hijack()
					if err != nil {
						return
					}
					defer connection.Close()
					_, _ = fmt.Fprintf(connection, form.response, headerID, r.Header.Get(headerID), headerSigned)
				}, served)
				for range 6 { // at both upstreams
					response, body, err := h.call(path, "b")
					is.NoErr(err)
					switch response.StatusCode {
					case http.StatusOK:
						is.True(strings.HasSuffix(body, answer)) // the event before a malformed trailer has been sent, and the stream goes on
						is.True(body == answer || path == "/stream/")
					default:
						is.Equal([]any{response.StatusCode, path}, []any{http.StatusBadGateway, "/once/"})
					}
				}
			})
		}
	}
}
