package daemon

import (
	"testing"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/catalog/head"
	"lacewingrock.example/lacewingrock/internal/platform/listing"
)

// An instance told that a machine is leaving, and died. Its word must count while it is a member, since it
// may be the only one that could read the list, and end with it: nobody else could take it back.
func TestWordOfADeadInstanceEnds(t *testing.T) {
	is := is.New(t)
	l := &leavingNames{}
	both := head.Head{}.WithMember(head.Member{Name: "i1"}).WithMember(head.Member{Name: "i2"})
	l.setOwn([]string{"engine-1"})
	l.tell("i2", []string{"engine-2"})
	l.keepMembers(both)
	is.Equal(l.all(), []string{"engine-1", "engine-2"})
	is.True(l.changed())
	l.keepMembers(both.WithoutMember("i2"))
	is.Equal(l.all(), []string{"engine-1"})
	is.True(l.changed())
	is.True(!l.changed())
}

// A machine of a plain service is leaving. The configuration declares its address and the list gives it a
// name; a member that does not read the list has only what another one tells.
func TestLeavingMachineOfAService(t *testing.T) {
	is := is.New(t)
	reader, other := &leavingNames{}, &leavingNames{}
	reader.setOwn(leavingOn([]listing.Member{
		{Name: "paint-1", Role: listing.RoleService, Address: "10.0.0.9:1", Leaving: true},
		{Name: "paint-2", Role: listing.RoleService, Address: "10.0.0.8:1"},
		{Name: "engine-1", Role: listing.RoleEngine, Address: "10.0.0.7:1", Leaving: true},
	}))
	is.True(!other.isLeaving("10.0.0.9:1"))
	other.tell("i1", reader.own())
	is.Equal(other.all(), []string{"10.0.0.9:1", "engine-1", "paint-1"})
	for _, l := range []*leavingNames{reader, other} {
		is.True(l.isLeaving("10.0.0.9:1"))
		is.True(!l.isLeaving("10.0.0.8:1"))
	}
	other.tell("i1", nil)
	is.True(!other.isLeaving("10.0.0.9:1"))
}
