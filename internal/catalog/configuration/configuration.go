// Package configuration holds the aggregate of all declared resources and the rules by which a change
// of them is accepted. A Configuration is immutable: Apply gives the next one or says everything that
// is wrong. The request path looks keys, workspaces, adapters and upstreams up in it; the repository
// keeps it in the store, part by part.
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
	// resources by "Kind/Name"; its buckets are the parts kept in the store.
	resources table[resource.Resource]
	// keyNames gives a key's name by the hash of its secret.
	keyNames table[string]
	// referrers counts, by "Kind/Name", how many resources name this one, so that a removal needs no
	// search through all adapters.
	referrers table[int]
	// upstreams and services stand here by name as well: there are few, and requests list them.
	upstreams []resource.Upstream
	services  []resource.Service
}

// Revision is the head revision that this configuration belongs to.
func (c Configuration) Revision() int64 { return c.revision }

// WithRevision returns the configuration as of a later head that changed no resource.
func (c Configuration) WithRevision(revision int64) Configuration {
	c.revision = revision
	return c
}

// Resource finds a resource by its ID.
func (c Configuration) Resource(id resource.ID) (r resource.Resource, found bool) {
	return c.resources.get(id.String())
}

// KeyByHash finds a key by the SHA-256 of its secret in lower-case hex. Withdrawn keys are found too.
func (c Configuration) KeyByHash(hash string) (key resource.Key, found bool) {
	name, found := c.keyNames.get(hash)
	if !found {
		return resource.Key{}, false
	}
	key, found = lookUp[resource.Key](c, resource.KindKey, name)
	if !found || key.Hash != hash {
		// Only a fault of the index leads here. Without the comparison it would let a secret be used
		// as another key.
		return resource.Key{}, false
	}
	return key, true
}

// Key finds a key by its name.
func (c Configuration) Key(name string) (key resource.Key, found bool) {
	return lookUp[resource.Key](c, resource.KindKey, name)
}

// Workspace finds a workspace.
func (c Configuration) Workspace(name string) (workspace resource.Workspace, found bool) {
	return lookUp[resource.Workspace](c, resource.KindWorkspace, name)
}

// Adapter finds an adapter.
func (c Configuration) Adapter(name string) (adapter resource.Adapter, found bool) {
	return lookUp[resource.Adapter](c, resource.KindAdapter, name)
}

// AdapterVersion finds one version of an adapter.
func (c Configuration) AdapterVersion(adapter, version string) (av resource.AdapterVersion, found bool) {
	return lookUp[resource.AdapterVersion](c, resource.KindAdapterVersion, VersionName(adapter, version))
}

// Upstream finds an upstream.
func (c Configuration) Upstream(name string) (upstream resource.Upstream, found bool) {
	return lookUp[resource.Upstream](c, resource.KindUpstream, name)
}

// Service finds a plain service.
func (c Configuration) Service(name string) (service resource.Service, found bool) {
	return lookUp[resource.Service](c, resource.KindService, name)
}

// VersionName is the name of an adapter version: "adapter@version".
func VersionName(adapter, version string) string {
	return adapter + "@" + version
}

// UpstreamsOf lists the upstreams that run a base model, by name, leaving ones included.
func (c Configuration) UpstreamsOf(baseModel string) []resource.Upstream {
	var matching []resource.Upstream
	for _, u := range c.upstreams {
		if u.BaseModel == baseModel {
			matching = append(matching, u)
		}
	}
	return matching
}

// Upstreams lists all upstreams by name. The slice is shared: it is not to be written to.
func (c Configuration) Upstreams() []resource.Upstream { return c.upstreams }

// Services lists all plain services by name. The slice is shared: it is not to be written to.
func (c Configuration) Services() []resource.Service { return c.services }

// Resources lists the resources of a kind by name. It looks through everything: it is for operators,
// not for the path of a request.
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

// Count is the number of all resources.
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
