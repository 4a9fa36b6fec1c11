package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a holder that gives up an upstream where fencing tokens are not checked, and whose last order arrives
// after those of the next holder.
func TestUpstreamIsHandedOverOnceNoOrderCanArrive(t *testing.T) {
	for _, c := range []struct {
		name    string
		checked bool
		after   time.Duration
		may     bool
	}{
		{"fences checked", true, 0, true},
		{"just ordered", false, time.Second, false},
		{"ordered long before", false, 4 * time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := &Node{heldUpstreams: newHeldUpstreams()}
				n.current.Store(&Settings{Upstreams: UpstreamSettings{FencesChecked: c.checked, ReturnAfter: 3 * time.Second}})
				n.heldUpstreams.turns.recordOrder("u", 1, time.Now())
				time.Sleep(c.after)
				is.Equal(n.mayHandOver("u", time.Now()), c.may)
			})
		})
	}
}

// Guards against an upstream that passes to an instance which has lost its own link there, and against one without a
// holder because every instance has.
func TestInstancesWithTheirLinkClaim(t *testing.T) {
	for _, c := range []struct {
		name     string
		lost     []string
		claim    bool
		reaching []string
	}{
		{"whole links", nil, true, []string{"a", "self", "z"}},
		{"own link lost", []string{"self"}, false, []string{"a", "z"}},
		{"another's link lost", []string{"a"}, true, []string{"self", "z"}},
		{"all lost", []string{"a", "self", "z"}, true, []string{"a", "self", "z"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			n := &Node{}
			n.self.Name = "self"
			for _, name := range c.lost {
				if name == "self" {
					n.links.tracker.RecordLost(time.Now(), time.Now(), "u")
					continue
				}
				n.links.tracker.SetPeer(name, []string{"u"})
			}
			reaching, claim := n.claimants("u", []string{"a", "self", "z"})
			is.Equal(reaching, c.reaching)
			is.Equal(claim, c.claim)
		})
	}
}
