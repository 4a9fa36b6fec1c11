package freshness_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/fleet/freshness"
)

// Two processes run under one name by mistake, or the old one is frozen while a new one starts
// elsewhere. The new one's own word must not count as the old one's end: the old one may wake up and go
// on serving a key that was declared withdrawn everywhere.
func TestUnaskedWordOfAnotherProcessEndsNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		self := freshness.Member{Name: "a", Incarnation: "1"}
		listed := freshness.Member{Name: "b", Incarnation: "1", Since: 1}
		namesake := freshness.Member{Name: "b", Incarnation: "2"}
		tracker := &freshness.Tracker{Self: self}
		tracker.Install(freshness.Head{Revision: 5, Epoch: 1, Members: []freshness.Member{self, listed}})
		time.Sleep(time.Second)
		tracker.RecordHeartbeat(namesake, 5)
		is.True(!tracker.InForceEverywhere(5))
		tracker.RecordHeartbeat(listed, 5)
		is.True(tracker.InForceEverywhere(5))
	})
}
