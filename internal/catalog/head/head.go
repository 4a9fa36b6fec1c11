// Package head holds the one small value that orders everything the fleet agrees on: which immutable
// parts make up the configuration, who is a member, and the revision that both have. It is read from
// the store by a few instances and swapped whole by compare-and-swap; the codec package maps it to
// bytes and the repository keeps it.
package head

import "slices"

// PartCount is the number of parts the configuration is split into. At the target of 45,000 adapters
// a part holds some 1,400 resources, a few hundred kilobytes: well under the megabyte that the store
// takes, while the head that names them stays at a few kilobytes.
const PartCount = 64

// MaxRecentSwaps is how many marks of swaps the head keeps. A writer whose answer was lost looks for its
// mark here; it would have to be out of touch for more swaps than this not to learn the outcome. The
// number has no measured reason yet: at 1,000 changes a day it spans more than an hour.
const MaxRecentSwaps = 64

// Part names one immutable part. Revision is the head revision that the part was written for and Hash
// the SHA-256 of its content in lower-case hex; Hash is empty for a part without resources. A part
// whose Revision is at or below the head's and which the head does not name can never be named again,
// since a swap that would name it fails: that makes deleting it safe without waiting for its writer.
type Part struct {
	Revision int64
	Hash     string
}

// Member is an instance that takes a share of rates and of upstreams. Incarnation is new for each
// start of its process, Address is where its peers reach it (IP and port), and Since is the head
// revision that added this incarnation.
type Member struct {
	Name        string
	Incarnation string
	Address     string
	DataCentre  string
	Since       int64
}

// SwapRecord is the mark of one swap: the writer's own unique text, and the revision the swap made.
type SwapRecord struct {
	SwapID   string
	Revision int64
}

// Head is immutable: its slices are never written after it was made, and the With methods return new
// ones. Revision is one higher with each swap and 0 before the first. Epoch is the revision of the
// last change of members or of the upstreams' places; it is the fencing number of orders to engines.
// Parts has PartCount entries or, before the first swap, none.
type Head struct {
	Revision    int64
	Epoch       int64
	Parts       []Part
	Members     []Member
	RecentSwaps []SwapRecord
}

// Pointer is the value that is swapped: it names the whole head, which is kept beside the parts. Readers
// look at the newest head every second; at 330 members the whole would be some 50 kB each time, the
// pointer is 200 bytes. Mark is the mark of the swap that made the revision, and Hash the SHA-256 of the
// head's bytes. The zero Pointer stands for the head before the first swap.
type Pointer struct {
	Revision int64
	Mark     string
	Hash     string
}

// LastSwapID gives the mark of the swap that made this head, or nothing before the first.
func (h Head) LastSwapID() string {
	if len(h.RecentSwaps) == 0 {
		return ""
	}
	return h.RecentSwaps[len(h.RecentSwaps)-1].SwapID
}

// Part returns the name of a part, the empty Part while there is none.
func (h Head) Part(index int) Part {
	if index >= len(h.Parts) {
		return Part{}
	}
	return h.Parts[index]
}

// Member finds a member by name.
func (h Head) Member(name string) (member Member, found bool) {
	for _, m := range h.Members {
		if m.Name == name {
			return m, true
		}
	}
	return Member{}, false
}

// FindSwap tells whether one of the kept changes carries the mark, and the revision it made.
func (h Head) FindSwap(mark string) (revision int64, found bool) {
	for _, c := range h.RecentSwaps {
		if c.SwapID == mark {
			return c.Revision, true
		}
	}
	return 0, false
}

// ---------------------------------------------------------------------------------------------
// The With methods prepare the next head: they leave Revision alone and write Revision+1 wherever
// the revision of the change is wanted. WithSwap then completes it.

// WithPart returns the head with another part in one place, written for the next revision.
func (h Head) WithPart(index int, hash string) Head {
	parts := make([]Part, PartCount)
	copy(parts, h.Parts)
	parts[index] = Part{Revision: h.Revision + 1, Hash: hash}
	h.Parts = parts
	return h
}

// WithMember returns the head with the member added, or put in the place of the one of that name, and
// the epoch raised. The member's Since becomes the next revision. A member that is there already,
// with the same incarnation and address, changes nothing.
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

// WithoutMember returns the head without the member of that name, and the epoch raised if it was there.
func (h Head) WithoutMember(name string) Head {
	if _, found := h.Member(name); !found {
		return h
	}
	h = h.withoutMember(name)
	h.Epoch = h.Revision + 1
	return h
}

// WithEpoch returns the head with the epoch raised to the next revision: the upstreams changed.
func (h Head) WithEpoch() Head {
	h.Epoch = h.Revision + 1
	return h
}

// WithSwap completes the next head: the revision is one higher and the mark is the newest of Changes.
func (h Head) WithSwap(mark string) Head {
	h.Revision++
	changes := append(slices.Clone(h.RecentSwaps), SwapRecord{SwapID: mark, Revision: h.Revision})
	if len(changes) > MaxRecentSwaps {
		changes = changes[len(changes)-MaxRecentSwaps:]
	}
	h.RecentSwaps = changes
	return h
}

// Equal tells whether two heads are the same in every field.
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
