// Conversion between a configuration and its stored parts, and the differences between two
// configurations.

package configuration

import (
	"slices"

	"lacewingrock.example/lacewingrock/internal/catalog/head"
	"lacewingrock.example/lacewingrock/internal/catalog/resource"
)

// Part returns the resources of one part, sorted by ID.
func (c Configuration) Part(index int) []resource.Resource {
	resources := make([]resource.Resource, 0, len(c.resources.entries(index)))
	for _, r := range c.resources.entries(index) {
		resources = append(resources, r)
	}
	slices.SortFunc(resources, byID)
	return resources
}

// PartOf returns the index of the part that a resource is stored in.
func PartOf(id resource.ID) int {
	return bucketOf(id.String())
}

// ChangedParts returns the parts that may differ from those of previous, the configuration that this one
// was made from. A part that the change did not write to is never among them.
func (c Configuration) ChangedParts(previous Configuration) []int {
	var changed []int
	for i := range head.PartCount {
		if c.resources.buckets[i] != previous.resources.buckets[i] {
			changed = append(changed, i)
		}
	}
	return changed
}

// WithParts returns the configuration, as of a revision, with whole parts replaced by those read from the
// store. The rules are not checked again, because stored resources have already been accepted.
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

// Difference is one resource that differs between two configurations. Before is nil for a new resource
// and After for a removed one.
type Difference struct {
	ID     resource.ID
	Before resource.Resource
	After  resource.Resource
}

// DifferencesFrom returns the differences from a previous configuration, sorted by ID. It compares only
// changed parts, so it is cheap after a small change.
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
	return a.ResourceVersion() == b.ResourceVersion() && equalIgnoringVersion(a, b)
}
