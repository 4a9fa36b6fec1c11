// Validation of changes. The operations are applied to a draft, every rule is checked, and only a draft
// without problems becomes the next configuration.

package configuration

import (
	"cmp"
	"slices"

	"lacewingrock.example/lacewingrock/internal/catalog/head"
	"lacewingrock.example/lacewingrock/internal/catalog/resource"
)

// Apply returns the configuration after the change, as of the given revision, which also becomes the
// resource version of whatever the change modified. A resource that is declared again unchanged keeps its
// version. Apply fails with Problems if anything is invalid and with Conflicts if the change is valid but
// made on old resource versions; in both cases nothing is changed.
func (c Configuration) Apply(change Change, revision int64) (next Configuration, err error) {
	b := newBuilder(c)
	var problems Problems
	var conflicts Conflicts
	seen := map[resource.ID]bool{}
	var accepted Change // the operations made on current versions
	for _, operation := range change {
		id := operation.target()
		if seen[id] {
			problems = append(problems, ProblemOf(id, "Name", "stands twice in one change"))
			continue
		}
		seen[id] = true
		current, found := c.Resource(id)
		if conflict, isConflict := versionConflict(operation, current, found); isConflict {
			conflicts = append(conflicts, conflict)
			continue
		}
		accepted = append(accepted, operation)
		switch operation := operation.(type) {
		case Declare:
			invalid := fieldProblems(operation.Resource)
			invalid = append(invalid, transitionProblems(current, operation.Resource)...)
			problems = append(problems, invalid...)
			b.declare(operation.Resource, revision)
		case Remove:
			b.remove(id)
		}
	}
	problems = append(problems, b.referenceProblems(accepted)...)
	problems = append(problems, b.uniquenessProblems()...)
	if len(problems) > 0 {
		return c, append(problems, conflicts...)
	}
	if len(conflicts) > 0 {
		return c, conflicts
	}
	return b.finish(revision), nil
}

// versionConflict compares the version that the operator read with the current one. Otherwise, if two
// operators read the same version and both wrote, the first one's change would be lost silently.
func versionConflict(operation Operation, current resource.Resource, found bool) (conflict Problem, isConflict bool) {
	var actual int64
	if found {
		actual = current.ResourceVersion()
	}
	expected := operation.expected()
	if _, removal := operation.(Remove); removal && !found {
		return conflictOf(operation.target(), expected, 0), true
	}
	if expected == AnyVersion || expected == actual {
		return Problem{}, false
	}
	return conflictOf(operation.target(), expected, actual), true
}

// ---------------------------------------------------------------------------------------------

// builder builds a configuration from an older one.
type builder struct {
	base      Configuration
	resources draft[resource.Resource]
	keyNames  draft[string]
	referrers draft[int]
	// listsChanged means that an upstream or a service changed, so that their lists must be
	// rebuilt.
	listsChanged bool
	// duplicateHashes are the keys whose hash another key already had when they were declared.
	duplicateHashes []resource.ID
}

func newBuilder(base Configuration) *builder {
	return &builder{
		base:      base,
		resources: draft[resource.Resource]{table: base.resources},
		keyNames:  draft[string]{table: base.keyNames},
		referrers: draft[int]{table: base.referrers},
	}
}

// declare adds the resource with the new version, unless an identical one is already declared.
func (b *builder) declare(r resource.Resource, version int64) {
	current, found := b.resources.table.get(r.ID().String())
	if found && equalIgnoringVersion(current, r) {
		return
	}
	b.put(resource.WithVersion(r, version))
}

// put adds or replaces the resource, keeping its version.
func (b *builder) put(r resource.Resource) {
	b.remove(r.ID())
	b.resources.set(r.ID().String(), r)
	for _, reference := range referencesOf(r) {
		b.addReferrers(reference.to, 1)
	}
	b.index(r)
}

func (b *builder) index(r resource.Resource) {
	switch r := r.(type) {
	case resource.Key:
		other, found := b.keyNames.table.get(r.Hash)
		if found && other != r.Meta.Name {
			b.duplicateHashes = append(b.duplicateHashes, r.ID())
			return
		}
		b.keyNames.set(r.Hash, r.Meta.Name)
	case resource.Upstream, resource.Service:
		b.listsChanged = true
	case resource.BaseModel, resource.Workspace, resource.Adapter, resource.AdapterVersion:
	}
}

func (b *builder) remove(id resource.ID) {
	old, found := b.resources.table.get(id.String())
	if !found {
		return
	}
	b.resources.remove(id.String())
	for _, reference := range referencesOf(old) {
		b.addReferrers(reference.to, -1)
	}
	switch old := old.(type) {
	case resource.Key:
		if name, _ := b.keyNames.table.get(old.Hash); name == old.Meta.Name {
			b.keyNames.remove(old.Hash)
		}
	case resource.Upstream, resource.Service:
		b.listsChanged = true
	case resource.BaseModel, resource.Workspace, resource.Adapter, resource.AdapterVersion:
	}
}

func (b *builder) addReferrers(id resource.ID, by int) {
	referrers, _ := b.referrers.table.get(id.String())
	referrers += by
	if referrers == 0 {
		b.referrers.remove(id.String())
		return
	}
	b.referrers.set(id.String(), referrers)
}

func (b *builder) finish(revision int64) Configuration {
	next := Configuration{
		revision:  revision,
		resources: b.resources.table,
		keyNames:  b.keyNames.table,
		referrers: b.referrers.table,
		upstreams: b.base.upstreams,
		services:  b.base.services,
	}
	if b.listsChanged {
		next.upstreams = listByName[resource.Upstream](next)
		next.services = listByName[resource.Service](next)
	}
	return next
}

// listByName returns the resources of one type sorted by name. It scans every resource, which at 100,000
// resources takes a few milliseconds and is only done when an upstream or a service changes.
func listByName[R resource.Resource](c Configuration) []R {
	var found []R
	for i := range head.PartCount {
		for _, r := range c.resources.entries(i) {
			if r, ok := r.(R); ok {
				found = append(found, r)
			}
		}
	}
	slices.SortFunc(found, func(a, b R) int { return cmp.Compare(a.ID().Name, b.ID().Name) })
	return found
}

// equalIgnoringVersion reports whether two resources with the same ID are equal apart from their versions.
func equalIgnoringVersion(a, b resource.Resource) bool {
	b = resource.WithVersion(b, a.ResourceVersion())
	switch a := a.(type) {
	case resource.Adapter:
		b, ok := b.(resource.Adapter)
		return ok && a.Meta == b.Meta && a.BaseModel == b.BaseModel && a.Current == b.Current &&
			slices.Equal(a.Workspaces, b.Workspaces)
	case resource.Service:
		b, ok := b.(resource.Service)
		return ok && a.Meta == b.Meta && slices.Equal(a.Addresses, b.Addresses) &&
			slices.Equal(a.Workspaces, b.Workspaces) && slices.Equal(a.Repeatable, b.Repeatable)
	case resource.BaseModel, resource.Workspace, resource.Key, resource.AdapterVersion, resource.Upstream:
		return a == b
	}
	return false
}
