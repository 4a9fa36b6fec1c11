package node

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/fleet/coordination"
	"lacewingrock.example/lacewingrock/internal/fleet/crashrecord"
	"lacewingrock.example/lacewingrock/internal/fleet/replica"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
)

// crash_records.go keeps the records of requests that crash upstreams in the store. The links carry them too and faster, but
// not to an instance that is cut off from the others, and not over the end of all processes.

const (
	// crashRecordTTL is how long a record is kept in the store.
	crashRecordTTL = 10 * time.Minute
	// crashLeaseReuse is how long one lease is used for new records: they end with it.
	crashLeaseReuse = time.Minute
	// crashRecordBatch is the number of records in one transaction, with a condition each.
	crashRecordBatch = 16
	// crashRecordInterval is how often an instance writes what could not be written yet.
	crashRecordInterval = time.Second
)

// crashRecords is safe for concurrent use.
type crashRecords struct {
	requested chan struct{}

	mutex sync.Mutex
	// revisions are the revisions of the records in the store.
	revisions map[suspect.Fingerprint]int64
	// lease is the lease of the records that this instance wrote last, granted at leasedAt. Only runCrashRecords uses them.
	lease    int64
	leasedAt time.Time
}

// requestWrite requests that new records are written soon.
func (c *crashRecords) requestWrite() {
	select {
	case c.requested <- struct{}{}:
	default: // a write is already pending
	}
}

func (c *crashRecords) setRevision(fingerprint suspect.Fingerprint, revision int64, removed bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if removed {
		delete(c.revisions, fingerprint)
		return
	}
	if c.revisions == nil {
		c.revisions = make(map[suspect.Fingerprint]int64)
	}
	c.revisions[fingerprint] = revision
}

func (c *crashRecords) revision(fingerprint suspect.Fingerprint) int64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.revisions[fingerprint]
}

// applyCrashRecord applies the change of a record in the store. What its end removes is still known until it expires here.
func (n *Node) applyCrashRecord(fingerprint suspect.Fingerprint, item replica.Item) {
	n.crashRecords.setRevision(fingerprint, item.Revision, item.Removed)
	if item.Removed {
		return
	}
	record, err := crashrecord.Decode(item.Key, item.Value)
	if err != nil {
		n.Log.Warn().Err(err).Int64("Revision", item.Revision).Msg("EntryUnreadable")
		return
	}
	n.sharedState.WithLock(func(state *serve.SharedState) { state.Suspects.MergeStored(time.Now(), record) })
}

// runCrashRecords writes the records that this instance has and the store lacks.
func (n *Node) runCrashRecords(ctx context.Context) error {
	ticker := time.NewTicker(crashRecordInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-n.crashRecords.requested:
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		var records []suspect.Record
		n.sharedState.WithLock(func(state *serve.SharedState) { records = state.Suspects.Unstored(time.Now(), crashRecordBatch) })
		if len(records) == 0 {
			continue
		}
		err := n.writeCrashRecords(ctx, records)
		n.Log.Info().Int("Records", len(records)).Err(err).Msg("CrashRecordsWritten")
	}
	return nil
}

// writeCrashRecords writes records. If another instance has just written one of them, the next try is made with that.
func (n *Node) writeCrashRecords(ctx context.Context, records []suspect.Record) (err error) {
	defer func() { err = errors.WithMessage(err, "write crash records") }()
	ctx, cancel := context.WithTimeout(ctx, n.current.Load().Platform.StoreTimeout)
	defer cancel()
	lease, err := n.crashRecordLease(ctx)
	if err != nil {
		return err
	}
	var transaction coordination.Transaction
	for _, record := range records {
		value, err := crashrecord.Encode(record)
		if err != nil {
			return err
		}
		key := crashrecord.Key(record.Fingerprint)
		transaction.Conditions = append(transaction.Conditions, coordination.Condition{Key: key, Revision: n.crashRecords.revision(record.Fingerprint)})
		transaction.Writes = append(transaction.Writes, coordination.Write{Key: key, Value: value, Lease: lease})
	}
	_, err = n.Store.Commit(ctx, transaction) // each record has a revision of its own, which the watch brings
	if errors.Is(err, coordination.ErrLeaseEnded) {
		n.crashRecords.lease = 0
	}
	if err != nil {
		return err
	}
	n.sharedState.WithLock(func(state *serve.SharedState) {
		for _, record := range records {
			state.Suspects.MergeStored(time.Now(), record)
		}
	})
	return nil
}

// crashRecordLease returns a lease that lasts for about the time that records are kept.
func (n *Node) crashRecordLease(ctx context.Context) (lease int64, err error) {
	c := &n.crashRecords
	if c.lease != 0 && time.Since(c.leasedAt) < crashLeaseReuse {
		return c.lease, nil
	}
	now := time.Now()
	lease, err = n.Store.Grant(ctx, crashRecordTTL)
	if err != nil {
		return 0, err
	}
	c.lease, c.leasedAt = lease, now
	return lease, nil
}
