package node_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/entry/node"
)

// Guards against instances that take over what those of another fleet state, as one of them listens at an address that an
// instance of the other fleet had: they believe that their upstreams are held elsewhere, and refuse requests for seconds.
func TestInstancesOfAnotherFleetAreIgnored(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	names := []string{"a", "b", "c", "d"}
	other := startFleet(t, newStore(), names...)
	time.Sleep(2 * time.Second)
	address := other[0].address("PeerAddress")
	other[0].stop()
	<-other[0].ended
	upstream := func(t *testing.T) string { return newUpstream(t, 5*time.Millisecond) }
	reuse := func(settings *node.Settings) {
		if settings.Instance.Name == "a" {
			settings.Instance.PeerAddress = address
		}
	}
	fleet := startFleetBefore(t, newStore(), fleetOptions{shared: &engines{}, upstream: upstream, change: reuse}, names...)
	for _, member := range other[1:] {
		member.stop()
	}
	refused := 0
	for begun := time.Now(); time.Since(begun) < 5*time.Second; time.Sleep(10 * time.Millisecond) {
		for _, member := range fleet {
			if member.generate("warm") != 200 {
				refused++
			}
		}
	}
	is.Equal(refused, 0)
}
