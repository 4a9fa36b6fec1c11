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

// Guards against a planned stop that is held up by a caller which has got its response and goes on to send.
func TestCallerThatGoesOnToSendIsClosed(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	is.NoErr(p.caller.SetReadBuffer(1 << 20))
	_, err := p.server.Write(make([]byte, 2<<20))
	is.NoErr(err)
	is.NoErr(p.server.Close())
	go p.run()
	begun := time.Now()
	for p.backlogs.Count() > 0 {
		is.True(time.Since(begun) < 4*lingerTime)
		_, _ = p.caller.Write([]byte("x"))
		time.Sleep(20 * time.Millisecond)
	}
}

// run reads until the connection ends.
func (p *pair) run() { _, _ = io.Copy(io.Discard, p.caller) }
