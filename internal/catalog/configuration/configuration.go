// Package configuration holds the aggregate of all declared resources and the rules by which changes to
// them are accepted. A Configuration is immutable: Apply returns the next one or reports everything that
// is wrong. The request path looks up keys, workspaces, adapters and upstreams in it; the repository
// package stores it part by part.
package configuration

import (
	"cmp"
	"slices"

	"lacewingrock.example/lacewingrock/internal/catalog/head"
	"lacewingrock.example/lacewingrock/internal/catalog/resource"
)

// Configuration is every declared resource as of one revision. The zero value is empty.
type Configuration struct {
	revision int64
	// resources by "Kind/Name". Its buckets correspond to the parts in the store.
	resources table[resource.Resource]
	// keyNames maps the hash of a key's secret to the key's name.
	keyNames table[string]
	// referrers counts, by "Kind/Name", how many resources refer to this one, so that a removal does not
	// have to search all adapters.
	referrers table[int]
	// upstreams and services are also listed by name: there are few, and requests iterate over them.
	upstreams []resource.Upstream
	services  []resource.Service
}

// Revision returns the head revision that this configuration belongs to.
func (c Configuration) Revision() int64 { return c.revision }

// WithRevision returns the configuration as of a later head that changed no resource.
func (c Configuration) WithRevision(revision int64) Configuration {
	c.revision = revision
	return c
}

// Resource returns a resource by its ID.
func (c Configuration) Resource(id resource.ID) (r resource.Resource, found bool) {
	return c.resources.get(id.String())
}

// KeyByHash returns a key by the SHA-256 of its secret in lower-case hex, withdrawn keys included.
func (c Configuration) KeyByHash(hash string) (key resource.Key, found bool) {
	name, found := c.keyNames.get(hash)
	if !found {
		return resource.Key{}, false
	}
	key, found = lookUp[resource.Key](c, resource.KindKey, name)
	if !found || key.Hash != hash {
		// Only a bug in the index leads here. Without the comparison such a bug would let one key's
		// secret be used as another key.
		return resource.Key{}, false
	}
	return key, true
}

// Key returns a key by its name.
func (c Configuration) Key(name string) (key resource.Key, found bool) {
	return lookUp[resource.Key](c, resource.KindKey, name)
}

// Workspace returns a workspace by its name.
func (c Configuration) Workspace(name string) (workspace resource.Workspace, found bool) {
	return lookUp[resource.Workspace](c, resource.KindWorkspace, name)
}

// Adapter returns an adapter by its name.
func (c Configuration) Adapter(name string) (adapter resource.Adapter, found bool) {
	return lookUp[resource.Adapter](c, resource.KindAdapter, name)
}

// AdapterVersion returns one version of an adapter.
func (c Configuration) AdapterVersion(adapter, version string) (av resource.AdapterVersion, found bool) {
	return lookUp[resource.AdapterVersion](c, resource.KindAdapterVersion, VersionName(adapter, version))
}

// Upstream returns an upstream by its name.
func (c Configuration) Upstream(name string) (upstream resource.Upstream, found bool) {
	return lookUp[resource.Upstream](c, resource.KindUpstream, name)
}

// Service returns a plain service by its name.
func (c Configuration) Service(name string) (service resource.Service, found bool) {
	return lookUp[resource.Service](c, resource.KindService, name)
}

// VersionName returns the name of an adapter version: "adapter@version".
func VersionName(adapter, version string) string {
	return adapter + "@" + version
}

// UpstreamsOf returns the upstreams that run a base model, sorted by name, including those that are
// leaving.
func (c Configuration) UpstreamsOf(baseModel string) []resource.Upstream {
	var matching []resource.Upstream
	for _, u := range c.upstreams {
		if u.BaseModel == baseModel {
			matching = append(matching, u)
		}
	}
	return matching
}

// Upstreams returns all upstreams sorted by name. The slice is shared and must not be modified.
func (c Configuration) Upstreams() []resource.Upstream { return c.upstreams }

// Services returns all plain services sorted by name. The slice is shared and must not be modified.
func (c Configuration) Services() []resource.Service { return c.services }

// Resources returns the resources of a kind sorted by name. It scans every resource, so it is for
// operators and not for the request path.
func (c Configuration) Resources(kind resource.Kind) []resource.Resource {
	var matching []resource.Resource
	for i := range head.PartCount {
		for _, r := range c.resources.entries(i) {
			if r.ID().Kind == kind {
				matching = append(matching, r)
			}
		}
	}
	slices.SortFunc(matching, byID)
	return matching
}

// Count returns the number of all resources.
func (c Configuration) Count() int {
	count := 0
	for i := range head.PartCount {
		count += len(c.resources.entries(i))
	}
	return count
}

func lookUp[R resource.Resource](c Configuration, kind resource.Kind, name string) (r R, found bool) {
	declared, found := c.resources.get(resource.ID{Kind: kind, Name: name}.String())
	if !found {
		return r, false
	}
	r, found = declared.(R)
	return r, found
}

func byID(a, b resource.Resource) int {
	return compareIDs(a.ID(), b.ID())
}

func compareIDs(a, b resource.ID) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}
