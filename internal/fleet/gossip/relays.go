package gossip

import (
	"cmp"
	"math"
	"slices"

	"lacewingrock.example/lacewingrock/internal/fleet/roster"
)

// relays.go decides which instances keep a link.

// fewestRelays is how many instances are relays at least. A fleet of as many has no others, and each instance has
// a link to each other one.
const fewestRelays = 11

// relaySubject is what relays are spread by.
const relaySubject = "relay"

// Topology is who is a relay among some instances.
type Topology struct {
	instances []roster.Instance
	relays    map[string]bool
}

// relaysPerRoot is how many relays there are for each one of the square root of the fleet. What a relay sends goes mostly
// to those attached to it, who get the states of all; what it sends to another relay is of its own few.
const relaysPerRoot = 2

// NewTopology picks the relays: twice as many as the square root of the fleet, so that neither the links between relays
// nor those of one relay to the instances attached to it grow as the fleet does, and spread over the data centres by
// their sizes. Instances are in the order of their names; whoever knows the same ones picks the same relays.
func NewTopology(instances []roster.Instance) Topology {
	t := Topology{instances: instances, relays: make(map[string]bool)}
	inDataCentre := make(map[string][]string)
	for _, instance := range instances {
		inDataCentre[instance.DataCentre] = append(inDataCentre[instance.DataCentre], instance.Name)
	}
	all := max(fewestRelays, math.Ceil(relaysPerRoot*math.Sqrt(float64(len(instances)))))
	for _, names := range inDataCentre {
		count := int(math.Ceil(all * float64(len(names)) / float64(len(instances))))
		order := roster.SortByRank(relaySubject, names)
		for _, name := range order[:min(count, len(order))] {
			t.relays[name] = true
		}
	}
	return t
}

// IsRelay tells whether an instance is a relay.
func (t Topology) IsRelay(name string) bool { return t.relays[name] }

// Links lists the instances to which one keeps a link: a relay to all other relays, any other instance to one relay.
// That is the first in its own order that is reachable, those of its data centre first. A relay besides keeps links to
// the instances that are its own to look for, see Sought.
func (t Topology) Links(self roster.Instance, reachable func(name string) bool) (links []roster.Instance) {
	var relays []roster.Instance
	for _, instance := range t.instances {
		if t.relays[instance.Name] && instance.Name != self.Name {
			relays = append(relays, instance)
		}
	}
	if t.relays[self.Name] || len(relays) == 0 {
		return relays
	}
	names := make([]string, len(relays))
	for i, relay := range relays {
		names[i] = relay.Name
	}
	order := roster.SortByRank(self.Name, names)
	slices.SortStableFunc(relays, func(a, b roster.Instance) int {
		return cmp.Or(
			falseFirst(a.DataCentre != self.DataCentre, b.DataCentre != self.DataCentre),
			cmp.Compare(slices.Index(order, a.Name), slices.Index(order, b.Name)),
		)
	})
	for _, relay := range relays {
		if reachable(relay.Name) {
			return []roster.Instance{relay}
		}
	}
	return relays[:1]
}

// ShouldProbe tells whether a relay is the one that looks for an instance of which nothing is heard.
//
// Made for an instance that restarts while the store turns it away: it knows nobody, so that nobody would hear of it
// and it would serve nobody, until the store takes it again.
func (t Topology) ShouldProbe(self, lost string) bool {
	if !t.relays[self] {
		return false
	}
	var relays []string
	for name := range t.relays {
		if name != lost {
			relays = append(relays, name)
		}
	}
	return roster.Rank(lost, self, relays) == 0
}

func falseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
