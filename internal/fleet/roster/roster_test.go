package roster_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/fleet/roster"
)

func TestApplySetsAndRemovesKeys(t *testing.T) {
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
	is.Equal(holder, roster.Holder{Upstream: "u", Instance: "a", Incarnation: "x", Fence: 9, Token: 9}) // the fencing token is the revision of the key
	_, err = r.Apply(roster.HolderKey("u"), nil, 10, true)
	is.NoErr(err)
	_, found = r.Holder("u")
	is.True(!found)
	ours, err = r.Apply("servers/x", []byte("?"), 1, false)
	is.NoErr(err)
	is.True(!ours)
}

// Another writer stored an undecodable value under one of the fleet's keys. Apply returns an error, which the caller
// logs, and the known state stays.
func TestUnreadableKeyChangesNothing(t *testing.T) {
	is := is.New(t)
	var r roster.Roster
	_, err := r.Apply(roster.InstanceKey("a"), []byte("{"), 1, false)
	is.True(err != nil)
	is.Equal(len(r.Instances()), 0)
}

// One of many instances leaves. If that changed the order of the others, every upstream would change its holder, and
// each new holder would first have to find out which adapters are loaded.
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

// Rolling restart: the instances stop and start one after the other. If the upstreams of each went to those that have
// not stopped yet, one instance would hold nearly all in the end, and no adapter could be loaded while it is frozen.
func TestHoldingsStaySpreadOverRestarts(t *testing.T) {
	is := is.New(t)
	names := []string{"a", "b", "c", "d", "e", "f", "g"}
	holder := map[string]string{}
	assign := func(live []string) {
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
			for subject, rank := range roster.TakeoverRanks(free, live, held, name) {
				if rank == 0 {
					holder[subject] = name
				}
			}
		}
		is.Equal(len(holder), 9)
	}
	assign(names)
	for i, stopped := range names {
		for subject, name := range holder {
			if name == stopped {
				delete(holder, subject)
			}
		}
		assign(append(append([]string{}, names[:i]...), names[i+1:]...))
		held := map[string]int{}
		for _, name := range holder {
			held[name]++
			is.True(held[name] <= 2)
		}
	}
}

// A limit holds for the whole fleet, and each instance stays within its part of it without coordination. If the parts
// add up to more than the limit, an upstream receives more than it can take.
func TestPartsAddUpToLessThanTheWhole(t *testing.T) {
	is := is.New(t)
	for _, instances := range []int{1, 2, 8, 9, 30, 81, 330} {
		is.True(float64(instances) < roster.LimitParts(instances-1))
	}
	is.Equal(roster.LimitParts(0), roster.LimitParts(6)) // in a small fleet the part does not depend on how many others are known yet
}

// Guards against sorting all candidates again for each upstream without a holder: after the start of a large fleet,
// that takes the whole CPU of an instance, which then serves no requests.
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
		for _, rank := range roster.TakeoverRanks(subjects, names, nil, name) {
			if rank == 0 {
				first++
			}
		}
	}
	is.Equal(first, len(subjects)) // exactly one candidate is first for each subject
}

func BenchmarkTakeoverRanks(b *testing.B) {
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
