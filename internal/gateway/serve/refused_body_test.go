package serve_test

// Bodies that are refused while they arrive.

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against others that are refused for a body which is not held any more, while the rest of it is awaited and dropped.
func TestRefusedBodyIsReleasedAtOnce(t *testing.T) {
	is := is.New(t)
	h := newBytesHarness(t, 8, served)
	connection, err := net.Dial("tcp", h.server.Listener.Addr().String())
	is.NoErr(err)
	defer connection.Close()
	_, err = fmt.Fprintf(connection, "POST /once/ HTTP/1.1\r\nHost: a.example\r\n%s: id1\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n",
		headerID, headerKey, key, 3<<20)
	is.NoErr(err)
	_, err = connection.Write(make([]byte, 2<<20))
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	is.NoErr(err)
	defer response.Body.Close()
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	time.Sleep(100 * time.Millisecond)
	now, _ := h.account.Total()
	is.Equal(now, int64(0))
}
