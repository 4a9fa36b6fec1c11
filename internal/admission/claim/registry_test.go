package claim_test

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/admission/claim"
)

// withRegistry runs a check against one running registry on a store without faults.
func withRegistry(t *testing.T, check func(is *is.I, w *simulation, r *claim.Registry)) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(1)
		defer w.stop()
		check(is.New(t), w, w.instances[0].registry)
	})
}

func claimAndDispatch(is *is.I, r *claim.Registry, key string) *claim.Ticket {
	decision, err := r.Claim(context.Background(), "crew", key, "ten")
	is.NoErr(err)
	is.True(decision.(claim.Proceed).Ticket.Dispatch() == nil)
	return decision.(claim.Proceed).Ticket
}

func TestResponsesAreReplayed(t *testing.T) {
	tests := []struct {
		name string
		size int
		kept bool
	}{
		{"small, kept in the claim", 100, true},
		{"large, kept beside it", 100 << 10, true},
		{"too large to be kept", 1 << 20, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withRegistry(t, func(is *is.I, w *simulation, r *claim.Registry) {
				response := claim.Response{Status: 201, ContentType: "application/json", Body: bytes.Repeat([]byte("x"), tt.size)}
				is.NoErr(claimAndDispatch(is, r, "k").Ran(context.Background(), response))
				decision, err := w.instances[1].registry.Claim(context.Background(), "crew", "k", "ten")
				is.NoErr(err)
				replay := decision.(claim.Replay)
				is.Equal(replay.Kept, tt.kept)
				is.Equal(replay.Response.Status, 201)
				if tt.kept {
					is.Equal(replay.Response.Body, response.Body)
				}
				_, isOther := mustClaim(is, r, "k", "twenty").(claim.BodyMismatch)
				is.True(isOther)
			})
		})
	}
}

func mustClaim(is *is.I, r *claim.Registry, key, body string) claim.Decision {
	decision, err := r.Claim(context.Background(), "crew", key, body)
	is.NoErr(err)
	return decision
}

// Guards against one store write per claim: a busy hour of bookings would use up the several hundred writes a
// second of the store, and operators' changes would queue behind them. Concurrent claims share writes.
func TestClaimsShareWrites(t *testing.T) {
	withRegistry(t, func(is *is.I, w *simulation, r *claim.Registry) {
		const calls, seconds = 20000, 10
		var group sync.WaitGroup
		proceeded := make(chan struct{}, calls)
		for i := range calls {
			time.Sleep(seconds * time.Second / calls)
			group.Go(func() {
				if d, isOne := mustClaim(is, r, fmt.Sprint("k", i), "ten").(claim.Proceed); isOne {
					_ = d.Ticket.NotRun(context.Background())
					proceeded <- struct{}{}
				}
			})
		}
		group.Wait()
		is.Equal(len(proceeded), calls)
		t.Logf("%d claims and outcomes in %d s: %d writes", 2*calls, seconds, w.store.writes)
		is.True(w.store.writes < calls/5)
	})
}

// Guards against claims written beyond the megabyte that a value in the store may hold: every claim of the group
// would then fail until the oldest expire. New claims must be refused without running while there is still room for
// the outcomes of running calls.
func TestFullGroupRefuses(t *testing.T) {
	withRegistry(t, func(is *is.I, w *simulation, r *claim.Registry) {
		response := claim.Response{Status: 200, Body: bytes.Repeat([]byte("x"), 500)}
		made, refused := 0, ""
		for wave := 0; refused == ""; wave++ {
			for _, decision := range claimConcurrently(r, wave) {
				switch d := decision.(type) {
				case claim.Proceed:
					is.NoErr(d.Ticket.Dispatch())
					go func() { _ = d.Ticket.Ran(context.Background(), response) }()
					made++
				case claim.Refuse:
					refused = string(d.Reason)
				}
			}
			time.Sleep(time.Second)
		}
		is.Equal(refused, string(claim.ReasonFull))
		t.Logf("a group takes %d claims with answers of 500 bytes", made)
		is.True(w.store.largest() < 1<<20)
		time.Sleep(retention + time.Minute)
		_, claimed := mustClaim(is, r, "k0", "ten").(claim.Proceed)
		is.True(claimed)
	})
}

// claimConcurrently claims a hundred keys of one group at once.
func claimConcurrently(r *claim.Registry, round int) []claim.Decision {
	var group sync.WaitGroup
	decisions := make([]claim.Decision, 100)
	found := 0
	for i := 0; found < len(decisions); i++ {
		key := fmt.Sprint("k", round, "-", i)
		if claim.GroupOf("crew", key) != claim.GroupOf("crew", "k0") {
			continue
		}
		decision := &decisions[found]
		found++
		group.Go(func() { *decision, _ = r.Claim(context.Background(), "crew", key, "ten") })
	}
	group.Wait()
	return decisions
}
