package pool_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

// Guards against requests that are refused at once for seconds after an overload has ended: what holders stated while it lasted
// counts although they have reported idle adapter slots since.
func TestStatedWaitEndsWithIdleSlots(t *testing.T) {
	for _, c := range []struct {
		name   string
		report pool.Residency
		asked  bool
	}{
		{"all are idle", pool.Residency{FreeSlots: 5}, true},
		{"one is in use", pool.Residency{FreeSlots: 4}, true},
		{"those in use may be all that the lowest class gets", pool.Residency{FreeSlots: 3}, false},
		{"none is idle", pool.Residency{SlotWait: 100 * time.Millisecond}, false},
		{"the idle ones are awaited", pool.Residency{FreeSlots: 5, SlotWait: 100 * time.Millisecond}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newPool("e1")
			now := time.Now()
			class := pool.SlotClass{Priority: 2}
			p.RecordClassWait(now, "e1", class, 8*time.Second)
			query := pool.Query{Service: engines, Adapter: adapter("a"), Slots: &pool.SlotBounds{Class: class, MaxWait: time.Second}}
			_, err := p.Choose(now, query)
			is.Equal(err, pool.ErrNoSlot)
			c.report.Upstream, c.report.Fence = "e1", 1
			p.RecordResidency(now, c.report)
			_, err = p.Choose(now, query)
			is.Equal(err == nil, c.asked)
		})
	}
}
