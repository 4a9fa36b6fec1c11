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
	restarted := member("b")
	restarted.Incarnation = "b#2"
	tests := []struct {
		name    string
		head    head.Head
		member  head.Member
		inForce int64
		step    membership.Step
		refused bool
	}{
		{"first member", head.Head{}, member("a"), 0, membership.StepAdd, false},
		{"already a member", fleet("a", "b"), member("b"), 0, membership.StepNone, false},
		{"previous change in force", fleet("a", "b"), member("c"), 2, membership.StepAdd, false},
		{"previous change not in force", fleet("a", "b"), member("c"), 1, membership.StepNone, true},
		{"restarted process", fleet("a", "b"), restarted, 2, membership.StepRemove, false},
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

// The only member is partitioned but alive, and a process that has just been removed tries to expel it. If that worked,
// the member would stay fresh forever as the majority of its own head.
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

// When an instance joins or fails, only its own upstreams may change holders. Otherwise every engine would get a new
// holder, which must wait before it may send orders.
func TestHolderChangesAreMinimal(t *testing.T) {
	is := is.New(t)
	before, after := fleet("a1", "a2", "a3", "b1", "b2"), fleet("a1", "a2", "b1", "b2")
	moved, local := 0, 0
	for i := range 100 {
		upstream := fmt.Sprint("engine-", i)
		previous, _ := membership.Holder(before, upstream, "dc-a")
		current, _ := membership.Holder(after, upstream, "dc-a")
		if previous.Name != "a3" && previous.Name != current.Name {
			moved++
		}
		if current.DataCentre == "dc-a" {
			local++
		}
	}
	is.Equal(moved, 0)
	is.Equal(local, 100)
	remote, found := membership.Holder(after, "engine-1", "dc-z")
	is.True(found)
	is.True(remote.Name != "")
	_, found = membership.Broker(head.Head{})
	is.True(!found)
}

// No more heartbeats or replies of one member arrive. Few of the others may try to remove it, and none without contact
// to a majority: otherwise a partitioned instance would remove the whole fleet.
func TestFewMembersRemoveAFailedOne(t *testing.T) {
	tests := []struct {
		name         string
		unresponsive []string
		most         int
	}{
		{"none unresponsive", nil, 0},
		{"one unresponsive", []string{"c"}, 2},
		{"most unresponsive", []string{"b", "c", "d"}, 0},
	}
	names := []string{"a", "b", "c", "d", "e"}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				removals := 0
				for _, self := range names {
					for _, action := range runDetector(self, names, tt.unresponsive) {
						is.Equal(action.(membership.Remove).Name, tt.unresponsive[0])
						removals++
					}
				}
				is.True(removals <= tt.most)
				is.Equal(removals > 0, tt.most > 0)
			})
		})
	}
}

// runDetector gives one detector the answers of all members but the unresponsive ones, and returns its last actions.
func runDetector(self string, names, unresponsive []string) []membership.Action {
	d := &membership.Detector{Self: self}
	d.Handle(membership.HeadInstalled{Head: fleet(names...)})
	for range 12 {
		time.Sleep(time.Second)
		for _, name := range names {
			if !contains(unresponsive, name) {
				d.Handle(membership.HeartbeatAnswered{Name: name, Incarnation: name + "#1"})
			}
		}
	}
	if contains(unresponsive, self) {
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
