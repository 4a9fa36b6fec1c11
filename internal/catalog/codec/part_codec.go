// The stored form of a part. It has the format of an operator's file, but it was written by an instance
// and is addressed by its content hash, so it is decoded in one pass and not field by field: an instance
// that starts reads more than a hundred thousand resources before it can serve.

package codec

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/catalog/resource"
)

// wirePartResource has the fields of all kinds; each kind uses its own.
type wirePartResource struct {
	wireMeta
	Rate          float64
	Burst         float64
	Weight        float64
	Objectives    wireObjectives
	Workspace     string
	Hash          string
	Withdrawn     bool
	BaseModel     string
	Workspaces    []string
	Current       string
	Adapter       string
	Version       string
	Source        string
	Address       string
	DataCentre    string
	Slots         int
	Batch         int
	ChecksFencing bool
	Leaving       bool
	Addresses     []string
	Repeatable    []string
}

// EncodePart encodes the resources of one part. Equal resources in equal order give equal bytes.
func EncodePart(resources []resource.Resource) (data []byte, err error) {
	return EncodeFile(resources)
}

// DecodePart decodes a stored part. Each resource's version is the accepted one. An unknown field is an
// error: it was written by a newer release, and an instance that ignored it would write the part back
// without it.
func DecodePart(data []byte) (resources []resource.Resource, err error) {
	defer func() { err = errors.WithMessage(err, "decode part") }()
	var wire struct{ Resources []wirePartResource }
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&wire); err != nil {
		return nil, err
	}
	resources = make([]resource.Resource, len(wire.Resources))
	for i := range wire.Resources {
		resources[i], err = wire.Resources[i].resource()
		if err != nil {
			return nil, err
		}
	}
	return resources, nil
}

func (w *wirePartResource) resource() (r resource.Resource, err error) {
	meta := resource.Meta{Name: w.Name, Version: w.ResourceVersion}
	switch resource.Kind(w.Kind) {
	case resource.KindBaseModel:
		return resource.BaseModel{Meta: meta}, nil
	case resource.KindWorkspace:
		objectives, err := w.Objectives.objectives()
		return resource.Workspace{
			Meta: meta, Rate: w.Rate, Burst: w.Burst, Weight: w.Weight, Objectives: objectives,
		}, err
	case resource.KindKey:
		return resource.Key{Meta: meta, Workspace: w.Workspace, Hash: w.Hash, Withdrawn: w.Withdrawn}, nil
	case resource.KindAdapter:
		return resource.Adapter{
			Meta: meta, BaseModel: w.BaseModel, Workspaces: w.Workspaces, Current: w.Current,
		}, nil
	case resource.KindAdapterVersion:
		return resource.AdapterVersion{Meta: meta, Adapter: w.Adapter, Version: w.Version, Source: w.Source}, nil
	case resource.KindUpstream:
		return resource.Upstream{
			Meta: meta, Address: w.Address, DataCentre: w.DataCentre, BaseModel: w.BaseModel,
			Slots: w.Slots, Batch: w.Batch, ChecksFencing: w.ChecksFencing, Leaving: w.Leaving,
		}, nil
	case resource.KindService:
		return resource.Service{
			Meta: meta, Addresses: w.Addresses, Workspaces: w.Workspaces, Repeatable: w.Repeatable,
		}, nil
	}
	return nil, errors.Errorf("no such kind: %q", w.Kind)
}

func (w wireObjectives) objectives() (o resource.Objectives, err error) {
	o = resource.Objectives{Answered: w.Answered, FirstToken: w.FirstToken, Admitted: w.Admitted}
	if w.FirstTokenWithin != "" {
		o.FirstTokenWithin, err = time.ParseDuration(w.FirstTokenWithin)
	}
	return o, err
}

// HashOf returns the SHA-256 of the data in lower-case hex, which is the content address of parts and
// heads.
func HashOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
