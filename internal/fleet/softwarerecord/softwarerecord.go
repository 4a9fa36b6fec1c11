// Package softwarerecord reads and writes the records of the software versions that the upstreams of a service have had
// for the time of a stream. They are in the platform's store and outlive the instances, which may all end at once.
package softwarerecord

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const prefix = "fleet/software/"

// Key returns the key of a service's record.
func Key(service string) string { return prefix + service }

// ServiceOf returns the service whose record a key holds.
func ServiceOf(key string) (service string, ok bool) { return strings.CutPrefix(key, prefix) }

// Record is what is kept of a service.
type Record struct {
	// Versions are those that may have begun a stream which its caller may still resume. One is empty for upstreams that
	// state none.
	Versions []string
	// StreamLifetime is the longest time from the first event of such a stream until its caller resumes it, in whole
	// milliseconds; 0 if it is not known.
	StreamLifetime time.Duration
	// Partial: the record proves nothing. The deployment is younger than StreamLifetime, and a version that left before the
	// record was first written may be missing; or a route was moved within that time, and its streams may have begun at another
	// service.
	Partial bool
}

type recordWire struct {
	Versions       []string
	LifetimeMillis int64
	Partial        bool
}

// Encode returns the value of a record's key.
func Encode(record Record) ([]byte, error) {
	return json.Marshal(recordWire{
		Versions: record.Versions, LifetimeMillis: record.StreamLifetime.Milliseconds(), Partial: record.Partial,
	})
}

// Decode returns the record of a key.
func Decode(key string, value []byte) (record Record, err error) {
	var wire recordWire
	if err := json.Unmarshal(value, &wire); err != nil {
		return Record{}, errors.WithMessagef(err, "software record %s", key)
	}
	lifetime := time.Duration(wire.LifetimeMillis) * time.Millisecond
	return Record{Versions: wire.Versions, StreamLifetime: lifetime, Partial: wire.Partial}, nil
}
