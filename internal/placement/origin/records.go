package origin

import "time"

// records.go keeps the origins of recent streams in a bounded memory.

// maxRecords bounds the records of one generation, which take some hundred bytes each.
const maxRecords = 20_000

// Records keeps the origins of streams for Retention at least, and twice that at most, unless there are more than
// maxRecords. Set Retention before use; 0 keeps nothing. It is not safe for concurrent use.
type Records struct {
	// Retention is how long after the first event a caller may resume its stream.
	Retention time.Duration

	current   map[Stream]record
	previous  map[Stream]record
	rotatedAt time.Time
	// unsent are the records of each service that no other instance keeps yet, oldest first.
	unsent map[string][]unsent
}

type record struct {
	origin Origin
	began  time.Time
}

type unsent struct {
	stream Stream
	record record
}

// Add records where a stream began, as seen by this instance or by the peer that sent the record. If the stream is known
// with another software version, two streams have the same id, and the origin of both is unknown from then on.
func (r *Records) Add(now time.Time, added Record) {
	if r.Retention <= 0 || !added.Stream.IsValid() {
		return
	}
	r.rotate(now)
	entry := record{origin: added.Origin, began: now.Add(-added.Age)}
	if known, found := r.find(added.Stream); found {
		if !known.origin.IsSameSoftware(added.Origin) {
			known.origin.Software = ""
		}
		entry = known
	}
	r.current[added.Stream] = entry
}

// AddOwn records where a stream of this instance began, to be sent to other instances if TakeUnsent asks for it in time.
func (r *Records) AddOwn(now time.Time, stream Stream, origin Origin) {
	if r.Retention <= 0 || !stream.IsValid() {
		return
	}
	r.Add(now, Record{Stream: stream, Origin: origin})
	if r.unsent == nil {
		r.unsent = make(map[string][]unsent)
	}
	list := append(r.unsent[origin.Service], unsent{stream: stream, record: record{origin: origin, began: now}})
	r.unsent[origin.Service] = r.withoutOld(now, list)
}

// TakeUnsent returns the records of a service that were not taken before and that callers may still need.
func (r *Records) TakeUnsent(now time.Time, service string) (records []Record) {
	for _, one := range r.withoutOld(now, r.unsent[service]) {
		records = append(records, Record{Stream: one.stream, Origin: one.record.origin, Age: now.Sub(one.record.began)})
	}
	delete(r.unsent, service)
	return records
}

// UnsentServices lists the services with records that were not taken.
func (r *Records) UnsentServices() (services []string) {
	for service := range r.unsent {
		services = append(services, service)
	}
	return services
}

// All returns all records that callers may still need.
func (r *Records) All(now time.Time) (records []Record) {
	for _, generation := range []map[Stream]record{r.current, r.previous} {
		for stream, known := range generation {
			if age := now.Sub(known.began); age <= r.Retention {
				records = append(records, Record{Stream: stream, Origin: known.origin, Age: age})
			}
		}
	}
	return records
}

// Find returns the record of a stream.
func (r *Records) Find(now time.Time, stream Stream) (found Record, ok bool) {
	r.rotate(now)
	known, ok := r.find(stream)
	return Record{Stream: stream, Origin: known.origin, Age: now.Sub(known.began)}, ok
}

func (r *Records) find(stream Stream) (known record, found bool) {
	if known, found = r.current[stream]; !found {
		known, found = r.previous[stream]
	}
	return known, found
}

// rotate drops the older generation if the younger one is full, or as old as records are kept.
func (r *Records) rotate(now time.Time) {
	if r.current != nil && len(r.current) < maxRecords && now.Sub(r.rotatedAt) < r.Retention {
		return
	}
	r.previous = r.current
	r.current = make(map[Stream]record)
	r.rotatedAt = now
}

// withoutOld returns a list without the records that are too old or too many.
func (r *Records) withoutOld(now time.Time, list []unsent) []unsent {
	for len(list) > 0 && (len(list) > maxRecords || now.Sub(list[0].record.began) > r.Retention) {
		list = list[1:]
	}
	return list
}
