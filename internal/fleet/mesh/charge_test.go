package mesh_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/admission/quota"
)

// Guards against a charge or a verdict that changes on its way between two instances.
func TestChargeOfARate(t *testing.T) {
	peer, peers, address := serveEcho(t)
	for _, verdict := range []quota.Verdict{
		quota.Charged{}, quota.OverRate{RetryAfter: 350 * time.Millisecond, Closed: 300 * time.Millisecond}, quota.Unanswered{},
	} {
		t.Run(fmt.Sprintf("%T", verdict), func(t *testing.T) {
			is := is.New(t)
			peer.verdict = verdict
			charge := quota.Charge{Instance: "a", Incarnation: "1", Version: 7, Workspace: "w", Cost: 2400, Total: 1e9 + 0.5}
			got, err := peers.ChargeRate(context.Background(), address, charge)
			is.NoErr(err)
			is.Equal(got, verdict)
			is.Equal(peer.charge, charge)
		})
	}
}
