// The configuration as the parts that the store keeps, and what differs between two configurations.

package configuration

import (
	"slices"

	"lacewingrock.example/lacewingrock/internal/catalog/head"
	"lacewingrock.example/lacewingrock/internal/catalog/resource"
)

// Part lists the resources of one part in the order of their IDs.
func (c Configuration) Part(index int) []resource.Resource {
	resources := make([]resource.Resource, 0, len(c.resources.entries(index)))
	for _, r := range c.resources.entries(index) {
		resources = append(resources, r)
	}
	slices.SortFunc(resources, byID)
	return resources
}

// PartOf tells which part a resource is kept in.
func PartOf(id resource.ID) int {
	return bucketOf(id.String())
}

// ChangedParts lists the parts that may differ from those of the configuration this one was made from.
// A part that a change left alone is never among them.
func (c Configuration) ChangedParts(previous Configuration) []int {
	var changed []int
	for i := range head.PartCount {
		if c.resources.buckets[i] != previous.resources.buckets[i] {
			changed = append(changed, i)
		}
	}
	return changed
}

// WithParts gives the configuration with whole parts replaced by what the store has for them, as of a
// revision. The rules are not looked at again: what is in the store was accepted there.
func (c Configuration) WithParts(parts map[int][]resource.Resource, revision int64) Configuration {
	b := newBuilder(c)
	for index := range parts {
		for _, old := range c.resources.entries(index) {
			b.remove(old.ID())
		}
	}
	for _, resources := range parts {
		for _, r := range resources {
			b.put(r)
		}
	}
	return b.finish(revision)
}

// Difference is one resource that differs between two configurations: Before is nil for a new one and
// After for one that was removed.
type Difference struct {
	ID     resource.ID
	Before resource.Resource
	After  resource.Resource
}

// DifferencesFrom lists what differs from a previous configuration, by ID. Only changed parts are
// looked at, so that after a small change it is cheap.
func (c Configuration) DifferencesFrom(previous Configuration) []Difference {
	var differences []Difference
	for _, index := range c.ChangedParts(previous) {
		before := previous.resources.entries(index)
		after := c.resources.entries(index)
		for key, r := range after {
			if old, found := before[key]; !found {
				differences = append(differences, Difference{ID: r.ID(), After: r})
			} else if !unchanged(old, r) {
				differences = append(differences, Difference{ID: r.ID(), Before: old, After: r})
			}
		}
		for key, r := range before {
			if _, found := after[key]; !found {
				differences = append(differences, Difference{ID: r.ID(), Before: r})
			}
		}
	}
	slices.SortFunc(differences, func(a, b Difference) int { return compareIDs(a.ID, b.ID) })
	return differences
}

func unchanged(a, b resource.Resource) bool {
	return a.ResourceVersion() == b.ResourceVersion() && same(a, b)
}
