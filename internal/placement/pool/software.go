package pool

import (
	"slices"
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/origin"
)

// software.go keeps which software versions the upstreams of a service have had, to prove that a stream whose record is
// missing can have begun at one version only.

// softwareHistory is what this instance knows of the software versions of one service's upstreams.
type softwareHistory struct {
	// declared counts the declared upstreams of each version. removed is when the last upstream of a version was removed.
	declared map[string]int
	removed  map[string]time.Time
	// adoptedSince is the beginning of the history as a peer stated it; zero if none did.
	adoptedSince time.Time
	// stored are the versions that the record in the store names; nil if there is none. storedLifetime is the time of a
	// stream there, and storedPartial is whether a version may be missing there, so that the record proves nothing.
	stored         []string
	storedLifetime time.Duration
	storedPartial  bool
	// split: the service shares routes of streams with others. movedAt is when it last lost or gained such a route.
	split   bool
	movedAt time.Time
}

// SoleSoftware states that the upstreams of a service have had no other software version than one, for some time until
// now.
type SoleSoftware struct {
	Service  string
	Software string
	For      time.Duration
}

// trackSoftware records that the declaration of an upstream replaces another one; nil stands for none.
func (p *Pool) trackSoftware(now time.Time, before, after *traffic.Upstream) {
	if before != nil && after != nil && before.Service == after.Service && before.Software == after.Software {
		return
	}
	if after != nil {
		p.softwareOf(after.Service).declared[after.Software]++
	}
	if before == nil {
		return
	}
	history := p.softwareOf(before.Service)
	history.declared[before.Software]--
	if history.declared[before.Software] > 0 {
		return
	}
	delete(history.declared, before.Software)
	becameKnown := before.Software == "" && after != nil && after.Life() == before.Life()
	if !becameKnown {
		history.removed[before.Software] = now
	}
}

func (p *Pool) softwareOf(service string) *softwareHistory {
	history := p.software[service]
	if history == nil {
		history = &softwareHistory{declared: make(map[string]int), removed: make(map[string]time.Time)}
		p.software[service] = history
	}
	return history
}

// versions lists the versions that were declared within some time until now.
func (h *softwareHistory) versions(now time.Time, within time.Duration) map[string]bool {
	versions := make(map[string]bool, len(h.declared))
	for version := range h.declared {
		versions[version] = true
	}
	for version, at := range h.removed {
		if now.Sub(at) > within {
			delete(h.removed, version)
			continue
		}
		versions[version] = true
	}
	return versions
}

// hasMoved reports whether the service has lost or gained a route of streams within some time until now.
func (h *softwareHistory) hasMoved(now time.Time, within time.Duration) bool {
	return !h.movedAt.IsZero() && now.Sub(h.movedAt) < within
}

// RecordSharedServices records which services have streams that may also have begun at another service. Nothing can be
// proven of them without a record: as long as their routes are split, and for the time of a stream after a change.
func (p *Pool) RecordSharedServices(now time.Time, shared traffic.SharedServices) {
	p.prepare()
	for service, history := range p.software {
		history.split = shared.Split[service]
	}
	for service, split := range shared.Split {
		p.softwareOf(service).split = split
	}
	for service, moved := range shared.Moved {
		if moved {
			p.softwareOf(service).movedAt = now
		}
	}
}

// SoleSoftware returns the only software version that the upstreams of a service can have had since a stream
// that its caller resumes now may have begun. It says nothing if there are several, if the only one is unknown, if the stream may
// have begun at another service, or if neither this instance has known the upstreams for the time of a stream nor the store
// has a record of that time.
func (p *Pool) SoleSoftware(now time.Time, service string) (sole SoleSoftware, known bool) {
	p.prepare()
	history := p.softwareOf(service)
	versions := history.versions(now, p.Settings.StreamLifetime)
	if len(versions) != 1 || versions[""] || history.split || history.hasMoved(now, p.Settings.StreamLifetime) {
		return SoleSoftware{}, false
	}
	sole = SoleSoftware{Service: service, For: now.Sub(p.knownSince)}
	if since := history.adoptedSince; !since.IsZero() && since.Before(p.knownSince) {
		sole.For = now.Sub(since)
	}
	for version := range versions {
		sole.Software = version
	}
	if history.isStoredFor(p.Settings.StreamLifetime) && slices.Equal(history.stored, []string{sole.Software}) {
		sole.For = max(sole.For, p.Settings.StreamLifetime)
	}
	return sole, !p.knownSince.IsZero() && sole.For >= p.Settings.StreamLifetime
}

// ServicesWithoutProof returns the services of which SoleSoftware says nothing for a reason that lasts: they have had several
// software versions for the time of a stream, or a stream may have begun at another service.
func (p *Pool) ServicesWithoutProof(now time.Time) (services map[string]bool) {
	p.prepare()
	services = make(map[string]bool)
	for service, history := range p.software {
		versions := history.versions(now, p.Settings.StreamLifetime)
		delete(versions, "")
		if len(versions) > 1 || history.split || history.hasMoved(now, p.Settings.StreamLifetime) {
			services[service] = true
		}
	}
	return services
}

// AdoptSoftware extends the history of a service by what a peer has just proved. An instance that has just started has
// seen nothing, which proves nothing.
func (p *Pool) AdoptSoftware(now time.Time, sole SoleSoftware) {
	p.prepare()
	history := p.softwareOf(sole.Service)
	versions := history.versions(now, p.Settings.StreamLifetime)
	if sole.Software == "" || len(versions) != 1 || !versions[sole.Software] {
		return
	}
	if since := now.Add(-sole.For); history.adoptedSince.IsZero() || since.Before(history.adoptedSince) {
		history.adoptedSince = since
	}
}

// maxEntryDelay is how long after its start an upstream that has started again in place may be taken for its life before:
// until it has written its entry, and that has arrived.
const maxEntryDelay = 3 * time.Second

// IsOriginDoubtful reports whether a stream that counts as begun at one life of an upstream may have begun at its next
// one, whose software is another: the entry of that life arrived at about the time when the stream began, or before.
func (p *Pool) IsOriginDoubtful(now time.Time, record origin.Record) bool {
	u := p.upstreams[record.Origin.Upstream]
	if u == nil || u.declared.StartedMillis == record.Origin.StartedMillis || u.declared.Software == record.Origin.Software {
		return false
	}
	began := now.Add(-record.Age)
	return u.declaredAt.Sub(began) < maxEntryDelay
}

// Software returns the software version of a life of an upstream that has just responded; empty if it is unknown, because
// another life may have responded whose entry has not arrived yet.
func (p *Pool) Software(now time.Time, upstream traffic.Upstream) string {
	u := p.upstreams[upstream.ID]
	if u != nil && u.isLifeInDoubt(now) {
		return ""
	}
	return upstream.Software
}

// isLifeInDoubt reports whether the upstream may have started again without its entry having arrived: nothing has listened
// there a moment ago.
func (u *upstream) isLifeInDoubt(now time.Time) bool {
	return !u.crashedAt.IsZero() && now.Sub(u.crashedAt) < maxEntryDelay
}
