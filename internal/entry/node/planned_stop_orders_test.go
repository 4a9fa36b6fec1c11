package node_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/entry/node"
)

// Guards against an order that arrives after those of the next holder, where upstreams check no fencing tokens: its packet is
// retransmitted while its sender stops and gives up the upstream.
func TestPlannedStopLeavesNoOrderBehind(t *testing.T) {
	const (
		returnAfter = 3 * time.Second
		// retransmitted is the time of a packet that is lost three times.
		retransmitted = 1400 * time.Millisecond
		stopAfter     = 20 * time.Millisecond
		// released is the time within which the upstreams of the stopped instance have other holders that send orders.
		released = returnAfter + 3*time.Second
	)
	t.Parallel()
	is := is.New(t)
	shared := &engines{unfenced: true, delayed: make(chan string, 1)}
	s := newStore()
	fleet := startFleetBefore(t, s, fleetOptions{
		shared: shared, upstream: func(t *testing.T) string { return newUpstream(t, 0) },
		change: func(settings *node.Settings) {
			settings.Upstreams = node.UpstreamSettings{FencesChecked: false, ReturnAfter: returnAfter}
		},
	}, "a", "b", "c")
	s.drop(prefixUpstreams + "engine1") // all orders go to one engine
	s.drop(prefixUpstreams + "engine2")
	end := make(chan struct{})
	var callers sync.WaitGroup
	for _, member := range fleet {
		callers.Go(func() {
			for number := 0; ; number++ {
				select {
				case <-end:
					return
				case <-time.After(20 * time.Millisecond):
				}
				member.generate(fmt.Sprint("adapter", number%40))
			}
		})
	}
	time.Sleep(time.Second)
	shared.mutex.Lock()
	shared.delayNext = retransmitted
	shared.mutex.Unlock()
	sender := <-shared.delayed
	time.Sleep(stopAfter)
	for _, member := range fleet {
		if member.name == sender {
			member.stop()
		}
	}
	time.Sleep(released)
	close(end)
	callers.Wait()
	is.Equal(shared.violationsFound(), []string(nil))
}
