package pool

import (
	"maps"
	"slices"
	"time"
)

// software_record.go relates the history of software versions to the records of it in the store. A record names each
// version that may have begun a stream which its caller may still resume, and how long such a stream may live. An instance
// that has just started has seen nothing itself, and all instances may have.

// firstRecordDelay is the time from the first upstream that an instance knows until the first record of a service is due. By
// then the instances of a fleet that starts know each other, so that one of them writes it.
const firstRecordDelay = time.Second

// SoftwareVersions are the versions of one service's upstreams.
type SoftwareVersions struct {
	Service  string
	Versions []string
	// StreamLifetime is the time of a stream that the versions cover.
	StreamLifetime time.Duration
	// Partial: a version that left before the record was first written may be missing, or streams may have begun at another
	// service.
	Partial bool
}

// RecordStoredSoftware records what the store says of a service; nil if it has no record. A version that is not declared
// may have been until now.
func (p *Pool) RecordStoredSoftware(now time.Time, stored SoftwareVersions) {
	p.prepare()
	history := p.softwareOf(stored.Service)
	history.stored = stored.Versions
	history.storedLifetime = stored.StreamLifetime
	history.storedPartial = stored.Partial
	for _, version := range stored.Versions {
		if _, known := history.removed[version]; !known && history.declared[version] == 0 {
			history.removed[version] = now
		}
	}
}

// UnstoredSoftware lists the services whose record in the store does not have the versions of the time of a stream, or
// that time. The record of a new deployment is partial until an instance has known the upstreams for that long: an instance
// that starts earlier needs the lifetime of the streams, which a configuration may have shortened since they began. A record is
// also partial for that long after the service has lost or gained a route of streams: an instance that starts has not seen that.
func (p *Pool) UnstoredSoftware(now time.Time) (due []SoftwareVersions) {
	if p.Settings.StreamLifetime <= 0 || !p.hasKnownUpstreamsFor(now, firstRecordDelay) {
		return nil
	}
	known := p.hasKnownUpstreamsFor(now, p.Settings.StreamLifetime)
	for service, history := range p.software {
		record := SoftwareVersions{
			Service: service, Versions: slices.Sorted(maps.Keys(history.versions(now, p.Settings.StreamLifetime))),
			StreamLifetime: p.Settings.StreamLifetime,
			Partial:        history.isRecordPartial() && !known || history.hasMoved(now, p.Settings.StreamLifetime),
		}
		if len(record.Versions) > 0 && !history.isStored(record) {
			due = append(due, record)
		}
	}
	return due
}

// isStoredFor reports whether the record in the store names all versions of some time. Streams that live longer may have begun
// since it was written. One that states no time was written for that of the configuration.
func (h *softwareHistory) isStoredFor(length time.Duration) bool {
	return !h.storedPartial && (h.storedLifetime == 0 || h.storedLifetime >= length)
}

// isRecordPartial reports whether the store has no record that names all versions of the time of a stream.
func (h *softwareHistory) isRecordPartial() bool { return h.stored == nil || h.storedPartial }

func (h *softwareHistory) isStored(record SoftwareVersions) bool {
	return h.stored != nil && slices.Equal(record.Versions, h.stored) &&
		record.StreamLifetime == h.storedLifetime && record.Partial == h.storedPartial
}

// hasKnownUpstreamsFor reports whether this instance has known the upstreams for some time.
func (p *Pool) hasKnownUpstreamsFor(now time.Time, length time.Duration) bool {
	return !p.knownSince.IsZero() && now.Sub(p.knownSince) >= length
}
