package claim

import (
	"maps"
	"time"
)

// This file makes the decisions, without access to the store. A Group is the value of one key in the store.
// Applying a batch of operations to it yields the next value and a decision for each operation. The claim IDs make
// this idempotent: a writer that got no response applies the same batch to the value that it reads back.

// Record is one claim. Body is the hash of the request. ClaimID is known only to the writer of the claim.
type Record struct {
	Body      string
	ClaimID   string
	ClaimedAt time.Time
	State     State
}

// Group holds the claims that share one value in the store, by the hash of workspace and key. It is immutable.
type Group struct {
	records map[string]Record
}

// Len returns the number of claims.
func (g Group) Len() int { return len(g.records) }

// Record returns a claim.
func (g Group) Record(keyHash string) (record Record, found bool) {
	record, found = g.records[keyHash]
	return record, found
}

// WithoutOlder returns the group without the claims made before the cutoff, and the claims that it dropped.
func (g Group) WithoutOlder(cutoff time.Time) (kept Group, dropped []Record) {
	for keyHash, record := range g.records {
		if record.ClaimedAt.Before(cutoff) {
			dropped = append(dropped, record)
			if kept.records == nil {
				kept.records = maps.Clone(g.records)
			}
			delete(kept.records, keyHash)
		}
	}
	if len(dropped) == 0 {
		return g, nil
	}
	return kept, dropped
}

// ---------------------------------------------------------------------------------------------

// operation is an operation on a group. It is a sealed type: claimOperation or outcomeOperation.
type operation interface {
	sealedOperation()
}

// claimOperation requests a claim.
type claimOperation struct {
	keyHash  string
	bodyHash string
	claimID  string
	at       time.Time
}

// outcomeOperation records the outcome of the claim with the given ID.
type outcomeOperation struct {
	keyHash string
	claimID string
	outcome State
}

func (claimOperation) sealedOperation()   {}
func (outcomeOperation) sealedOperation() {}

// limits holds the parameters of a batch that are not part of the group. Room is the number of claims that may be
// added.
type limits struct {
	now        time.Time
	maxRunTime time.Duration
	retention  time.Duration
	room       int
}

// batchResult is the result of a batch. The decision for a claimOperation is nil if the key is claimed for it.
type batchResult struct {
	group     Group
	changed   bool
	decisions []Decision
	dropped   []Record
}

// apply drops the claims older than the retention and then applies a batch of operations in order.
func (g Group) apply(batch []operation, limits limits) batchResult {
	kept, dropped := g.WithoutOlder(limits.now.Add(-limits.retention))
	next := draft{records: maps.Clone(kept.records), limits: limits}
	if next.records == nil {
		next.records = map[string]Record{}
	}
	var decisions []Decision
	for _, op := range batch {
		switch op := op.(type) {
		case claimOperation:
			decisions = append(decisions, next.claim(op))
		case outcomeOperation:
			next.recordOutcome(op)
			decisions = append(decisions, nil)
		}
	}
	return batchResult{group: Group{records: next.records}, changed: next.changed, decisions: decisions, dropped: dropped}
}

// draft is a mutable copy of a group.
type draft struct {
	records map[string]Record
	limits  limits
	added   int
	changed bool
}

func (d *draft) claim(op claimOperation) Decision {
	existing, found := d.records[op.keyHash]
	if found && existing.ClaimID == op.claimID {
		return nil
	}
	if found {
		if decision := existing.decide(op, d.limits); decision != nil {
			return decision
		}
	}
	if d.added >= d.limits.room {
		return Refuse{Reason: ReasonFull, RetryAfter: time.Minute}
	}
	d.records[op.keyHash] = Record{Body: op.bodyHash, ClaimID: op.claimID, ClaimedAt: op.at, State: Claimed{}}
	d.added++
	d.changed = true
	return nil
}

func (d *draft) recordOutcome(op outcomeOperation) {
	existing, found := d.records[op.keyHash]
	if !found || existing.ClaimID != op.claimID {
		return
	}
	if _, pending := existing.State.(Claimed); !pending {
		return
	}
	existing.State = op.outcome
	d.records[op.keyHash] = existing
	d.changed = true
}

// decide returns the decision for another call with the record's key, or nil if that call may claim the key again.
// After NotRun a different body is accepted, since nothing ran under the key yet.
func (r Record) decide(op claimOperation, limits limits) Decision {
	if _, notRun := r.State.(NotRun); notRun {
		return nil
	}
	if r.Body != op.bodyHash {
		return BodyMismatch{}
	}
	switch state := r.State.(type) {
	case Ran:
		return Replay{Response: state.Response, Kept: state.Kept, storeKey: state.StoreKey}
	case Unknown:
		return OutcomeUnknown{}
	}
	if limits.now.Sub(r.ClaimedAt) > limits.maxRunTime {
		return OutcomeUnknown{}
	}
	return InProgress{RetryAfter: time.Second}
}
