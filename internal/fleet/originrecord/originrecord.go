// Package originrecord reads and writes the records of where the streams of one instance began. They are in the platform's
// store and outlive the instances, which may all end at once.
package originrecord

import (
	"encoding/json"
	"strings"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/placement/origin"
)

const prefix = "fleet/origins/"

// Key returns the key of an instance's records.
func Key(instance string) string { return prefix + instance }

// InstanceOf returns the instance whose records a key holds.
func InstanceOf(key string) (instance string, ok bool) { return strings.CutPrefix(key, prefix) }

// originWire lists the streams of one workspace that began at one life of an upstream.
type originWire struct {
	Workspace     string `json:",omitempty"`
	Service       string
	Software      string
	Upstream      string
	StartedMillis int64
	IDs           []string
}

// group identifies the streams of an originWire.
type group struct {
	workspace string
	origin    origin.Origin
}

// Encode returns the value of the key. Ages are not written: clocks of the time of day differ.
func Encode(records []origin.Record) ([]byte, error) {
	wire := []originWire{}
	index := make(map[group]int)
	for _, record := range records {
		key := group{workspace: record.Stream.Workspace, origin: record.Origin}
		at, found := index[key]
		if !found {
			at = len(wire)
			index[key] = at
			wire = append(wire, originWire{
				Workspace: key.workspace, Service: record.Origin.Service, Software: record.Origin.Software,
				Upstream: record.Origin.Upstream, StartedMillis: record.Origin.StartedMillis,
			})
		}
		wire[at].IDs = append(wire[at].IDs, record.Stream.ID)
	}
	return json.Marshal(wire)
}

// Decode returns the records of a key, by origin. Their age is not known, and 0.
func Decode(key string, value []byte) (records []origin.Record, err error) {
	var wire []originWire
	if err := json.Unmarshal(value, &wire); err != nil {
		return nil, errors.WithMessagef(err, "origin record %s", key)
	}
	for _, one := range wire {
		began := origin.Origin{Service: one.Service, Software: one.Software, Upstream: one.Upstream, StartedMillis: one.StartedMillis}
		for _, id := range one.IDs {
			records = append(records, origin.Record{Stream: origin.Stream{Workspace: one.Workspace, ID: id}, Origin: began})
		}
	}
	return records, nil
}
