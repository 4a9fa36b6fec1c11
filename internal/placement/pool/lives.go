package pool

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// lives.go keeps which life of an upstream is the latest one. An upstream may start again under its ID and address, and its entry shows that late, in an
// outage of the store not at all. Its holder learns of it from the upstream's reports, and the others from the holder. If the life that has ended
// counted until the entry is back, all would take its adapters for loaded and get their requests refused, and nothing would be loaded there.

// recordLife records that an upstream has stated a life of itself. One that is later than the known one replaces it, and starts without its state. Until
// its entry arrives it counts as cold, and its software as unknown: no stream is continued there. ended is the life that has been replaced, unless it
// had announced its end.
func (p *Pool) recordLife(now time.Time, u *upstream, startedMillis int64) (ended traffic.Life) {
	if startedMillis < u.declared.StartedMillis || startedMillis == u.replacedStartedMillis {
		return ended
	}
	if !p.IsEndAnnounced(u.declared.ID) {
		ended = u.declared.Life()
	}
	next := u.declared
	next.StartedMillis = startedMillis
	next.Software = ""
	next.Draining = false
	next.Models = nil
	next.ColdRemaining = p.coldStarts[next.Service].length
	p.declare(now, next)
	p.upstreams[next.ID].entryStartedMillis = u.entryStartedMillis
	return ended
}

// isOtherLife reports whether a start is that of another life than the known one. Upstreams that do not state their start have one life.
func (u *upstream) isOtherLife(startedMillis int64) bool {
	return startedMillis != 0 && u.declared.StartedMillis != 0 && startedMillis != u.declared.StartedMillis
}

// hasOutlived reports whether an entry repeats the life that the last entry named, although a later one has been stated since. Any other life that an
// entry names counts, as clocks may be set back.
func (u *upstream) hasOutlived(entry traffic.Upstream) bool {
	return u != nil && entry.StartedMillis == u.entryStartedMillis && entry.StartedMillis < u.declared.StartedMillis
}
