package claim

import (
	"maps"
	"time"
)

// This file decides, without the store: a Group is the value of one key of the store, and applying a
// batch of operations to it gives the next value and a verdict for each operation. Applying is
// idempotent by the operations' marks, so that a writer whose answer was lost applies the same batch
// to what it reads back.

// Record is one claim. Body is the hash of the request, Mark the text that only its writer knows.
type Record struct {
	Body  string
	Mark  string
	At    time.Time
	State State
}

// Group is the claims that share one value of the store, by the hash of workspace and key. It is
// immutable.
type Group struct {
	records map[string]Record
}

// Len is the number of claims.
func (g Group) Len() int { return len(g.records) }

// Record finds a claim.
func (g Group) Record(identity string) (record Record, found bool) {
	record, found = g.records[identity]
	return record, found
}

// WithoutOlder returns the group without the claims made before a moment, and those that it dropped.
func (g Group) WithoutOlder(than time.Time) (kept Group, dropped []Record) {
	for identity, record := range g.records {
		if record.At.Before(than) {
			dropped = append(dropped, record)
			if kept.records == nil {
				kept.records = maps.Clone(g.records)
			}
			delete(kept.records, identity)
		}
	}
	if len(dropped) == 0 {
		return g, nil
	}
	return kept, dropped
}

// ---------------------------------------------------------------------------------------------

// operation on a group is sealed: open and settle are all there are.
type operation interface {
	sealedOperation()
}

// open asks for a claim.
type open struct {
	identity string
	body     string
	mark     string
	at       time.Time
}

// settle records the outcome of the claim that carries the mark.
type settle struct {
	identity string
	mark     string
	outcome  State
}

func (open) sealedOperation()   {}
func (settle) sealedOperation() {}

// limits are what the group's owner knows beside the group. Room is how many more claims it takes.
type limits struct {
	now       time.Time
	runLimit  time.Duration
	retention time.Duration
	room      int
}

// applied is what a batch came to. The verdict of an open is nil when the claim is its own.
type applied struct {
	group    Group
	changed  bool
	verdicts []Decision
	dropped  []Record
}

// apply carries out a batch of operations, in order, after dropping the claims older than the
// retention.
func (g Group) apply(batch []operation, limits limits) applied {
	kept, dropped := g.WithoutOlder(limits.now.Add(-limits.retention))
	next := draft{records: maps.Clone(kept.records), limits: limits}
	if next.records == nil {
		next.records = map[string]Record{}
	}
	var verdicts []Decision
	for _, op := range batch {
		switch op := op.(type) {
		case open:
			verdicts = append(verdicts, next.open(op))
		case settle:
			next.settle(op)
			verdicts = append(verdicts, nil)
		}
	}
	return applied{group: Group{records: next.records}, changed: next.changed, verdicts: verdicts, dropped: dropped}
}

// draft is a group in the making.
type draft struct {
	records map[string]Record
	limits  limits
	added   int
	changed bool
}

func (d *draft) open(op open) Decision {
	known, found := d.records[op.identity]
	if found && known.Mark == op.mark {
		return nil
	}
	if found {
		if verdict := known.decide(op, d.limits); verdict != nil {
			return verdict
		}
	}
	if d.added >= d.limits.room {
		return Refuse{Reason: ReasonFull, RetryAfter: time.Minute}
	}
	d.records[op.identity] = Record{Body: op.body, Mark: op.mark, At: op.at, State: Claimed{}}
	d.added++
	d.changed = true
	return nil
}

func (d *draft) settle(op settle) {
	known, found := d.records[op.identity]
	if !found || known.Mark != op.mark {
		return
	}
	if _, open := known.State.(Claimed); !open {
		return
	}
	known.State = op.outcome
	d.records[op.identity] = known
	d.changed = true
}

// decide tells what another call with the record's key is answered; nil when it may claim the key
// anew. After NotRun another body may be tried: nothing ran under the key yet.
func (r Record) decide(op open, limits limits) Decision {
	if _, notRun := r.State.(NotRun); notRun {
		return nil
	}
	if r.Body != op.body {
		return BodyMismatch{}
	}
	switch state := r.State.(type) {
	case Ran:
		return Replay{Response: state.Response, Kept: state.Kept, stored: state.Stored}
	case Unknown:
		return OutcomeUnknown{}
	}
	if limits.now.Sub(r.At) > limits.runLimit {
		return OutcomeUnknown{}
	}
	return InProgress{RetryAfter: time.Second}
}
