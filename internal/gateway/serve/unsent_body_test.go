package serve_test

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against callers that state long bodies and send nothing, and so make an instance without a bound for its memory
// hold all that they have stated.
func TestStatedBodiesTakeMemoryOnlyAsTheyArrive(t *testing.T) {
	is := is.New(t)
	h := newBytesHarness(t, 0, served)
	heap := watchHeap()
	for i := range 40 {
		connection, err := net.Dial("tcp", strings.TrimPrefix(h.server.URL, "http://"))
		is.NoErr(err)
		defer connection.Close()
		_, err = fmt.Fprintf(connection, "POST /large/ HTTP/1.1\r\nHost: a.example\r\n%s: unsent-%d\r\n%s: %s\r\nContent-Length: %d\r\n\r\n",
			headerID, i, headerKey, key, 4<<20)
		is.NoErr(err)
	}
	time.Sleep(500 * time.Millisecond)
	is.True(heap.growth() < 20) // MiB; 160 are stated
}
