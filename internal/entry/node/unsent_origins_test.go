package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/placement/origin"
)

// Guards against records of streams that no peer ever gets, because the instance had just started when they began, or was
// cut off, and knew no live peer.
func TestRecordsWaitForALivePeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var suspended time.Duration
		n := nodeWithoutFenceChecks(&suspended)
		n.origins.setRetention(time.Minute)
		stream := origin.Stream{Workspace: "w", ID: "r"}
		n.RecordOrigin(stream, origin.Origin{Service: "s", Software: "v1"})
		n.sendUnsentOrigins()
		is.Equal(len(n.origins.takeUnsent(time.Now(), "s")), 1)
	})
}
