package serve_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// Guards against a part of a response that its caller gets as a whole one: the upstream responds before it has read a long
// request, without a length, and resets the connection while the request is being written.
func TestResponseThatIsResetDuringTheUploadIsNoSuccess(t *testing.T) {
	const uploadBytes = 16 << 20 // more than the buffers of a connection take
	upload := strings.Repeat("u", uploadBytes)
	for _, status := range []int{http.StatusOK, http.StatusNotFound, http.StatusInternalServerError} {
		for _, path := range []string{"/single/", "/stream/", "/once/", "/idem/"} {
			t.Run(fmt.Sprintf("%d, %s", status, path), func(t *testing.T) {
				t.Parallel()
				for range 4 {
					is := is.New(t)
					h := newBytesHarness(t, 4096)
					h.declareUnread("app", "early", func(rw http.ResponseWriter, r *http.Request) {
						connection, _, err := rw.(http.Hijacker).Hijack()
						if err != nil {
							return
						}
						_, _ = fmt.Fprintf(connection, "HTTP/1.1 %d Some\r\n%s: %s\r\n%s: s1\r\n\r\n%s", status, headerID, r.Header.Get(headerID), headerSigned, event(1))
						time.Sleep(50 * time.Millisecond)
						_ = connection.(*net.TCPConn).SetLinger(0)
						connection.Close()
					})
					configuration := h.fleet.table.Load().Configuration
					configuration.Limits.BodyBytes = uploadBytes
					h.fleet.table.Store(traffic.NewTable(configuration))
					response, body, err := h.call(path, upload)
					part := response != nil && err == nil && response.StatusCode == status && body == event(1)
					is.True(!part)
				}
			})
		}
	}
}
