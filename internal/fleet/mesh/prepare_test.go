package mesh_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
)

// preparingPeer answers calls of Prepare when the test says so.
type preparingPeer struct {
	echo
	calls chan preparingCall
}

// preparingCall is a call that waits for its answer.
type preparingCall struct {
	request mesh.PrepareRequest
	answer  chan mesh.PrepareResult
	// ended is closed when the caller does not wait any more.
	ended <-chan struct{}
}

func (p *preparingPeer) Prepare(ctx context.Context, request mesh.PrepareRequest) mesh.PrepareResult {
	call := preparingCall{request: request, answer: make(chan mesh.PrepareResult, 1), ended: ctx.Done()}
	p.calls <- call
	select {
	case prepared := <-call.answer:
		return prepared
	case <-ctx.Done():
		return mesh.NotHolder{}
	}
}

// Guards against a request that waits for its adapter on a connection that has fallen silent until nearly all its time is
// over, although its holder answers over a new connection.
func TestHolderIsAskedAgainOverANewConnection(t *testing.T) {
	const wait = 2 * time.Second
	loaded := mesh.Loaded{Version: 5}
	for _, c := range []struct {
		name string
		// answers are those to the two calls, nil for none.
		answers [2]mesh.PrepareResult
		// closed: the peer takes no new connection.
		closed bool
	}{
		{"the old connection is lost", [2]mesh.PrepareResult{nil, loaded}, false},
		{"the old connection goes on", [2]mesh.PrepareResult{loaded, nil}, false},
		{"the peer takes no new connection", [2]mesh.PrepareResult{loaded, nil}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			peer := &preparingPeer{calls: make(chan preparingCall, 2)}
			peers, listener := servePeer(t, &peer.echo, peer)
			address := listener.Addr().String()
			request := mesh.PrepareRequest{Upstream: "u", MaxWait: wait, OnTime: wait / 2}
			results := make(chan mesh.PrepareResult, 1)
			go func() {
				ctx, cancel := context.WithTimeout(t.Context(), wait)
				defer cancel()
				prepared, _ := peers.Prepare(ctx, address, request)
				results <- prepared
			}()
			calls := []preparingCall{<-peer.calls}
			is.Equal(calls[0].request, request)
			if c.closed {
				listener.Close()
			}
			time.Sleep(50 * time.Millisecond)
			peers.Retire(address)
			if !c.closed {
				select {
				case second := <-peer.calls:
					calls = append(calls, second)
				case <-time.After(wait / 2):
					t.Fatal("the holder is not asked again")
				}
				is.True(calls[1].request.MaxWait < request.MaxWait) // the time that has passed is not granted again
				is.True(calls[1].request.OnTime < request.OnTime)
				is.Equal(peer.accepted.Load(), int64(2))
			} else {
				time.Sleep(50 * time.Millisecond)
			}
			for number, call := range calls {
				if c.answers[number] != nil {
					call.answer <- c.answers[number]
				}
			}
			is.Equal(<-results, mesh.PrepareResult(loaded))
			for _, call := range calls {
				<-call.ended // the call that is not needed is withdrawn
			}
		})
	}
}

// Guards against a holder that is asked twice although its connection works.
func TestHolderIsAskedOnce(t *testing.T) {
	is := is.New(t)
	peer := &preparingPeer{calls: make(chan preparingCall, 2)}
	peers, listener := servePeer(t, &peer.echo, peer)
	address := listener.Addr().String()
	peers.Retire(address)
	for range 2 {
		results := make(chan mesh.PrepareResult, 1)
		go func() {
			prepared, _ := peers.Prepare(t.Context(), address, mesh.PrepareRequest{Upstream: "u"})
			results <- prepared
		}()
		call := <-peer.calls
		time.Sleep(20 * time.Millisecond)
		call.answer <- mesh.Busy{RetryAfter: time.Second}
		is.Equal(<-results, mesh.PrepareResult(mesh.Busy{RetryAfter: time.Second}))
		is.Equal(len(peer.calls), 0)
	}
	is.Equal(peer.accepted.Load(), int64(1))
}
