// Package backlog keeps the parts of responses that slow callers have not read yet, so that upstreams can be read
// without delay. It works below the HTTP server, in the connections of its listener: a write there returns once its
// bytes are kept, so the handler of a request ends with the response of the upstream, and the rest is written
// afterwards.
//
// A caller that reads normally costs no goroutine and no copy: its bytes go to the kernel at once.
package backlog

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"lacewingrock.example/lacewingrock/internal/gateway/memory"
	"lacewingrock.example/lacewingrock/internal/timing/pause"
)

const (
	// progressInterval is how often a caller is checked for progress. It is given up after maxStalls checks in a row
	// without. A caller's kernel may acknowledge nothing until a part of its buffer is free, so a caller that reads a
	// few bytes a second looks stalled for a while.
	progressInterval = 10 * time.Second
	maxStalls        = 2
	// roomInterval is how often a write that waits for room in the account looks for it.
	roomInterval = 100 * time.Millisecond
	// lingerTime is how long the end of a response is awaited at the caller. See closeInOrder in package serve.
	lingerTime = 500 * time.Millisecond
	// endInterval is how often it is checked whether a caller that sends nothing more has got the rest.
	endInterval = 50 * time.Millisecond
	// awaitInterval is how often a planned stop checks for backlogs.
	awaitInterval = 20 * time.Millisecond
)

// Backlogs are those of all callers. Set the exported fields before use.
type Backlogs struct {
	Account *memory.Account
	Log     zerolog.Logger
	Scope   tally.Scope
	// ProgressInterval replaces progressInterval if it is not 0.
	ProgressInterval time.Duration

	// count is the number of connections with a backlog.
	count atomic.Int64
}

// socketConnection is a connection that can write what the kernel takes at once.
type socketConnection interface {
	net.Conn
	WriteImmediately(data []byte) (int, error)
	Unacknowledged() (int, error)
	CloseWrite() error
	SetLinger(seconds int) error
}

// Listener returns a listener whose connections have a backlog.
func (b *Backlogs) Listener(inner net.Listener) net.Listener {
	return listener{Listener: inner, backlogs: b}
}

type listener struct {
	net.Listener
	backlogs *Backlogs
}

// Accept waits for the next connection.
func (l listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	socket, ok := accepted.(socketConnection)
	if !ok {
		return accepted, nil
	}
	return newConnection(l.backlogs, socket), nil
}

// Count returns the number of connections with a backlog.
func (b *Backlogs) Count() int64 { return b.count.Load() }

// Await waits until no connection has a backlog, and returns false if the context ends before.
func (b *Backlogs) Await(ctx context.Context) bool {
	for b.count.Load() > 0 {
		if !pause.For(ctx, awaitInterval) {
			return false
		}
	}
	return true
}

// add counts a connection that begins or ends to have a backlog.
func (b *Backlogs) add(change int64) {
	b.Scope.Gauge("slow_callers").Update(float64(b.count.Add(change)))
}

func (b *Backlogs) interval() time.Duration {
	if b.ProgressInterval > 0 {
		return b.ProgressInterval
	}
	return progressInterval
}
