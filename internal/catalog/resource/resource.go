// Package resource holds what operators declare: workspaces, keys, base models, adapters and their
// versions, upstreams and services. Every other package reads these values; only the configuration
// aggregate changes them, and it does so by making new ones. The types carry no tags: the codec
// packages map them by hand to JSON for operators and for the store.
package resource

import "time"

// Kind names one of the seven kinds of resource, spelled as operators write it.
type Kind string

// The kinds, in the order in which one may refer to another.
const (
	KindBaseModel      Kind = "BaseModel"
	KindWorkspace      Kind = "Workspace"
	KindKey            Kind = "Key"
	KindAdapter        Kind = "Adapter"
	KindAdapterVersion Kind = "AdapterVersion"
	KindUpstream       Kind = "Upstream"
	KindService        Kind = "Service"
)

// Kinds lists all kinds, referred ones before those that refer to them.
func Kinds() []Kind {
	return []Kind{
		KindBaseModel, KindWorkspace, KindKey, KindAdapter, KindAdapterVersion, KindUpstream, KindService,
	}
}

// ID identifies a resource: no two of one kind share a name.
type ID struct {
	Kind Kind
	Name string
}

// String gives the form used in messages, such as "Adapter/bids".
func (id ID) String() string {
	return string(id.Kind) + "/" + id.Name
}

// Meta is what all resources have in common. Version is the resource version: zero for a resource
// not yet accepted, otherwise the configuration revision that last changed it. A change that states
// an older Version than the accepted one is a conflict.
type Meta struct {
	Name    string
	Version int64
}

// Resource is one declared resource. It is sealed: the types of this package are the only ones, and
// code that treats them differently switches over the type.
type Resource interface {
	ID() ID
	ResourceVersion() int64
	sealed()
}

// ---------------------------------------------------------------------------------------------

// BaseModel is a model that upstreams run and adapters extend.
type BaseModel struct {
	Meta Meta
}

// Workspace is a paying tenant. Rate is in tokens a second and Burst in tokens, both over all
// instances together. Weight is its share when upstreams are short; 1 is usual.
type Workspace struct {
	Meta       Meta
	Rate       float64
	Burst      float64
	Weight     float64
	Objectives Objectives
}

// Objectives are what the workspace was promised, as used by the burn report. The shares are
// between 0 and 1: Answered is the share of requests that must be answered, FirstToken the share
// whose first token must come within FirstTokenWithin, Admitted the share of requests within the
// rate that must not be refused.
type Objectives struct {
	Answered         float64
	FirstToken       float64
	FirstTokenWithin time.Duration
	Admitted         float64
}

// Key is a caller's credential. Only the SHA-256 of the secret is kept, in lower-case hex; the
// secret is shown once, when the key is granted. A withdrawn key stays declared, so that its use is
// refused as withdrawn and not as unknown.
type Key struct {
	Meta      Meta
	Workspace string
	Hash      string
	Withdrawn bool
}

// Adapter is a LoRA adapter. Workspaces lists who may use it; empty means every workspace. Current
// is the version served when a caller names none.
type Adapter struct {
	Meta       Meta
	BaseModel  string
	Workspaces []string
	Current    string
}

// AdapterVersion is one immutable set of weights of an adapter. Its name is "adapter@version", and
// Source is where the weight store keeps it.
type AdapterVersion struct {
	Meta    Meta
	Adapter string
	Version string
	Source  string
}

// Upstream is a model engine. Slots is how many adapter versions it holds at once, Batch how many
// requests it runs at once. ChecksFencing tells whether it refuses orders with an old fencing
// number. A leaving upstream gets no new work.
type Upstream struct {
	Meta          Meta
	Address       string
	DataCentre    string
	BaseModel     string
	Slots         int
	Batch         int
	ChecksFencing bool
	Leaving       bool
}

// Service is a plain service beside the engines. Calls whose method is in Repeatable may be sent
// again; every other call needs an idempotency key and runs at most once.
type Service struct {
	Meta       Meta
	Addresses  []string
	Workspaces []string
	Repeatable []string
}

// ---------------------------------------------------------------------------------------------

// ID of a base model.
func (r BaseModel) ID() ID { return ID{Kind: KindBaseModel, Name: r.Meta.Name} }

// ID of a workspace.
func (r Workspace) ID() ID { return ID{Kind: KindWorkspace, Name: r.Meta.Name} }

// ID of a key; its name is not secret.
func (r Key) ID() ID { return ID{Kind: KindKey, Name: r.Meta.Name} }

// ID of an adapter.
func (r Adapter) ID() ID { return ID{Kind: KindAdapter, Name: r.Meta.Name} }

// ID of an adapter version, named "adapter@version".
func (r AdapterVersion) ID() ID { return ID{Kind: KindAdapterVersion, Name: r.Meta.Name} }

// ID of an upstream.
func (r Upstream) ID() ID { return ID{Kind: KindUpstream, Name: r.Meta.Name} }

// ID of a service.
func (r Service) ID() ID { return ID{Kind: KindService, Name: r.Meta.Name} }

// ResourceVersion of a base model.
func (r BaseModel) ResourceVersion() int64 { return r.Meta.Version }

// ResourceVersion of a workspace.
func (r Workspace) ResourceVersion() int64 { return r.Meta.Version }

// ResourceVersion of a key.
func (r Key) ResourceVersion() int64 { return r.Meta.Version }

// ResourceVersion of an adapter.
func (r Adapter) ResourceVersion() int64 { return r.Meta.Version }

// ResourceVersion of an adapter version: the revision that declared it.
func (r AdapterVersion) ResourceVersion() int64 { return r.Meta.Version }

// ResourceVersion of an upstream.
func (r Upstream) ResourceVersion() int64 { return r.Meta.Version }

// ResourceVersion of a service.
func (r Service) ResourceVersion() int64 { return r.Meta.Version }

func (BaseModel) sealed()      {}
func (Workspace) sealed()      {}
func (Key) sealed()            {}
func (Adapter) sealed()        {}
func (AdapterVersion) sealed() {}
func (Upstream) sealed()       {}
func (Service) sealed()        {}

// WithVersion returns the resource with another resource version.
func WithVersion(r Resource, version int64) Resource {
	switch r := r.(type) {
	case BaseModel:
		r.Meta.Version = version
		return r
	case Workspace:
		r.Meta.Version = version
		return r
	case Key:
		r.Meta.Version = version
		return r
	case Adapter:
		r.Meta.Version = version
		return r
	case AdapterVersion:
		r.Meta.Version = version
		return r
	case Upstream:
		r.Meta.Version = version
		return r
	case Service:
		r.Meta.Version = version
		return r
	}
	panic("resource: a kind is missing from WithVersion")
}

// WithWithdrawn returns the key withdrawn or granted again.
func (r Key) WithWithdrawn(withdrawn bool) Key {
	r.Withdrawn = withdrawn
	return r
}

// WithLeaving returns the upstream marked as leaving or as staying.
func (r Upstream) WithLeaving(leaving bool) Upstream {
	r.Leaving = leaving
	return r
}
