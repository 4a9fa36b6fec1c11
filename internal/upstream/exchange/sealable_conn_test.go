package exchange

import (
	"net"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// An exchange is given up while the library is just about to write the request in a goroutine of its
// own. If the write went out after "nothing left" was said, the upstream would run a call that its
// caller was told may safely be sent again. Whichever comes first, the two must agree.
func TestNothingLeavesAfterTheSeal(t *testing.T) {
	for range 1000 {
		is := is.New(t)
		near, far := net.Pipe()
		conn := &sealableConn{Conn: near}
		var group sync.WaitGroup
		var writeErr error
		var left bool
		got := make([]byte, 4)
		group.Go(func() {
			_, writeErr = conn.Write([]byte("call"))
			near.Close()
		})
		group.Go(func() { left = conn.seal() })
		read, _ := far.Read(got)
		group.Wait()
		far.Close()
		is.Equal(left, read > 0)
		is.Equal(errors.Is(writeErr, errSealed), read == 0)
	}
}
