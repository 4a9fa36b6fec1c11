package node

import (
	"fmt"
	"testing"
	"time"

	"lacewingrock.example/lacewingrock/internal/fleet/roster"
	"lacewingrock.example/lacewingrock/internal/placement/origin"
)

// BenchmarkKeepers measures the choice of the peers that keep a record, by the size of the fleet.
func BenchmarkKeepers(b *testing.B) {
	for _, size := range []int{8, 80, 330} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			n := &Node{}
			n.overlay.initialise("instance-0")
			now := time.Now()
			var members []roster.Instance
			for number := range size {
				name := fmt.Sprint("instance-", number)
				members = append(members, roster.Instance{Name: name})
				value, err := roster.EncodeInstance(roster.Instance{Name: name})
				if err != nil {
					b.Fatal(err)
				}
				if _, err := n.view.roster.Apply(roster.InstanceKey(name), value, 1, false); err != nil {
					b.Fatal(err)
				}
				n.overlay.recordContact(name, now.Add(time.Hour))
			}
			n.overlay.setMembers(now, members)
			for number := 0; b.Loop(); number++ {
				stream := origin.Stream{Workspace: "w", ID: fmt.Sprint(number)}
				if len(n.keepers(stream, recordKeepers, "")) != recordKeepers {
					b.Fatal("too few keepers")
				}
			}
		})
	}
}
