// Package head holds the value that the whole fleet agrees on: the immutable parts that make up the
// configuration, the members, and one revision for both. A few instances read it from the store; it is
// replaced as a whole by compare-and-swap. The codec package encodes it and the repository package stores
// it.
package head

import "slices"

// PartCount is the number of parts the configuration is split into. At the target of 45,000 adapters a
// part holds about 1,400 resources, a few hundred kilobytes. That is well under the store's limit of one
// megabyte per value, and the head that references the parts stays at a few kilobytes.
const PartCount = 64

// MaxRecentSwaps is the number of recent swaps that the head records. A writer that did not receive the
// response to its swap looks for its swap ID here. It cannot learn the outcome if more swaps than this
// were made in the meantime. At 1,000 changes a day the record spans more than an hour.
const MaxRecentSwaps = 64

// Part references one immutable part. Revision is the head revision that the part was written for. Hash
// is the SHA-256 of its content in lower-case hex, empty for a part without resources. A part whose
// Revision is not above the head's and which the head does not reference can never be referenced again,
// because a swap to a head that references it fails. Such a part can be deleted without waiting for its
// writer.
type Part struct {
	Revision int64
	Hash     string
}

// Member is an instance that takes a share of rates and of upstreams. Incarnation is new for each start
// of its process, Address is where its peers reach it (IP and port), and Since is the head revision that
// added this incarnation.
type Member struct {
	Name        string
	Incarnation string
	Address     string
	DataCentre  string
	Since       int64
}

// SwapRecord records one swap: its ID, which is unique to the writer's attempt, and the revision it made.
type SwapRecord struct {
	SwapID   string
	Revision int64
}

// Head is immutable: its slices are never modified, and the With methods return new values. Revision
// rises by one with each swap and is 0 before the first. Epoch is the revision of the last change of the
// members or of the upstreams' names, addresses and data centres; it is the fencing token of orders to
// engines. Parts has PartCount entries or, before the first swap, none.
type Head struct {
	Revision    int64
	Epoch       int64
	Parts       []Part
	Members     []Member
	RecentSwaps []SwapRecord
}

// Pointer is the value that is swapped. It references the whole head, which is stored separately like the
// parts. Readers fetch the pointer every second; at 330 members the whole head would be about 50 kB each
// time, the pointer is 200 bytes. SwapID is the ID of the swap that made the revision, and Hash the SHA-256
// of the encoded head. The zero Pointer stands for the head before the first swap.
type Pointer struct {
	Revision int64
	SwapID   string
	Hash     string
}

// LastSwapID returns the ID of the swap that made this head, or "" before the first.
func (h Head) LastSwapID() string {
	if len(h.RecentSwaps) == 0 {
		return ""
	}
	return h.RecentSwaps[len(h.RecentSwaps)-1].SwapID
}

// Part returns the reference to a part, the empty Part if there is none.
func (h Head) Part(index int) Part {
	if index >= len(h.Parts) {
		return Part{}
	}
	return h.Parts[index]
}

// Member returns the member of the given name.
func (h Head) Member(name string) (member Member, found bool) {
	for _, m := range h.Members {
		if m.Name == name {
			return m, true
		}
	}
	return Member{}, false
}

// FindSwap returns the revision that the swap with the given ID made, if the swap is among the recorded
// ones.
func (h Head) FindSwap(swapID string) (revision int64, found bool) {
	for _, s := range h.RecentSwaps {
		if s.SwapID == swapID {
			return s.Revision, true
		}
	}
	return 0, false
}

// ---------------------------------------------------------------------------------------------
// The With methods prepare the next head. They do not change Revision and write Revision+1 wherever
// the revision of the change is needed. WithSwap then completes it.

// WithPart returns the head with the part at index replaced by one written for the next revision.
func (h Head) WithPart(index int, hash string) Head {
	parts := make([]Part, PartCount)
	copy(parts, h.Parts)
	parts[index] = Part{Revision: h.Revision + 1, Hash: hash}
	h.Parts = parts
	return h
}

// WithMember returns the head with the member added, or replacing the member of the same name, and the
// epoch raised. The member's Since becomes the next revision. If the member is already there with the
// same incarnation, address and data centre, nothing changes.
func (h Head) WithMember(member Member) Head {
	member.Since = h.Revision + 1
	old, found := h.Member(member.Name)
	if found {
		same := member
		same.Since = old.Since
		if same == old {
			return h
		}
	}
	h = h.withoutMember(member.Name)
	h.Members = append(slices.Clip(h.Members), member)
	slices.SortFunc(h.Members, byName)
	h.Epoch = h.Revision + 1
	return h
}

// WithoutMember returns the head without the member of that name. The epoch rises if the member was
// there.
func (h Head) WithoutMember(name string) Head {
	if _, found := h.Member(name); !found {
		return h
	}
	h = h.withoutMember(name)
	h.Epoch = h.Revision + 1
	return h
}

// WithEpoch returns the head with the epoch raised to the next revision, because the upstreams changed.
func (h Head) WithEpoch() Head {
	h.Epoch = h.Revision + 1
	return h
}

// WithSwap completes the next head: it raises the revision by one and records the swap's ID.
func (h Head) WithSwap(swapID string) Head {
	h.Revision++
	swaps := append(slices.Clone(h.RecentSwaps), SwapRecord{SwapID: swapID, Revision: h.Revision})
	if len(swaps) > MaxRecentSwaps {
		swaps = swaps[len(swaps)-MaxRecentSwaps:]
	}
	h.RecentSwaps = swaps
	return h
}

// Equal reports whether two heads are the same in every field.
func (h Head) Equal(other Head) bool {
	return h.Revision == other.Revision && h.Epoch == other.Epoch &&
		slices.Equal(h.Parts, other.Parts) && slices.Equal(h.Members, other.Members) &&
		slices.Equal(h.RecentSwaps, other.RecentSwaps)
}

func (h Head) withoutMember(name string) Head {
	members := make([]Member, 0, len(h.Members)+1)
	for _, m := range h.Members {
		if m.Name != name {
			members = append(members, m)
		}
	}
	h.Members = members
	return h
}

func byName(a, b Member) int {
	if a.Name < b.Name {
		return -1
	}
	if a.Name > b.Name {
		return 1
	}
	return 0
}
