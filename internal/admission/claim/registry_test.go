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
func withRegistry(t *testing.T, check func(is *is.I, w *world, r *claim.Registry)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1)
		defer w.stop()
		check(is.New(t), w, w.instances[0].registry)
	})
}

func proceed(is *is.I, r *claim.Registry, key string) *claim.Ticket {
	decision, err := r.Claim(context.Background(), "crew", key, "ten")
	is.NoErr(err)
	is.True(decision.(claim.Proceed).Ticket.Dispatch() == nil)
	return decision.(claim.Proceed).Ticket
}

func TestAnswersAreReplayed(t *testing.T) {
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
			withRegistry(t, func(is *is.I, w *world, r *claim.Registry) {
				answer := claim.Response{Status: 201, ContentType: "application/json", Body: bytes.Repeat([]byte("x"), tt.size)}
				is.NoErr(proceed(is, r, "k").Ran(context.Background(), answer))
				decision, err := w.instances[1].registry.Claim(context.Background(), "crew", "k", "ten")
				is.NoErr(err)
				replay := decision.(claim.Replay)
				is.Equal(replay.Kept, tt.kept)
				is.Equal(replay.Response.Status, 201)
				if tt.kept {
					is.Equal(replay.Response.Body, answer.Body)
				}
				_, isOther := must(is, r, "k", "twenty").(claim.BodyMismatch)
				is.True(isOther)
			})
		})
	}
}

func must(is *is.I, r *claim.Registry, key, body string) claim.Decision {
	decision, err := r.Claim(context.Background(), "crew", key, body)
	is.NoErr(err)
	return decision
}

// With a write for each claim, a busy hour of bookings would take the store's several hundred writes a
// second, and operators' changes would wait behind them. Claims that come together share writes.
func TestClaimsShareWrites(t *testing.T) {
	withRegistry(t, func(is *is.I, w *world, r *claim.Registry) {
		const calls, seconds = 20000, 10
		var group sync.WaitGroup
		proceeded := make(chan struct{}, calls)
		for i := range calls {
			time.Sleep(seconds * time.Second / calls)
			group.Go(func() {
				if d, isOne := must(is, r, fmt.Sprint("k", i), "ten").(claim.Proceed); isOne {
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

// A value of the store takes a megabyte. If claims were written beyond that, every claim of the group
// would fail until the oldest expire; so new ones are refused, not run, while there is still room for
// the outcomes of those that run.
func TestFullGroupRefuses(t *testing.T) {
	withRegistry(t, func(is *is.I, w *world, r *claim.Registry) {
		answer := claim.Response{Status: 200, Body: bytes.Repeat([]byte("x"), 500)}
		made, refused := 0, ""
		for wave := 0; refused == ""; wave++ {
			for _, decision := range together(r, wave) {
				switch d := decision.(type) {
				case claim.Proceed:
					is.NoErr(d.Ticket.Dispatch())
					go func() { _ = d.Ticket.Ran(context.Background(), answer) }()
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
		_, claimed := must(is, r, "k0", "ten").(claim.Proceed)
		is.True(claimed)
	})
}

// together claims a hundred keys of one group at once.
func together(r *claim.Registry, wave int) []claim.Decision {
	var group sync.WaitGroup
	decisions := make([]claim.Decision, 100)
	found := 0
	for i := 0; found < len(decisions); i++ {
		key := fmt.Sprint("k", wave, "-", i)
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
