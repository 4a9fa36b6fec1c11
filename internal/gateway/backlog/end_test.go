package backlog

import (
	"bytes"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/gateway/memory"
)

// Guards against a complete response that is cut, because its caller ends what it sends and goes on to read slowly: the kernel
// gives up a closed connection whose caller reads nothing for some seconds.
func TestCallerThatEndsItsRequestsGetsTheWholeBacklog(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	const length = 6 << 20
	is.NoErr(p.caller.SetReadBuffer(128 << 10))
	_, err := p.server.Write(bytes.Repeat([]byte("x"), length))
	is.NoErr(err)
	is.NoErr(p.caller.CloseWrite())
	is.NoErr(p.server.Close())
	received := 0
	for p.backlogs.Account.Held(memory.Response) > 0 { // what is left is in the kernel
		n, err := p.caller.Read(make([]byte, 32<<10))
		is.NoErr(err)
		received += n
	}
	time.Sleep(6 * time.Second)
	rest, err := io.ReadAll(p.caller)
	is.NoErr(err)
	is.Equal(received+len(rest), length)
}
