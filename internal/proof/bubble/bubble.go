// Package bubble combines the two libraries of the stateful tests: rapid, which generates the steps, and synctest,
// which provides a fake clock.
package bubble

import (
	"testing"
	"testing/synctest"
)

// Check runs a check in its own synctest bubble, with a fake clock, and returns the fault that it found. rapid ends a
// check early with a panic, so Check propagates a panic to the calling goroutine, which is rapid's.
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
