package node

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/fleet/coordination"
	"lacewingrock.example/lacewingrock/internal/fleet/replica"
	"lacewingrock.example/lacewingrock/internal/fleet/softwarerecord"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
	"lacewingrock.example/lacewingrock/internal/timing/pause"
)

// software_records.go keeps in the store which software versions the upstreams of each service have had for the time of a
// stream. After all instances have ended, no other record is left of where streams began: those of the only version go on
// at once, and those of several nowhere. A record changes twice with each release.

const (
	// softwareRecordInterval is how often an instance looks for records that are due.
	softwareRecordInterval = 200 * time.Millisecond
	// softwareRecordPause is the pause after a failed write.
	softwareRecordPause = time.Second
	// softwareSubject is the prefix of the rendezvous-hashing subjects of services: one instance writes each record.
	softwareSubject = "software\x00"
)

// softwareRecords has the revisions of the records in the store. It is safe for concurrent use.
type softwareRecords struct {
	mutex     sync.Mutex
	revisions map[string]int64
}

func (r *softwareRecords) setRevision(service string, revision int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.revisions == nil {
		r.revisions = make(map[string]int64)
	}
	r.revisions[service] = revision
}

func (r *softwareRecords) revision(service string) int64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.revisions[service]
}

// applySoftwareRecord applies the change of a record in the store.
func (n *Node) applySoftwareRecord(service string, item replica.Item) {
	stored := pool.SoftwareVersions{Service: service}
	revision := item.Revision
	if item.Removed {
		revision = 0
	} else {
		record, err := softwarerecord.Decode(item.Key, item.Value)
		if err != nil {
			n.Log.Warn().Err(err).Int64("Revision", item.Revision).Msg("EntryUnreadable")
		}
		stored.Versions = record.Versions
		stored.StreamLifetime = record.StreamLifetime
		stored.Partial = record.Partial
	}
	n.extendStreamLifetime(time.Now(), stored.StreamLifetime)
	n.softwareRecords.setRevision(service, revision)
	n.sharedState.WithLock(func(state *serve.SharedState) { state.Pool.RecordStoredSoftware(time.Now(), stored) })
}

// runSoftwareRecords writes the records that are due and that no other instance writes.
func (n *Node) runSoftwareRecords(ctx context.Context) error {
	for pause.For(ctx, softwareRecordInterval) {
		var due []pool.SoftwareVersions
		n.sharedState.WithLock(func(state *serve.SharedState) { due = state.Pool.UnstoredSoftware(time.Now()) })
		for _, record := range due {
			if !n.writesSoftwareRecord(record.Service) {
				continue
			}
			err := n.writeSoftwareRecord(ctx, record)
			n.Log.Info().Str("Service", record.Service).Strs("Versions", record.Versions).
				Int64("StreamLifetimeMillis", record.StreamLifetime.Milliseconds()).Bool("Partial", record.Partial).
				Err(err).Msg("SoftwareRecordWritten")
			if err != nil {
				pause.For(ctx, softwareRecordPause)
			}
		}
	}
	return nil
}

// writesSoftwareRecord reports whether this instance is the one to write the record of a service: the first in rank of
// those that are alive and reach the store.
func (n *Node) writesSoftwareRecord(service string) bool {
	if n.storeUnreachable.Load() {
		return false
	}
	n.view.mutex.Lock()
	joined := n.view.roster.Instances()
	n.view.mutex.Unlock()
	unreachable := func(name string) bool { return n.overlay.storeUnreachable[name] }
	first, found := n.overlay.firstAlive(time.Now(), softwareSubject+service, joined, unreachable)
	return found && first.Name == n.self.Name
}

func (n *Node) writeSoftwareRecord(ctx context.Context, record pool.SoftwareVersions) (err error) {
	defer func() { err = errors.WithMessage(err, "write software record") }()
	ctx, cancel := context.WithTimeout(ctx, n.current.Load().Platform.StoreTimeout)
	defer cancel()
	value, err := softwarerecord.Encode(softwarerecord.Record{
		Versions: record.Versions, StreamLifetime: record.StreamLifetime, Partial: record.Partial,
	})
	if err != nil {
		return err
	}
	key := softwarerecord.Key(record.Service)
	_, err = n.Store.Commit(ctx, coordination.Transaction{
		Conditions: []coordination.Condition{{Key: key, Revision: n.softwareRecords.revision(record.Service)}},
		Writes:     []coordination.Write{{Key: key, Value: value}},
	})
	return err
}
