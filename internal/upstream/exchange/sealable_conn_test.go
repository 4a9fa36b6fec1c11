package exchange

import (
	"net"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// An exchange is abandoned just as net/http is about to write the request in a separate goroutine.
// If the write succeeded after the request was reported as unsent, the upstream would run a call
// that its caller may safely send again. In either order, the write and the report must agree.
func TestNothingIsSentAfterSeal(t *testing.T) {
	for range 1000 {
		is := is.New(t)
		near, far := net.Pipe()
		conn := &sealableConn{Conn: near}
		var group sync.WaitGroup
		var writeErr error
		var maybeSent bool
		got := make([]byte, 4)
		group.Go(func() {
			_, writeErr = conn.Write([]byte("call"))
			near.Close()
		})
		group.Go(func() { maybeSent = conn.seal() })
		read, _ := far.Read(got)
		group.Wait()
		far.Close()
		is.Equal(maybeSent, read > 0)
		is.Equal(errors.Is(writeErr, errSealed), read == 0)
	}
}
