// How a change is accepted: the operations go into a draft, every rule is looked at, and only a draft
// without a problem becomes the next configuration.

package configuration

import (
	"cmp"
	"slices"

	"lacewingrock.example/lacewingrock/internal/catalog/head"
	"lacewingrock.example/lacewingrock/internal/catalog/resource"
)

// Apply gives the configuration after the change, as of the given revision, which is also the
// resource version of whatever it changed; a resource declared again as it is keeps its version. It
// fails with Problems if anything is invalid and with Conflicts if it is valid but made on old
// resource versions; nothing is changed then.
func (c Configuration) Apply(change Change, revision int64) (next Configuration, err error) {
	d := newBuilder(c)
	var problems Problems
	var conflicts Conflicts
	seen := map[resource.ID]bool{}
	var taken Change // the operations that are made on current versions
	for _, operation := range change {
		id := operation.target()
		if seen[id] {
			problems = append(problems, ProblemOf(id, "Name", "stands twice in one change"))
			continue
		}
		seen[id] = true
		current, found := c.Resource(id)
		if conflict, bad := versionConflict(operation, current, found); bad {
			conflicts = append(conflicts, conflict)
			continue
		}
		taken = append(taken, operation)
		switch operation := operation.(type) {
		case Declare:
			invalid := fieldProblems(operation.Resource)
			invalid = append(invalid, transitionProblems(current, operation.Resource)...)
			problems = append(problems, invalid...)
			d.declare(operation.Resource, revision)
		case Remove:
			d.remove(id)
		}
	}
	problems = append(problems, d.referenceProblems(taken)...)
	problems = append(problems, d.uniquenessProblems()...)
	if len(problems) > 0 {
		return c, append(problems, conflicts...)
	}
	if len(conflicts) > 0 {
		return c, conflicts
	}
	return d.finish(revision), nil
}

// versionConflict compares the version that the operator read with the current one. Two operators who
// read the same version and both write would otherwise lose the first one's change silently.
func versionConflict(operation Operation, current resource.Resource, found bool) (conflict Problem, bad bool) {
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

// builder is a configuration being made from an older one.
type builder struct {
	base      Configuration
	resources draft[resource.Resource]
	keyNames  draft[string]
	referrers draft[int]
	// listed says that an upstream or a service changed, so that their lists are made anew.
	listed bool
	// duplicateHashes are the keys whose hash another key had when they were declared.
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

// declare puts the resource in with the new version, unless it is there already as it is.
func (b *builder) declare(r resource.Resource, version int64) {
	current, found := b.resources.table.get(r.ID().String())
	if found && same(current, r) {
		return
	}
	b.put(resource.WithVersion(r, version))
}

// put puts the resource in as it is, its version included.
func (b *builder) put(r resource.Resource) {
	b.remove(r.ID())
	b.resources.set(r.ID().String(), r)
	for _, reference := range referencesOf(r) {
		b.count(reference.to, 1)
	}
	b.index(r)
}

func (b *builder) index(r resource.Resource) {
	switch r := r.(type) {
	case resource.Key:
		other, taken := b.keyNames.table.get(r.Hash)
		if taken && other != r.Meta.Name {
			b.duplicateHashes = append(b.duplicateHashes, r.ID())
			return
		}
		b.keyNames.set(r.Hash, r.Meta.Name)
	case resource.Upstream, resource.Service:
		b.listed = true
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
		b.count(reference.to, -1)
	}
	switch old := old.(type) {
	case resource.Key:
		if name, _ := b.keyNames.table.get(old.Hash); name == old.Meta.Name {
			b.keyNames.remove(old.Hash)
		}
	case resource.Upstream, resource.Service:
		b.listed = true
	case resource.BaseModel, resource.Workspace, resource.Adapter, resource.AdapterVersion:
	}
}

func (b *builder) count(id resource.ID, by int) {
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
	if b.listed {
		next.upstreams = listed[resource.Upstream](next)
		next.services = listed[resource.Service](next)
	}
	return next
}

// listed collects the resources of one type by name. It looks through everything, which at 100,000
// resources is a few milliseconds and happens only when an upstream or a service changes.
func listed[R resource.Resource](c Configuration) []R {
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

// same tells whether two resources of one ID are equal but for their versions.
func same(a, b resource.Resource) bool {
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
