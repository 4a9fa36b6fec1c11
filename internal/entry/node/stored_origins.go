package node

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/fleet/coordination"
	"lacewingrock.example/lacewingrock/internal/fleet/originrecord"
	"lacewingrock.example/lacewingrock/internal/fleet/replica"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/placement/origin"
	"lacewingrock.example/lacewingrock/internal/timing/pause"
)

// stored_origins.go keeps in the store where the streams of this instance began, as long as their service has had several
// software versions for the time of a stream, or its routes do not tell the service. Peers keep these records too and get
// them faster, but all instances may end at once: their streams would go on nowhere, although upstreams of their version serve.

const (
	// originWriteInterval is how often an instance of a small fleet writes its records while it begins streams. What began
	// since the last write is lost with all instances.
	originWriteInterval = 500 * time.Millisecond
	// originWritePart is the least interval for each instance of the fleet: all of them together write 80 times a second at
	// the most, a fifth of what the store of a small deployment takes.
	originWritePart = 12500 * time.Microsecond
	// originWritePause is the pause after a failed write.
	originWritePause = time.Second
	// originLeaseReuse is how long one lease is used for writes.
	originLeaseReuse = time.Minute
)

// storedOrigins is safe for concurrent use.
type storedOrigins struct {
	mutex   sync.Mutex
	records origin.OwnRecords

	// written is the number of records that had been added at the last write, which was of some services. lease is the lease
	// of the key, granted at leasedAt for leasedFor. Only runStoredOrigins uses them.
	written   int
	services  map[string]bool
	lease     int64
	leasedAt  time.Time
	leasedFor time.Duration
}

func (o *storedOrigins) add(now time.Time, stream origin.Stream, began origin.Origin) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.records.Add(now, stream, began)
}

func (o *storedOrigins) restore(now time.Time, records []origin.Record) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.records.Restore(now, records)
}

// recent returns the records of some services, and the number of records that were ever added.
func (o *storedOrigins) recent(now time.Time, within time.Duration, services map[string]bool) (records []origin.Record, added int) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.records.Recent(now, within, services), o.records.Added()
}

// restoreOrigins adopts the records of instances in the store, which may have ended. It comes after the configuration of the
// same batch, which says how long records are kept.
func (n *Node) restoreOrigins(changed []replica.Item) {
	for _, item := range changed {
		instance, ok := originrecord.InstanceOf(item.Key)
		if !ok || item.Removed {
			continue
		}
		records, err := originrecord.Decode(item.Key, item.Value)
		if err != nil {
			n.Log.Warn().Err(err).Int64("Revision", item.Revision).Msg("EntryUnreadable")
			continue
		}
		now := time.Now()
		n.origins.add(now, records)
		if instance == n.self.Name {
			n.storedOrigins.restore(now, records) // the next write replaces the value
		}
		n.Log.Info().Str("Instance", instance).Int("Records", len(records)).Int64("Revision", item.Revision).
			Msg("StreamRecordsRestored")
	}
}

// originInterval is the interval between the writes of one instance.
func originInterval(peers int) time.Duration {
	return max(originWriteInterval, time.Duration(peers+1)*originWritePart)
}

// runStoredOrigins writes the records that instances would lack if all ended now.
func (n *Node) runStoredOrigins(ctx context.Context) error {
	for pause.For(ctx, originInterval(n.overlay.peerCount())) {
		if n.storeUnreachable.Load() {
			continue
		}
		if err := n.storeOrigins(ctx, time.Now()); err != nil {
			n.Log.Warn().Err(err).Msg("StreamRecordsNotStored")
			pause.For(ctx, originWritePause)
		}
	}
	return nil
}

// storeOrigins writes the records if there are some that the store lacks.
func (n *Node) storeOrigins(ctx context.Context, now time.Time) (err error) {
	defer func() { err = errors.WithMessage(err, "write origin records") }()
	o := &n.storedOrigins
	var services map[string]bool
	var lifetime time.Duration
	n.sharedState.WithLock(func(state *serve.SharedState) {
		services = state.Pool.ServicesWithoutProof(now)
		lifetime = state.Pool.Settings.StreamLifetime
	})
	records, added := o.recent(now, lifetime, services)
	if len(records) == 0 || added == o.written && maps.Equal(services, o.services) {
		return nil
	}
	value, err := originrecord.Encode(records)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, n.current.Load().Platform.StoreTimeout)
	defer cancel()
	if err := n.leaseOrigins(ctx, now, lifetime); err != nil {
		return err
	}
	write := coordination.Write{Key: originrecord.Key(n.self.Name), Value: value, Lease: o.lease}
	_, err = n.Store.Commit(ctx, coordination.Transaction{Writes: []coordination.Write{write}})
	n.scope.Counter("origin_records_stored").Inc(int64(len(records)))
	if errors.Is(err, coordination.ErrLeaseEnded) {
		o.lease = 0
	}
	if err != nil {
		return err
	}
	o.written, o.services = added, services
	return nil
}

// leaseOrigins has a lease that lasts for the time of a stream after the last write with it. Nobody else removes the records
// of an instance that does not come back.
func (n *Node) leaseOrigins(ctx context.Context, now time.Time, lifetime time.Duration) error {
	o := &n.storedOrigins
	if o.lease != 0 && now.Sub(o.leasedAt) < originLeaseReuse && lifetime <= o.leasedFor {
		return nil
	}
	lease, err := n.Store.Grant(ctx, min(originLeaseReuse+lifetime, origin.MaxLifetime))
	if err != nil {
		return err
	}
	o.lease, o.leasedAt, o.leasedFor = lease, now, lifetime
	return nil
}
