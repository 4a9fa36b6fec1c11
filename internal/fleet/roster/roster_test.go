package roster_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/fleet/roster"
)

func TestKeysComeAndGo(t *testing.T) {
	is := is.New(t)
	var r roster.Roster
	instance := roster.Instance{Name: "a", Incarnation: "x", DataCentre: "here", Address: "10.0.0.1:1"}
	value, err := roster.EncodeInstance(instance)
	is.NoErr(err)
	ours, err := r.Apply(roster.InstanceKey("a"), value, 5, false)
	is.NoErr(err)
	is.True(ours)
	is.Equal(r.Instances(), []roster.Instance{instance})
	value, err = roster.EncodeHolder(roster.Holder{Instance: "a", Incarnation: "x"})
	is.NoErr(err)
	_, err = r.Apply(roster.HolderKey("u"), value, 9, false)
	is.NoErr(err)
	holder, found := r.Holder("u")
	is.True(found)
	is.Equal(holder, roster.Holder{Upstream: "u", Instance: "a", Incarnation: "x", Fence: 9}) // the key's revision
	_, err = r.Apply(roster.HolderKey("u"), nil, 10, true)
	is.NoErr(err)
	_, found = r.Holder("u")
	is.True(!found)
	ours, err = r.Apply("servers/x", []byte("?"), 1, false)
	is.NoErr(err)
	is.True(!ours)
}

// Somebody else wrote to one of the fleet's keys. What is known stays, and the error is for the log.
func TestUnreadableKeyChangesNothing(t *testing.T) {
	is := is.New(t)
	var r roster.Roster
	_, err := r.Apply(roster.InstanceKey("a"), []byte("{"), 1, false)
	is.True(err != nil)
	is.Equal(len(r.Instances()), 0)
}

// One of many instances goes. If that changed the order of all others, every upstream would get another
// holder, and each would begin by learning what is loaded.
func TestRankIsSpreadAndStable(t *testing.T) {
	is := is.New(t)
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	first := map[string]int{}
	for i := range 800 {
		subject := fmt.Sprint("upstream", i)
		for _, name := range names {
			rank := roster.Rank(subject, name, names)
			if rank == 0 {
				first[name]++
			}
			without := roster.Rank(subject, name, names[1:])
			is.True(without == rank || without == rank-1)
		}
	}
	for _, name := range names {
		is.True(first[name] > 60 && first[name] < 140)
	}
}

// Instances stop and start again one after the other. If what each held went to those that had not stopped
// yet, one instance would hold nearly everything in the end, and nothing could be loaded while it is frozen.
func TestHoldingsStaySpreadOverRestarts(t *testing.T) {
	is := is.New(t)
	names := []string{"a", "b", "c", "d", "e", "f", "g"}
	holder := map[string]string{}
	take := func(live []string) {
		held := map[string]int{}
		var free []string
		for i := range 9 {
			subject := fmt.Sprint("upstream", i)
			if name, found := holder[subject]; found {
				held[name]++
				continue
			}
			free = append(free, subject)
		}
		for _, name := range live {
			for subject, turn := range roster.TakeoverRanks(free, live, held, name) {
				if turn == 0 {
					holder[subject] = name
				}
			}
		}
		is.Equal(len(holder), 9)
	}
	take(names)
	for i, stopped := range names {
		for subject, name := range holder {
			if name == stopped {
				delete(holder, subject)
			}
		}
		take(append(append([]string{}, names[:i]...), names[i+1:]...))
		held := map[string]int{}
		for _, name := range holder {
			held[name]++
			is.True(held[name] <= 2)
		}
	}
}

// A limit of the operators holds for the whole fleet, and each instance keeps to its part of it without asking
// the others. If the parts of all add up to more than the limit, an upstream gets more than it takes.
func TestPartsAddUpToLessThanTheWhole(t *testing.T) {
	is := is.New(t)
	for _, instances := range []int{1, 2, 8, 9, 30, 81, 330} {
		is.True(float64(instances) < roster.LimitParts(instances-1))
	}
	is.Equal(roster.LimitParts(0), roster.LimitParts(6)) // a small fleet's part does not depend on whom it has heard of yet
}

// Guards against lines that are sorted anew for each upstream without a holder: after a start of a large fleet that
// takes an instance's whole processor, and nobody is served meanwhile.
func TestTurnsOfALargeFleetAreFoundWithoutSorting(t *testing.T) {
	is := is.New(t)
	var subjects, names []string
	for i := range 160 {
		subjects = append(subjects, fmt.Sprint("upstream", i))
	}
	for i := range 195 {
		names = append(names, fmt.Sprint("instance", i))
	}
	used := testing.AllocsPerRun(3, func() { roster.TakeoverRanks(subjects, names, nil, names[0]) })
	is.True(used < 100)
	first := 0
	for _, name := range names {
		for _, turn := range roster.TakeoverRanks(subjects, names, nil, name) {
			if turn == 0 {
				first++
			}
		}
	}
	is.Equal(first, len(subjects)) // each subject has one that is first
}

func BenchmarkTurns(b *testing.B) {
	var subjects, names []string
	for i := range 160 {
		subjects = append(subjects, fmt.Sprint("upstream", i))
	}
	for i := range 195 {
		names = append(names, fmt.Sprint("instance", i))
	}
	for b.Loop() {
		roster.TakeoverRanks(subjects, names, nil, names[0])
	}
}
