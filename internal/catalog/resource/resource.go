// Package resource defines the resources that operators declare: workspaces, keys, base models, adapters
// and their versions, upstreams and services. Every other package only reads these values; the
// configuration package changes them by making new ones. The types carry no tags: the codec package maps
// them explicitly to JSON for operators and for the store.
package resource

import "time"

// Kind is one of the seven kinds of resource, spelled as operators write it.
type Kind string

// The kinds, ordered so that a kind refers only to kinds before it, except that an adapter names its
// current version.
const (
	KindBaseModel      Kind = "BaseModel"
	KindWorkspace      Kind = "Workspace"
	KindKey            Kind = "Key"
	KindAdapter        Kind = "Adapter"
	KindAdapterVersion Kind = "AdapterVersion"
	KindUpstream       Kind = "Upstream"
	KindService        Kind = "Service"
)

// Kinds returns all kinds, each after the kinds that it refers to, except that an adapter names its current
// version.
func Kinds() []Kind {
	return []Kind{
		KindBaseModel, KindWorkspace, KindKey, KindAdapter, KindAdapterVersion, KindUpstream, KindService,
	}
}

// ID identifies a resource. Names are unique within a kind.
type ID struct {
	Kind Kind
	Name string
}

// String returns the form used in messages, such as "Adapter/bids".
func (id ID) String() string {
	return string(id.Kind) + "/" + id.Name
}

// Meta holds the fields that all resources have in common. Version is the resource version: zero for a
// resource not yet accepted, otherwise the configuration revision that last changed it. A change that
// states an older Version than the accepted one is a conflict.
type Meta struct {
	Name    string
	Version int64
}

// Resource is one declared resource. The interface is sealed: only the types of this package implement
// it, and code that treats them differently switches over the type.
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

// Workspace is a paying tenant. Rate is in tokens per second and Burst in tokens, both summed over all
// instances. Weight is its share when upstream capacity is scarce; 1 is the default.
type Workspace struct {
	Meta       Meta
	Rate       float64
	Burst      float64
	Weight     float64
	Objectives Objectives
}

// Objectives are the service level objectives of a workspace, used by the burn-rate report. The shares
// are between 0 and 1. Answered is the share of requests that must be answered, FirstToken the share
// whose first token must arrive within FirstTokenWithin, and Admitted the share of requests within the
// rate that must not be refused.
type Objectives struct {
	Answered         float64
	FirstToken       float64
	FirstTokenWithin time.Duration
	Admitted         float64
}

// Key is a caller's credential. Only the SHA-256 of the secret is stored, in lower-case hex; the secret
// is shown once, when the key is granted. A withdrawn key stays declared, so that its use is refused as
// withdrawn and not as unknown.
type Key struct {
	Meta      Meta
	Workspace string
	Hash      string
	Withdrawn bool
}

// Adapter is a LoRA adapter. Workspaces lists who may use it; an empty list means every workspace.
// Current is the version served when a caller does not name one.
type Adapter struct {
	Meta       Meta
	BaseModel  string
	Workspaces []string
	Current    string
}

// AdapterVersion is one immutable set of weights of an adapter. Its name is "adapter@version", and Source
// is its location in the weight store.
type AdapterVersion struct {
	Meta    Meta
	Adapter string
	Version string
	Source  string
}

// Upstream is a model engine. Slots is how many adapter versions it can hold loaded (adapter slots),
// Batch how many requests it can run at once (batch slots). ChecksFencing says whether it rejects orders
// with an old fencing token. An upstream that is leaving gets no new work.
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

// Service is a plain service that is not a model engine. Calls whose method is in Repeatable may be
// retried; every other call needs an idempotency key and runs at most once.
type Service struct {
	Meta       Meta
	Addresses  []string
	Workspaces []string
	Repeatable []string
}

// ---------------------------------------------------------------------------------------------

// ID returns the ID of a base model.
func (r BaseModel) ID() ID { return ID{Kind: KindBaseModel, Name: r.Meta.Name} }

// ID returns the ID of a workspace.
func (r Workspace) ID() ID { return ID{Kind: KindWorkspace, Name: r.Meta.Name} }

// ID returns the ID of a key; its name is not secret.
func (r Key) ID() ID { return ID{Kind: KindKey, Name: r.Meta.Name} }

// ID returns the ID of an adapter.
func (r Adapter) ID() ID { return ID{Kind: KindAdapter, Name: r.Meta.Name} }

// ID returns the ID of an adapter version, named "adapter@version".
func (r AdapterVersion) ID() ID { return ID{Kind: KindAdapterVersion, Name: r.Meta.Name} }

// ID returns the ID of an upstream.
func (r Upstream) ID() ID { return ID{Kind: KindUpstream, Name: r.Meta.Name} }

// ID returns the ID of a service.
func (r Service) ID() ID { return ID{Kind: KindService, Name: r.Meta.Name} }

// ResourceVersion returns the resource version of a base model.
func (r BaseModel) ResourceVersion() int64 { return r.Meta.Version }

// ResourceVersion returns the resource version of a workspace.
func (r Workspace) ResourceVersion() int64 { return r.Meta.Version }

// ResourceVersion returns the resource version of a key.
func (r Key) ResourceVersion() int64 { return r.Meta.Version }

// ResourceVersion returns the resource version of an adapter.
func (r Adapter) ResourceVersion() int64 { return r.Meta.Version }

// ResourceVersion returns the resource version of an adapter version: the revision that declared it.
func (r AdapterVersion) ResourceVersion() int64 { return r.Meta.Version }

// ResourceVersion returns the resource version of an upstream.
func (r Upstream) ResourceVersion() int64 { return r.Meta.Version }

// ResourceVersion returns the resource version of a service.
func (r Service) ResourceVersion() int64 { return r.Meta.Version }

func (BaseModel) sealed()      {}
func (Workspace) sealed()      {}
func (Key) sealed()            {}
func (Adapter) sealed()        {}
func (AdapterVersion) sealed() {}
func (Upstream) sealed()       {}
func (Service) sealed()        {}

// WithVersion returns a copy of the resource with the given resource version.
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

// WithWithdrawn returns a copy of the key, withdrawn or granted again.
func (r Key) WithWithdrawn(withdrawn bool) Key {
	r.Withdrawn = withdrawn
	return r
}

// WithLeaving returns a copy of the upstream, marked as leaving or as not leaving.
func (r Upstream) WithLeaving(leaving bool) Upstream {
	r.Leaving = leaving
	return r
}
