package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a crash after which all instances of a large fleet state at once that the parts in use are cleared: one states it
// at once, and few others before its statement has passed the relays.
func TestFewInstancesStateThatAPartIsCleared(t *testing.T) {
	const passing = 3 * batchDelay
	for _, c := range []struct{ instances, most int }{{2, 2}, {7, 3}, {63, 10}, {330, 20}} {
		t.Run(fmt.Sprint(c.instances), func(t *testing.T) {
			is := is.New(t)
			first, early := clearStatementSpread, 0
			for number := range c.instances {
				wait := clearStatementWait((float64(number)+0.5)/float64(c.instances), c.instances)
				is.True(wait >= 0)
				is.True(wait <= clearStatementSpread)
				first = min(first, wait)
				if wait <= passing {
					early++
				}
			}
			is.Equal(first, time.Duration(0))
			is.True(early <= c.most)
		})
	}
}
