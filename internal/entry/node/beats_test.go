package node

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func beatsWith(peers int) *beats {
	b := &beats{peers: make(map[string]*peerLoop)}
	for i := range peers {
		b.peers[fmt.Sprint("peer", i)] = &peerLoop{news: make(chan struct{}, 1)}
	}
	return b
}

func told(b *beats) (names []string) {
	for name, loop := range b.peers {
		if len(loop.news) > 0 {
			names = append(names, name)
		}
	}
	return names
}

// A key is withdrawn in a fleet of eighty, whose pairs exchange heartbeats only every two seconds. One instance
// reads it in the store. If it told nobody until the next heartbeat, and they neither, the key would work on
// for seconds at those that are told last. Told to some at once, who tell some at once, it is everywhere in a
// few steps, and nobody sends more than a few messages.
func TestNewsReachesALargeFleetInAFewSteps(t *testing.T) {
	is := is.New(t)
	const fleet = 81
	knows := map[string]bool{"peer0": true}
	telling := []string{"peer0"}
	steps := 0
	for ; len(telling) > 0; steps++ {
		var next []string
		for range telling {
			b := beatsWith(fleet)
			b.spread()
			is.Equal(len(told(b)), spreadTo)
			for _, name := range told(b) {
				if !knows[name] {
					knows[name] = true
					next = append(next, name)
				}
			}
		}
		telling = next
	}
	t.Logf("%d of %d know after %d steps", len(knows), fleet, steps)
	is.True(len(knows) > fleet*8/10) // heartbeats reach the rest
	is.True(steps <= 12)
}

// With few peers the heartbeats come several times a second, and more messages would buy nothing.
func TestNoNewsBesideFrequentHeartbeats(t *testing.T) {
	is := is.New(t)
	b := beatsWith(peersAtFullPace)
	b.spread()
	is.Equal(len(told(b)), 0)
}
