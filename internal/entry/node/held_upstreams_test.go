package node

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a data race at the start. A peer may request the held upstreams while the ownership loop is starting.
// If that loop created the map, the response would be built from the map while it is written. The process could end at
// its start, and callers would have one instance fewer.
func TestPeersMayAskBeforeTheFirstClaim(t *testing.T) {
	is := is.New(t)
	n := &Node{heldUpstreams: newHeldUpstreams()}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	heldCount := make(chan int)
	go func() { heldCount <- len(n.heldUpstreams.residencies(time.Now())) }()
	is.NoErr(n.runOwnership(ended))
	is.Equal(<-heldCount, 0)
}
