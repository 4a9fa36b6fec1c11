package daemon

import (
	"testing"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/catalog/head"
	"lacewingrock.example/lacewingrock/internal/platform/listing"
)

// An instance reported a leaving machine and failed. Its report must count while it is a member, since it may be the
// only member that can read the list. The report must be dropped when the instance is removed, since nobody else
// could withdraw it.
func TestLeavingReportOfARemovedInstanceIsDropped(t *testing.T) {
	is := is.New(t)
	l := &leavingNames{}
	both := head.Head{}.WithMember(head.Member{Name: "i1"}).WithMember(head.Member{Name: "i2"})
	l.setOwn([]string{"engine-1"})
	l.set("i2", []string{"engine-2"})
	l.dropNonMembers(both)
	is.Equal(l.all(), []string{"engine-1", "engine-2"})
	is.True(l.takeChange())
	l.dropNonMembers(both.WithoutMember("i2"))
	is.Equal(l.all(), []string{"engine-1"})
	is.True(l.takeChange())
	is.True(!l.takeChange())
}

// A machine of a plain service is leaving. The configuration declares its address, and the list gives its name. A
// member that does not read the list has only what another member reports.
func TestLeavingMachineOfAService(t *testing.T) {
	is := is.New(t)
	reader, other := &leavingNames{}, &leavingNames{}
	reader.setOwn(listLeaving([]listing.Member{
		{Name: "paint-1", Role: listing.RoleService, Address: "10.0.0.9:1", Leaving: true},
		{Name: "paint-2", Role: listing.RoleService, Address: "10.0.0.8:1"},
		{Name: "engine-1", Role: listing.RoleEngine, Address: "10.0.0.7:1", Leaving: true},
	}))
	is.True(!other.isLeaving("10.0.0.9:1"))
	other.set("i1", reader.own())
	is.Equal(other.all(), []string{"10.0.0.9:1", "engine-1", "paint-1"})
	for _, l := range []*leavingNames{reader, other} {
		is.True(l.isLeaving("10.0.0.9:1"))
		is.True(!l.isLeaving("10.0.0.8:1"))
	}
	other.set("i1", nil)
	is.True(!other.isLeaving("10.0.0.9:1"))
}
