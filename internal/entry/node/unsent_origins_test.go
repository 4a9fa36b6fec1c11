package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/fleet/roster"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/origin"
)

// Guards against records of streams that no peer ever gets, because the instance had just started when they began, or was
// cut off, and knew no live peer.
func TestRecordsWaitForALivePeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var suspended time.Duration
		n := nodeWithoutFenceChecks(&suspended)
		n.origins.setLifetime(time.Now(), time.Minute)
		n.updateStreamLifetime(time.Now())
		stream := origin.Stream{Workspace: "w", ID: "r"}
		n.RecordOrigin(stream, origin.Origin{Service: "s", Software: "v1"}, 0)
		n.sendUnsentOrigins()
		is.Equal(len(n.origins.takeUnsent(time.Now(), "s")), 1)
	})
}

// Guards against a flood of records in an outage of the store: no instance learns of another software version then, and all
// would send the records of their recent streams at the same time.
func TestOutageSendsNoRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var suspended time.Duration
		n := nodeWithoutFenceChecks(&suspended)
		n.origins.setLifetime(time.Now(), time.Minute)
		n.updateStreamLifetime(time.Now())
		n.sharedState.Pool.Declare(time.Now(), traffic.Upstream{ID: "u", Service: "s", Software: "v1"})
		time.Sleep(time.Minute) // the store has not confirmed anything for long
		n.overlay.setMembers(time.Now(), []roster.Instance{{Name: n.self.Name}, {Name: "b"}})
		n.overlay.recordContact("b", time.Now())
		n.RecordOrigin(origin.Stream{Workspace: "w", ID: "r"}, origin.Origin{Service: "s", Software: "v1"}, 0)
		n.sendUnsentOrigins()
		_, proven := n.provenSoftware("s")
		is.True(!proven)
		is.Equal(len(n.origins.takeUnsent(time.Now(), "s")), 1)
	})
}
