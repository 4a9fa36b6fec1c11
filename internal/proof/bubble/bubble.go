// Package bubble joins the two libraries of the stateful tests: rapid, which draws the steps, and synctest,
// which pauses the clock.
package bubble

import (
	"testing"
	"testing/synctest"
)

// Check runs a check on a paused clock of its own and returns the fault it found. A panic, by which rapid ends
// a check early, has to reach rapid's goroutine.
func Check(t *testing.T, check func() (fault string)) (fault string) {
	var ended any
	synctest.Test(t, func(*testing.T) {
		defer func() { ended = recover() }()
		fault = check()
	})
	if ended != nil {
		panic(ended)
	}
	return fault
}
