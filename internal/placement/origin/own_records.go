package origin

import "time"

// own_records.go keeps the origins of the streams that one instance has begun, to be written where they outlive it.

// maxOwnRecords bounds the records, so that all of them fit into one value of the store. They are those of minutes.
const maxOwnRecords = 2048

// OwnRecords holds the origins of the latest streams of one instance, oldest first. The zero value is empty. It is not safe
// for concurrent use.
type OwnRecords struct {
	records []ownRecord
	added   int
}

type ownRecord struct {
	stream Stream
	record record
}

// Add records where a stream began. A stream whose software is unknown is not resumed, and not recorded.
func (r *OwnRecords) Add(now time.Time, stream Stream, origin Origin) {
	if !stream.IsValid() || origin.Software == "" {
		return
	}
	r.added++
	r.records = append(r.records, ownRecord{stream: stream, record: record{origin: origin, began: now}})
	r.records = r.records[max(len(r.records)-maxOwnRecords, 0):]
}

// Restore adds the records of the instance's life before, unless it has added its own already.
func (r *OwnRecords) Restore(now time.Time, records []Record) {
	if r.added > 0 {
		return
	}
	for _, one := range records {
		r.Add(now.Add(-one.Age), one.Stream, one.Origin)
	}
}

// Added is the number of records that were ever added.
func (r *OwnRecords) Added() int { return r.added }

// Recent returns the records of the time until now of some services.
func (r *OwnRecords) Recent(now time.Time, within time.Duration, services map[string]bool) (recent []Record) {
	for len(r.records) > 0 && now.Sub(r.records[0].record.began) > within {
		r.records = r.records[1:]
	}
	for _, one := range r.records {
		if services[one.record.origin.Service] {
			recent = append(recent, Record{Stream: one.stream, Origin: one.record.origin, Age: now.Sub(one.record.began)})
		}
	}
	return recent
}
