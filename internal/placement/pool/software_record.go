package pool

import (
	"maps"
	"slices"
	"time"
)

// software_record.go relates the history of software versions to the records of it in the store. A record names each
// version that may have begun a stream which its caller may still resume. An instance that has just started has seen
// nothing itself, and all instances may have.

// SoftwareVersions are the versions of one service's upstreams.
type SoftwareVersions struct {
	Service  string
	Versions []string
	// StreamLifetime is the time of a stream that the versions cover.
	StreamLifetime time.Duration
}

// RecordStoredSoftware records what the store says of a service; nil if it has no record. A version that is not declared
// may have been until now.
func (p *Pool) RecordStoredSoftware(now time.Time, stored SoftwareVersions) {
	p.prepare()
	history := p.softwareOf(stored.Service)
	history.stored = stored.Versions
	history.storedLifetime = stored.StreamLifetime
	for _, version := range stored.Versions {
		if _, known := history.removed[version]; !known && history.declared[version] == 0 {
			history.removed[version] = now
		}
	}
}

// UnstoredSoftware lists the services whose record in the store does not have the versions of the time of a stream, or
// that time. The first record of a service is due once this instance has known it for that long: an earlier one might lack a version.
func (p *Pool) UnstoredSoftware(now time.Time) (due []SoftwareVersions) {
	if p.Settings.StreamLifetime <= 0 {
		return nil
	}
	for service, history := range p.software {
		versions := slices.Sorted(maps.Keys(history.versions(now, p.Settings.StreamLifetime)))
		isFirst := history.stored == nil
		isStored := slices.Equal(versions, history.stored) && history.storedLifetime == p.Settings.StreamLifetime
		if len(versions) == 0 || isStored || isFirst && !p.isSoftwareKnown(now) {
			continue
		}
		due = append(due, SoftwareVersions{Service: service, Versions: versions, StreamLifetime: p.Settings.StreamLifetime})
	}
	return due
}

// isSoftwareKnown reports whether this instance has known the upstreams for the time of a stream.
func (p *Pool) isSoftwareKnown(now time.Time) bool {
	return !p.knownSince.IsZero() && now.Sub(p.knownSince) >= p.Settings.StreamLifetime
}
