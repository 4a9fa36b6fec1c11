package membership_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/catalog/head"
	"lacewingrock.example/lacewingrock/internal/fleet/membership"
)

func member(name string) head.Member {
	return head.Member{Name: name, Incarnation: name + "#1", Address: name, DataCentre: "dc-" + name[:1]}
}

func fleet(names ...string) head.Head {
	h := head.Head{}
	for i, name := range names {
		h = h.WithMember(member(name)).WithSwap(fmt.Sprint(i))
	}
	return h
}

func TestJoinChangesOneMemberAtATime(t *testing.T) {
	again := member("b")
	again.Incarnation = "b#2"
	tests := []struct {
		name    string
		head    head.Head
		member  head.Member
		inForce int64
		step    membership.Step
		refused bool
	}{
		{"first of all", head.Head{}, member("a"), 0, membership.StepAdd, false},
		{"already there", fleet("a", "b"), member("b"), 0, membership.StepNone, false},
		{"the change before it in force", fleet("a", "b"), member("c"), 2, membership.StepAdd, false},
		{"the change before it not in force", fleet("a", "b"), member("c"), 1, membership.StepNone, true},
		{"in the place of an older process", fleet("a", "b"), again, 2, membership.StepRemove, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			next, step, err := membership.Join(tt.head, tt.member, tt.inForce)
			is.Equal(step, tt.step)
			is.Equal(err != nil, tt.refused)
			is.True(len(next.Members)-len(tt.head.Members) <= 1)
		})
	}
}

// The only member is cut off and not dead, and a process that has just been removed takes it out. It
// would be the majority of its own head for ever.
func TestLastMemberLeavesOnlyByItself(t *testing.T) {
	is := is.New(t)
	h := fleet("a")
	_, step, err := membership.Expel(h, "b", "a", "a#1", 1)
	is.NoErr(err)
	is.Equal(step, membership.StepNone)
	next, step, err := membership.Leave(h, "a", "a#1", 1)
	is.NoErr(err)
	is.Equal(step, membership.StepRemove)
	is.Equal(len(next.Members), 0)
}

// An instance dies. If all its upstreams moved when another one joins or dies, every engine would have
// a new holder that must wait before it may order anything.
func TestHoldersMoveLittle(t *testing.T) {
	is := is.New(t)
	before, after := fleet("a1", "a2", "a3", "b1", "b2"), fleet("a1", "a2", "b1", "b2")
	moved, near := 0, 0
	for i := range 100 {
		upstream := fmt.Sprint("engine-", i)
		was, _ := membership.Holder(before, upstream, "dc-a")
		now, _ := membership.Holder(after, upstream, "dc-a")
		if was.Name != "a3" && was.Name != now.Name {
			moved++
		}
		if now.DataCentre == "dc-a" {
			near++
		}
	}
	is.Equal(moved, 0)
	is.Equal(near, 100)
	far, found := membership.Holder(after, "engine-1", "dc-z")
	is.True(found)
	is.True(far.Name != "")
	_, found = membership.Broker(head.Head{})
	is.True(!found)
}

// One member falls silent. Few of the others may try to remove it, and none while they hear no
// majority themselves: a cut off instance would otherwise remove the whole fleet.
func TestSilentMemberIsRemovedByFew(t *testing.T) {
	tests := []struct {
		name   string
		silent []string
		most   int
	}{
		{"nobody silent", nil, 0},
		{"one silent", []string{"c"}, 2},
		{"most silent", []string{"b", "c", "d"}, 0},
	}
	names := []string{"a", "b", "c", "d", "e"}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				removals := 0
				for _, self := range names {
					for _, action := range watch(self, names, tt.silent) {
						is.Equal(action.(membership.Remove).Name, tt.silent[0])
						removals++
					}
				}
				is.True(removals <= tt.most)
				is.Equal(removals > 0, tt.most > 0)
			})
		})
	}
}

// watch lets one detector hear all but the silent ones, and returns what it does in the end.
func watch(self string, names, silent []string) []membership.Action {
	d := &membership.Detector{Self: self}
	d.Handle(membership.HeadInstalled{Head: fleet(names...)})
	for range 12 {
		time.Sleep(time.Second)
		for _, name := range names {
			if !contains(silent, name) {
				d.Handle(membership.HeartbeatAnswered{Name: name, Incarnation: name + "#1"})
			}
		}
	}
	if contains(silent, self) {
		return nil
	}
	return d.Handle(membership.Tick{})
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}
