package pool

import "lacewingrock.example/lacewingrock/internal/gateway/traffic"

// recent_adapters.go tracks which adapters an upstream had recently. It loads these many times faster than others,
// so a choice checks this for each upstream without the adapter.

// maxRecent is the number of adapters that an upstream is assumed to reload quickly. Engines keep some dozens in
// host memory.
const maxRecent = 30

// recentAdapters are the adapters that were last resident. The zero value is empty.
type recentAdapters struct {
	seen map[traffic.Adapter]residence
	// sequence counts the calls of add.
	sequence int
}

// residence is when an adapter was last resident, as a sequence number, and in which version.
type residence struct {
	sequence int
	version  int64
}

// add records a resident adapter. It replaces the one that was resident least recently.
func (r *recentAdapters) add(resident Resident) {
	if r.seen == nil {
		r.seen = make(map[traffic.Adapter]residence)
	}
	r.sequence++
	r.seen[resident.Adapter] = residence{sequence: r.sequence, version: resident.Version}
	if len(r.seen) <= maxRecent {
		return
	}
	var oldest traffic.Adapter
	lowest := r.sequence
	for adapter, known := range r.seen {
		if known.sequence < lowest {
			oldest = adapter
			lowest = known.sequence
		}
	}
	delete(r.seen, oldest)
}

// has reports whether the upstream is assumed to have a copy of an adapter, in a sufficient version.
func (r *recentAdapters) has(adapter traffic.Adapter, version int64) bool {
	known, found := r.seen[adapter]
	return found && known.version >= version
}
