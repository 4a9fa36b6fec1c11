package serve

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

// Guards against a request that was allowed an older version when its upstream was chosen, waits for its prefill turn, and is sent
// when that version may no longer be begun.
func TestOlderVersionIsCheckedAgainAtTheSend(t *testing.T) {
	const left, expected = 2 * time.Second, 300 * time.Millisecond
	for _, c := range []struct {
		name     string
		prepared mesh.PrepareResult
		required int64
		waited   time.Duration
		tooOld   bool
	}{
		{"sent at once", mesh.Loaded{Version: 1}, 0, 0, false},
		{"sent while the time left is enough", mesh.Loaded{Version: 1}, 0, left - 2*expected, false},
		{"begins to run too late", mesh.Loaded{Version: 1}, 0, left - expected, true},
		{"sent too late", mesh.Loaded{Version: 1}, 0, left, true},
		{"sent too late, holder not known", mesh.NotHolder{}, 0, left, true},
		{"the newest version was prepared", mesh.Loaded{Version: 2}, 0, left, false},
		{"the newest version is named", mesh.NotHolder{}, 2, left, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := placement{
					choice: pool.Choice{Loaded: true, Older: true, Expected: expected},
					query:  pool.Query{Version: c.required, Newest: 2, OlderUntil: time.Now().Add(left)},
				}
				time.Sleep(c.waited)
				p.recordVersion(c.prepared)
				is.Equal(p.isTooOld(time.Now()), c.tooOld)
			})
		})
	}
}
