// Package codec maps the domain's values to JSON by hand: resources for operators and for the parts
// kept in the store, and the head. Fields are named as in the domain, durations are texts such as
// "540ms". The domain types know nothing of it.
package codec

import (
	"encoding/json"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/catalog/configuration"
	"lacewingrock.example/lacewingrock/internal/catalog/resource"
)

// usualWeight is the weight of a workspace that states none.
const usualWeight = 1

// DecodeResource reads one resource as an operator writes it. versionStated tells whether it said
// which resource version it was read at. The error is configuration.Problems.
func DecodeResource(data []byte) (r resource.Resource, versionStated bool, err error) {
	o, err := readObject(data)
	if err != nil {
		return nil, false, configuration.Problems{{Kind: "Resource", Problem: err.Error()}}
	}
	o.kind = o.text("Kind")
	o.name = o.text("Name")
	meta := resource.Meta{Name: o.name}
	meta.Version, versionStated = o.version("ResourceVersion")
	r = readFields(o, meta)
	if r == nil {
		o.problem("Kind", "no such kind")
		return nil, false, configuration.Problems(o.problems)
	}
	o.finish()
	if len(o.problems) > 0 {
		return nil, false, configuration.Problems(o.problems)
	}
	return r, versionStated, nil
}

// readFields takes the fields of the object's kind; it gives nil for a kind that is not known.
func readFields(o *object, meta resource.Meta) resource.Resource {
	switch resource.Kind(o.kind) {
	case resource.KindBaseModel:
		return resource.BaseModel{Meta: meta}
	case resource.KindWorkspace:
		return readWorkspace(o, meta)
	case resource.KindKey:
		return resource.Key{
			Meta: meta, Workspace: o.text("Workspace"), Hash: o.text("Hash"), Withdrawn: o.flag("Withdrawn"),
		}
	case resource.KindAdapter:
		return resource.Adapter{
			Meta: meta, BaseModel: o.text("BaseModel"), Workspaces: o.texts("Workspaces"), Current: o.text("Current"),
		}
	case resource.KindAdapterVersion:
		return readAdapterVersion(o, meta)
	case resource.KindUpstream:
		return resource.Upstream{
			Meta: meta, Address: o.text("Address"), DataCentre: o.text("DataCentre"),
			BaseModel: o.text("BaseModel"), Slots: o.whole("Slots"), Batch: o.whole("Batch"),
			ChecksFencing: o.flag("ChecksFencing"), Leaving: o.flag("Leaving"),
		}
	case resource.KindService:
		return resource.Service{
			Meta: meta, Addresses: o.texts("Addresses"), Workspaces: o.texts("Workspaces"),
			Repeatable: o.texts("Repeatable"),
		}
	}
	return nil
}

func readWorkspace(o *object, meta resource.Meta) resource.Workspace {
	workspace := resource.Workspace{
		Meta: meta, Rate: o.number("Rate", 0), Burst: o.number("Burst", 0), Weight: o.number("Weight", usualWeight),
	}
	o.object("Objectives", func(o *object) {
		workspace.Objectives = resource.Objectives{
			Answered:         o.number("Answered", 0),
			FirstToken:       o.number("FirstToken", 0),
			FirstTokenWithin: o.duration("FirstTokenWithin"),
			Admitted:         o.number("Admitted", 0),
		}
	})
	return workspace
}

// readAdapterVersion fills in the name, which follows from the adapter and the version.
func readAdapterVersion(o *object, meta resource.Meta) resource.AdapterVersion {
	version := resource.AdapterVersion{
		Meta: meta, Adapter: o.text("Adapter"), Version: o.text("Version"), Source: o.text("Source"),
	}
	if version.Meta.Name == "" {
		version.Meta.Name = configuration.VersionName(version.Adapter, version.Version)
		o.name = version.Meta.Name
	}
	return version
}

// ---------------------------------------------------------------------------------------------

// The resource version stands as ResourceVersion, because an adapter version has a Version of its own.
// The wire forms, in the order in which the fields are written. Their names are the domain's.
type (
	wireMeta struct {
		Kind            string
		Name            string
		ResourceVersion int64 `json:",omitempty"`
	}
	wireObjectives struct {
		Answered         float64 `json:",omitempty"`
		FirstToken       float64 `json:",omitempty"`
		FirstTokenWithin string  `json:",omitempty"`
		Admitted         float64 `json:",omitempty"`
	}
	wireWorkspace struct {
		wireMeta
		Rate       float64
		Burst      float64
		Weight     float64
		Objectives wireObjectives
	}
	wireKey struct {
		wireMeta
		Workspace string
		Hash      string
		Withdrawn bool `json:",omitempty"`
	}
	wireAdapter struct {
		wireMeta
		BaseModel  string
		Workspaces []string `json:",omitempty"`
		Current    string   `json:",omitempty"`
	}
	wireAdapterVersion struct {
		wireMeta
		Adapter string
		Version string
		Source  string
	}
	wireUpstream struct {
		wireMeta
		Address       string
		DataCentre    string
		BaseModel     string
		Slots         int
		Batch         int
		ChecksFencing bool
		Leaving       bool `json:",omitempty"`
	}
	wireService struct {
		wireMeta
		Addresses  []string
		Workspaces []string `json:",omitempty"`
		Repeatable []string `json:",omitempty"`
	}
)

// EncodeResource writes a resource with its resource version, as operators and the parts have it.
func EncodeResource(r resource.Resource) (data []byte, err error) {
	defer func() { err = errors.WithMessage(err, "encode "+r.ID().String()) }()
	return json.Marshal(wireOf(r))
}

func wireOf(r resource.Resource) any {
	meta := wireMeta{Kind: string(r.ID().Kind), Name: r.ID().Name, ResourceVersion: r.ResourceVersion()}
	switch r := r.(type) {
	case resource.BaseModel:
		return meta
	case resource.Workspace:
		return wireWorkspace{
			wireMeta: meta, Rate: r.Rate, Burst: r.Burst, Weight: r.Weight, Objectives: wireObjectivesOf(r.Objectives),
		}
	case resource.Key:
		return wireKey{wireMeta: meta, Workspace: r.Workspace, Hash: r.Hash, Withdrawn: r.Withdrawn}
	case resource.Adapter:
		return wireAdapter{wireMeta: meta, BaseModel: r.BaseModel, Workspaces: r.Workspaces, Current: r.Current}
	case resource.AdapterVersion:
		return wireAdapterVersion{wireMeta: meta, Adapter: r.Adapter, Version: r.Version, Source: r.Source}
	case resource.Upstream:
		return wireUpstream{
			wireMeta: meta, Address: r.Address, DataCentre: r.DataCentre, BaseModel: r.BaseModel,
			Slots: r.Slots, Batch: r.Batch, ChecksFencing: r.ChecksFencing, Leaving: r.Leaving,
		}
	case resource.Service:
		return wireService{
			wireMeta: meta, Addresses: r.Addresses, Workspaces: r.Workspaces, Repeatable: r.Repeatable,
		}
	}
	panic("codec: a kind is missing from wireOf")
}

func wireObjectivesOf(o resource.Objectives) wireObjectives {
	wire := wireObjectives{Answered: o.Answered, FirstToken: o.FirstToken, Admitted: o.Admitted}
	if o.FirstTokenWithin != 0 {
		wire.FirstTokenWithin = o.FirstTokenWithin.String()
	}
	return wire
}
