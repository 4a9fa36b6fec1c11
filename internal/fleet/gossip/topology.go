package gossip

import (
	"cmp"
	"math"
	"slices"

	"lacewingrock.example/lacewingrock/internal/fleet/roster"
)

// topology.go decides which instances are relays and which instances keep a link.

// minRelays is the smallest number of relays. In a fleet of at most this size every instance is a relay and has a
// link to every other instance.
const minRelays = 11

// relaySubject is the rendezvous-hashing subject that picks relays within a data centre.
const relaySubject = "relay"

// Topology says which of the given instances are relays.
type Topology struct {
	instances []roster.Instance
	relays    map[string]bool
}

// relaysPerRoot is the number of relays divided by the square root of the fleet size. Most of what a relay sends goes to
// the instances attached to it, which receive all states; to another relay it sends only its own state and those of its
// attached instances.
const relaysPerRoot = 2

// NewTopology picks the relays. Their number is twice the square root of the fleet size, so that both the links of a
// relay to other relays and its links to attached instances grow slower than the fleet. Each data centre gets a share
// by its size. Instances must be sorted by name; every instance that has the same list picks the same relays.
func NewTopology(instances []roster.Instance) Topology {
	t := Topology{instances: instances, relays: make(map[string]bool)}
	inDataCentre := make(map[string][]string)
	for _, instance := range instances {
		inDataCentre[instance.DataCentre] = append(inDataCentre[instance.DataCentre], instance.Name)
	}
	relayCount := max(minRelays, math.Ceil(relaysPerRoot*math.Sqrt(float64(len(instances)))))
	for _, names := range inDataCentre {
		count := int(math.Ceil(relayCount * float64(len(names)) / float64(len(instances))))
		order := roster.SortByRank(relaySubject, names)
		for _, name := range order[:min(count, len(order))] {
			t.relays[name] = true
		}
	}
	return t
}

// IsRelay reports whether an instance is a relay.
func (t Topology) IsRelay(name string) bool { return t.relays[name] }

// Links lists the instances to which an instance keeps a link: a relay to all other relays, any other instance to one
// relay. That is the first reachable relay in the instance's own order, with relays of its data centre first. A relay
// also opens links to the silent instances that it has to probe, see ShouldProbe.
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
			compareBools(a.DataCentre != self.DataCentre, b.DataCentre != self.DataCentre),
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

// ShouldProbe reports whether a relay is the one that has to probe a silent instance.
//
// This covers an instance that restarts while the store rejects it. It knows no peers and cannot open a link. Without
// the probe no peer would learn that it is alive, and it would serve no requests until the store accepts it again.
func (t Topology) ShouldProbe(self, silent string) bool {
	if !t.relays[self] {
		return false
	}
	var relays []string
	for name := range t.relays {
		if name != silent {
			relays = append(relays, name)
		}
	}
	return roster.Rank(silent, self, relays) == 0
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
