// The head as the store keeps it, and the small pointer to it that is swapped.

package codec

import (
	"encoding/json"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/catalog/head"
)

type (
	wirePart struct {
		Revision int64  `json:",omitempty"`
		Hash     string `json:",omitempty"`
	}
	wireMember struct {
		Name        string
		Incarnation string
		Address     string
		DataCentre  string
		Since       int64
	}
	wireChange struct {
		Mark     string
		Revision int64
	}
	wireHead struct {
		Revision int64
		Epoch    int64
		Parts    []wirePart
		Members  []wireMember
		Changes  []wireChange
	}
	wirePointer struct {
		Revision int64
		Mark     string
		Hash     string
	}
)

// EncodePointer writes a pointer.
func EncodePointer(p head.Pointer) (data []byte, err error) {
	defer func() { err = errors.WithMessage(err, "encode pointer to the head") }()
	return json.Marshal(wirePointer(p))
}

// DecodePointer reads a pointer.
func DecodePointer(data []byte) (p head.Pointer, err error) {
	defer func() { err = errors.WithMessage(err, "decode pointer to the head") }()
	var wire wirePointer
	if err := json.Unmarshal(data, &wire); err != nil {
		return head.Pointer{}, err
	}
	return head.Pointer(wire), nil
}

// EncodeHead writes a head.
func EncodeHead(h head.Head) (data []byte, err error) {
	defer func() { err = errors.WithMessage(err, "encode head") }()
	wire := wireHead{Revision: h.Revision, Epoch: h.Epoch}
	for _, p := range h.Parts {
		wire.Parts = append(wire.Parts, wirePart{Revision: p.Revision, Hash: p.Hash})
	}
	for _, m := range h.Members {
		wire.Members = append(wire.Members, wireMember{
			Name: m.Name, Incarnation: m.Incarnation, Address: m.Address, DataCentre: m.DataCentre, Since: m.Since,
		})
	}
	for _, c := range h.RecentSwaps {
		wire.Changes = append(wire.Changes, wireChange{Mark: c.SwapID, Revision: c.Revision})
	}
	return json.Marshal(wire)
}

// DecodeHead reads a head.
func DecodeHead(data []byte) (h head.Head, err error) {
	defer func() { err = errors.WithMessage(err, "decode head") }()
	var wire wireHead
	if err := json.Unmarshal(data, &wire); err != nil {
		return head.Head{}, err
	}
	if len(wire.Parts) != 0 && len(wire.Parts) != head.PartCount {
		return head.Head{}, errors.Errorf("has %d parts instead of %d", len(wire.Parts), head.PartCount)
	}
	h = head.Head{Revision: wire.Revision, Epoch: wire.Epoch}
	for _, p := range wire.Parts {
		h.Parts = append(h.Parts, head.Part{Revision: p.Revision, Hash: p.Hash})
	}
	for _, m := range wire.Members {
		h.Members = append(h.Members, head.Member{
			Name: m.Name, Incarnation: m.Incarnation, Address: m.Address, DataCentre: m.DataCentre, Since: m.Since,
		})
	}
	for _, c := range wire.Changes {
		h.RecentSwaps = append(h.RecentSwaps, head.SwapRecord{SwapID: c.Mark, Revision: c.Revision})
	}
	return h, nil
}
