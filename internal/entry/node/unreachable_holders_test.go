package node

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/fleet/roster"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// Guards against an instance that takes an engine although it reaches a holder that it can ask, at once, from a holder that has
// no other, where fencing tokens are not checked, or more than one.
func TestEngineIsTakenFromUnreachableHoldersOnly(t *testing.T) {
	for _, c := range []struct {
		name    string
		holders []string
		alive   string
		checked bool
		wait    time.Duration
		taken   int
	}{
		{"holder of two unreachable", []string{"a", "a", "b"}, "", true, unreachableFor, 1},
		{"unreachable for a moment", []string{"a", "a", "b"}, "", true, unreachableFor / 2, 0},
		{"one holder alive", []string{"a", "a", "b"}, "b", true, unreachableFor, 0},
		{"one engine each", []string{"a", "b", "c"}, "", true, unreachableFor, 0},
		{"holds one itself", []string{"a", "a", "self"}, "", true, unreachableFor, 0},
		{"fences not checked", []string{"a", "a", "b"}, "", false, unreachableFor, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n, _ := nodeWithLease(t)
				n.current.Store(&Settings{Upstreams: UpstreamSettings{FencesChecked: c.checked}})
				services := map[string]traffic.Service{"llm": {Name: "llm", Engine: &traffic.Engine{AdapterSlots: 4}}}
				n.view.table.Store(traffic.NewTable(traffic.Configuration{Services: services}))
				for number, name := range c.holders {
					id := fmt.Sprint("engine", number)
					n.sharedState.Pool.Declare(time.Now(), traffic.Upstream{ID: id, Service: "llm"})
					instance, err := roster.EncodeInstance(roster.Instance{Name: name, Incarnation: name})
					is.NoErr(err)
					holder, err := roster.EncodeHolder(roster.Holder{Instance: name, Incarnation: name})
					is.NoErr(err)
					_, err = n.view.roster.Apply(roster.InstanceKey(name), instance, 1, false)
					is.NoErr(err)
					_, err = n.view.roster.Apply(roster.HolderKey(id), holder, 2, false)
					is.NoErr(err)
				}
				ended, cancel := context.WithCancel(context.Background())
				cancel()
				n.claimFromUnreachable(ended, time.Now())
				time.Sleep(c.wait)
				for range 2 {
					if c.alive != "" {
						n.overlay.recordContact(c.alive, time.Now())
					}
					n.claimFromUnreachable(ended, time.Now())
				}
				is.Equal(len(n.heldUpstreams.ids()), c.taken)
			})
		})
	}
}
