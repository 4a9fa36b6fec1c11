// References between resources, and the rules that involve more than one resource.

package configuration

import (
	"slices"

	"lacewingrock.example/lacewingrock/internal/catalog/head"
	"lacewingrock.example/lacewingrock/internal/catalog/resource"
)

// reference is a reference to another resource in one field of a resource.
type reference struct {
	field string
	to    resource.ID
}

// referencesOf returns the references of a resource, one for each occurrence of a name.
func referencesOf(r resource.Resource) []reference {
	switch r := r.(type) {
	case resource.Key:
		return []reference{{field: "Workspace", to: workspaceID(r.Workspace)}}
	case resource.Adapter:
		references := workspaceReferences(r.Workspaces)
		references = append(references, reference{field: "BaseModel", to: baseModelID(r.BaseModel)})
		if r.Current != "" {
			current := resource.ID{Kind: resource.KindAdapterVersion, Name: VersionName(r.Meta.Name, r.Current)}
			references = append(references, reference{field: "Current", to: current})
		}
		return references
	case resource.AdapterVersion:
		return []reference{{field: "Adapter", to: resource.ID{Kind: resource.KindAdapter, Name: r.Adapter}}}
	case resource.Upstream:
		return []reference{{field: "BaseModel", to: baseModelID(r.BaseModel)}}
	case resource.Service:
		return workspaceReferences(r.Workspaces)
	case resource.BaseModel, resource.Workspace:
	}
	return nil
}

func workspaceReferences(names []string) []reference {
	references := make([]reference, 0, len(names)+2)
	for _, name := range names {
		references = append(references, reference{field: "Workspaces", to: workspaceID(name)})
	}
	return references
}

func workspaceID(name string) resource.ID {
	return resource.ID{Kind: resource.KindWorkspace, Name: name}
}

func baseModelID(name string) resource.ID {
	return resource.ID{Kind: resource.KindBaseModel, Name: name}
}

// referenceProblems checks the draft after all operations. What was declared may refer only to resources
// that exist, and nothing left may refer to what was removed. One file may therefore declare an adapter
// together with its current version, in any order.
func (b *builder) referenceProblems(change Change) []Problem {
	var problems []Problem
	for _, operation := range change {
		switch operation := operation.(type) {
		case Declare:
			problems = append(problems, b.danglingReferences(operation.Resource)...)
		case Remove:
			if referrer, found := b.referrerOf(operation.ID); found {
				problems = append(problems, ProblemOf(operation.ID, "", "still named by "+referrer.String()))
			}
		}
	}
	return problems
}

func (b *builder) danglingReferences(r resource.Resource) []Problem {
	var problems []Problem
	for _, reference := range referencesOf(r) {
		if reference.to.Name == "" {
			continue // an empty name is reported by fieldProblems
		}
		if _, found := b.resources.table.get(reference.to.String()); !found {
			problems = append(problems, ProblemOf(r.ID(), reference.field, "no such resource: "+reference.to.String()))
		}
	}
	return problems
}

// referrerOf finds a resource that refers to the ID, for the message. The reference count is checked
// first, so that the scan of every resource happens only for a removal that is refused.
func (b *builder) referrerOf(id resource.ID) (referrer resource.ID, found bool) {
	if count, _ := b.referrers.table.get(id.String()); count == 0 {
		return resource.ID{}, false
	}
	var referrers []resource.ID
	for i := range head.PartCount {
		for _, r := range b.resources.table.entries(i) {
			refersToID := func(reference reference) bool { return reference.to == id }
			if slices.ContainsFunc(referencesOf(r), refersToID) {
				referrers = append(referrers, r.ID())
			}
		}
	}
	if len(referrers) == 0 {
		return resource.ID{}, false
	}
	return slices.MinFunc(referrers, compareIDs), true
}

// uniquenessProblems finds keys with the same secret and upstreams with the same address. With two keys
// for one secret it would be undefined which workspace a request runs for. An engine declared twice would
// have two holders, and one would evict adapters that the other had pinned.
func (b *builder) uniquenessProblems() []Problem {
	var problems []Problem
	for _, id := range b.duplicateHashes {
		problems = append(problems, ProblemOf(id, "Hash", "another key has the same hash"))
	}
	if !b.listsChanged {
		return problems
	}
	nameByAddress := map[string]string{}
	for _, u := range listByName[resource.Upstream](Configuration{resources: b.resources.table}) {
		if first, found := nameByAddress[u.Address]; found {
			problems = append(problems, ProblemOf(u.ID(), "Address", "upstream "+first+" has the same address"))
			continue
		}
		nameByAddress[u.Address] = u.Meta.Name
	}
	return problems
}
