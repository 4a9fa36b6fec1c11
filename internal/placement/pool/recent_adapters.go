package pool

import "lacewingrock.example/lacewingrock/internal/gateway/traffic"

// recent_adapters.go keeps which adapters an upstream had lately. It loads these many times quicker than others,
// so a choice asks it for each upstream that lacks the adapter.

// mostRecent is how many adapters an upstream is taken to reload quickly. Engines keep some dozens in host memory.
const mostRecent = 30

// recentAdapters are the last adapters that were resident. The zero value is empty.
type recentAdapters struct {
	seen map[traffic.Adapter]sighting
	// turns counts the sightings.
	turns int
}

// sighting is when an adapter was last resident, in turns, and in which version.
type sighting struct {
	turn    int
	version int64
}

// add takes note of a resident adapter, in place of the one that was resident longest ago.
func (r *recentAdapters) add(resident Resident) {
	if r.seen == nil {
		r.seen = make(map[traffic.Adapter]sighting)
	}
	r.turns++
	r.seen[resident.Adapter] = sighting{turn: r.turns, version: resident.Version}
	if len(r.seen) <= mostRecent {
		return
	}
	var oldest traffic.Adapter
	first := r.turns
	for adapter, known := range r.seen {
		if known.turn < first {
			oldest = adapter
			first = known.turn
		}
	}
	delete(r.seen, oldest)
}

// has tells whether the upstream is taken to have a copy of an adapter, in a version that will do.
func (r *recentAdapters) has(adapter traffic.Adapter, version int64) bool {
	known, found := r.seen[adapter]
	return found && known.version >= version
}
