package node

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// Guards against a coordinator of all workspaces in a large fleet, which would spend its processor time on charges, and
// against groups that change with each instance that comes or goes, so that instances ask different coordinators.
func TestWorkspacesAreCoordinatedInGroups(t *testing.T) {
	for _, c := range []struct{ instances, groups int }{{1, 1}, {7, 1}, {39, 1}, {40, 2}, {66, 2}, {79, 2}, {160, 8}, {195, 8}, {319, 8}, {330, 16}} {
		t.Run(fmt.Sprint(c.instances), func(t *testing.T) {
			is := is.New(t)
			groups := make(map[uint64]bool)
			for number := range 1000 {
				groups[rateGroup(fmt.Sprint("w", number), c.instances)] = true
			}
			is.Equal(len(groups), c.groups)
		})
	}
}
