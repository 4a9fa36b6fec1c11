package node

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A peer greets an instance in the same moment in which the instance starts, and is answered with what is held
// there while the duty that claims upstreams is only beginning. If that duty made the list, the answer would read
// it as it is written: the process could end at its start, and callers would find one instance fewer.
func TestPeersMayAskBeforeTheFirstClaim(t *testing.T) {
	is := is.New(t)
	n := &Node{holdings: newHoldings()}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	answered := make(chan int)
	go func() { answered <- len(n.holdings.residencies(time.Now())) }()
	is.NoErr(n.runHoldings(ended))
	is.Equal(<-answered, 0)
}
