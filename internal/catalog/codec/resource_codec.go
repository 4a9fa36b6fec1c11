// Package codec maps the domain's values explicitly to JSON: resources for operators and for the parts
// kept in the store, and the head. Fields are named as in the domain; durations are strings such as
// "540ms". The domain types do not depend on this package.
package codec

import (
	"encoding/json"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/catalog/configuration"
	"lacewingrock.example/lacewingrock/internal/catalog/resource"
)

// defaultWeight is the weight of a workspace that does not state one.
const defaultWeight = 1

// DecodeResource decodes one resource as an operator writes it. versionStated says whether it states the
// resource version it was read at. The error is configuration.Problems.
func DecodeResource(data []byte) (r resource.Resource, versionStated bool, err error) {
	o, err := readObject(data)
	if err != nil {
		return nil, false, configuration.Problems{{Kind: "Resource", Problem: err.Error()}}
	}
	o.kind = o.stringField("Kind")
	o.name = o.stringField("Name")
	meta := resource.Meta{Name: o.name}
	meta.Version, versionStated = o.versionField("ResourceVersion")
	r = readFields(o, meta)
	if r == nil {
		o.addProblem("Kind", "no such kind")
		return nil, false, configuration.Problems(o.problems)
	}
	o.reportUnknownFields()
	if len(o.problems) > 0 {
		return nil, false, configuration.Problems(o.problems)
	}
	return r, versionStated, nil
}

// readFields reads the fields of the object's kind; it returns nil for an unknown kind.
func readFields(o *object, meta resource.Meta) resource.Resource {
	switch resource.Kind(o.kind) {
	case resource.KindBaseModel:
		return resource.BaseModel{Meta: meta}
	case resource.KindWorkspace:
		return readWorkspace(o, meta)
	case resource.KindKey:
		return resource.Key{
			Meta: meta, Workspace: o.stringField("Workspace"), Hash: o.stringField("Hash"), Withdrawn: o.boolField("Withdrawn"),
		}
	case resource.KindAdapter:
		return resource.Adapter{
			Meta: meta, BaseModel: o.stringField("BaseModel"), Workspaces: o.stringsField("Workspaces"), Current: o.stringField("Current"),
		}
	case resource.KindAdapterVersion:
		return readAdapterVersion(o, meta)
	case resource.KindUpstream:
		return resource.Upstream{
			Meta: meta, Address: o.stringField("Address"), DataCentre: o.stringField("DataCentre"),
			BaseModel: o.stringField("BaseModel"), Slots: o.intField("Slots"), Batch: o.intField("Batch"),
			ChecksFencing: o.boolField("ChecksFencing"), Leaving: o.boolField("Leaving"),
		}
	case resource.KindService:
		return resource.Service{
			Meta: meta, Addresses: o.stringsField("Addresses"), Workspaces: o.stringsField("Workspaces"),
			Repeatable: o.stringsField("Repeatable"),
		}
	}
	return nil
}

func readWorkspace(o *object, meta resource.Meta) resource.Workspace {
	workspace := resource.Workspace{
		Meta: meta, Rate: o.floatField("Rate", 0), Burst: o.floatField("Burst", 0), Weight: o.floatField("Weight", defaultWeight),
	}
	o.objectField("Objectives", func(o *object) {
		workspace.Objectives = resource.Objectives{
			Answered:         o.floatField("Answered", 0),
			FirstToken:       o.floatField("FirstToken", 0),
			FirstTokenWithin: o.durationField("FirstTokenWithin"),
			Admitted:         o.floatField("Admitted", 0),
		}
	})
	return workspace
}

// readAdapterVersion fills in a missing name from the adapter and the version.
func readAdapterVersion(o *object, meta resource.Meta) resource.AdapterVersion {
	version := resource.AdapterVersion{
		Meta: meta, Adapter: o.stringField("Adapter"), Version: o.stringField("Version"), Source: o.stringField("Source"),
	}
	if version.Meta.Name == "" {
		version.Meta.Name = configuration.VersionName(version.Adapter, version.Version)
		o.name = version.Meta.Name
	}
	return version
}

// ---------------------------------------------------------------------------------------------

// The wire forms, with fields in the order in which they are written. Their names are the domain's,
// except that the resource version is ResourceVersion, because an adapter version has a Version of its
// own.
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

// EncodeResource encodes a resource with its resource version, for operators and for parts.
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
