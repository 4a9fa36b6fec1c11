package node

import (
	"context"
	"math"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/fleet/coordination"
	"lacewingrock.example/lacewingrock/internal/fleet/roster"
	"lacewingrock.example/lacewingrock/internal/timing/pause"
)

// store_reading.go reads the store. Each call is billed, and a watch counts as one call, so one instance watches for
// all. The others receive the changes over the gossip links. Each instance reads the store itself when the last
// confirmation gets too old.

const (
	// watchTimeout is how long one watch waits. It also bounds the age of the confirmation while nothing changes.
	watchTimeout = 600 * time.Millisecond
	// watchInterval is the minimum interval between watches while there are many changes. It delays a change by that
	// much, of the two seconds that are allowed.
	watchInterval = 250 * time.Millisecond
	// fallbackAge is the age of the confirmation at which the instance with the next rank reads the store itself.
	// fallbackStep is the additional wait of the ranks after it, see readDelay.
	fallbackAge  = 1100 * time.Millisecond
	fallbackStep = 150 * time.Millisecond
	// rerankAge is the age of the confirmation at which the reader ranks are computed again even if no change is known.
	// It is longer than a watch.
	rerankAge = 900 * time.Millisecond
	// readCheckInterval is the interval between checks whether to read, and the pause after a failure in a small fleet.
	readCheckInterval = 120 * time.Millisecond
)

// readerRankSubject is the subject by which the instances are ranked as readers.
const readerRankSubject = "reading"

// runStoreReading reads the store whenever this instance has to.
func (n *Node) runStoreReading(ctx context.Context) error {
	reached := true
	for ctx.Err() == nil {
		if !n.shouldRead(time.Now()) {
			pause.For(ctx, readCheckInterval)
			continue
		}
		start := time.Now()
		err := n.read(ctx)
		n.scope.Tagged(map[string]string{"reached": strconv.FormatBool(err == nil)}).Counter("store_reads").Inc(1)
		if (err == nil) != reached && ctx.Err() == nil {
			reached = err == nil
			n.storeUnreachable.Store(!reached)
			n.overlay.requestStateSend() // the instance with the next rank takes over, or stops reading
			n.Log.Warn().Bool("Reached", reached).Err(err).Msg("Store")
		}
		if err != nil {
			n.storeFailedAt.Store(time.Now().UnixNano())
			pause.For(ctx, failureBackoff(n.overlay.peerCount()))
			continue
		}
		pause.For(ctx, watchInterval-time.Since(start))
	}
	return nil
}

// failureBackoff is the pause after a failure, for a number of peers.
//
// It covers an outage of the store in a large fleet. When all others report that they cannot reach the store, every
// instance has the first rank and retries by itself. Each attempt is billed, and when the store comes back it first has
// to refuse most of the calls. The backoff therefore keeps the total rate of attempts of all instances at that of a
// small fleet. The first instance that reaches the store notifies the others immediately.
func failureBackoff(peers int) time.Duration {
	return readCheckInterval * time.Duration(max(peers, peersAtBaseInterval)) / peersAtBaseInterval
}

// shouldRead reports whether this instance has to read the store now.
func (n *Node) shouldRead(now time.Time) bool {
	v := &n.view
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.replica.Revision() == 0 {
		return true
	}
	instances := v.roster.Instances()
	unchanged := !n.overlay.readersChanged.Swap(false) && isSameList(instances, v.readerCandidates)
	if unchanged && !v.reader && now.Sub(v.confirmed.last()) < rerankAge {
		return false
	}
	v.readerCandidates = instances
	var names []string
	for _, instance := range instances {
		if instance.Name == n.self.Name || n.overlay.canReadStore(now, instance.Name) {
			names = append(names, instance.Name)
		}
	}
	rank := roster.Rank(readerRankSubject, n.self.Name, names)
	v.reader = rank == 0
	if v.reader {
		return true
	}
	return now.Sub(v.confirmed.last()) > fallbackAge+readDelay(rank)
}

// readDelay is how much longer an instance waits than the one with the first rank. It grows with the square root of the
// rank: an instance of a large fleet that has lost its link must not wait for all the others, whose state it does not
// know.
func readDelay(rank int) time.Duration {
	return time.Duration(math.Sqrt(float64(rank)) * float64(fallbackStep))
}

// read makes one call: a snapshot at the start and when the history has been compacted, otherwise a watch.
func (n *Node) read(ctx context.Context) error {
	v := &n.view
	v.mutex.Lock()
	revision := v.replica.Revision()
	v.mutex.Unlock()
	if revision == 0 {
		return n.readSnapshot(ctx)
	}
	start := time.Now()
	batch, err := n.Store.Watch(ctx, revision, watchTimeout)
	if errors.Is(err, coordination.ErrCompacted) {
		return n.readSnapshot(ctx)
	}
	if err != nil {
		return err
	}
	n.merge(batch, confirmedAt(start, time.Now(), len(batch.Items) > 0), sourceStore)
	return nil
}

// confirmedAt returns when the store confirmed the result of a watch with the given start and end. With changes that is
// the start: changes made after the first of them may be missing from the result. Without changes it is when the wait
// of the store was over, because the response may have been delayed since then.
func confirmedAt(start, end time.Time, changes bool) time.Time {
	if changes {
		return start
	}
	return start.Add(min(end.Sub(start), watchTimeout))
}

func (n *Node) readSnapshot(ctx context.Context) error {
	start := time.Now()
	batch, err := n.Store.Snapshot(ctx)
	if err != nil {
		return err
	}
	n.merge(batch, start, sourceStore)
	n.Log.Info().Int64("Revision", batch.Through).Int("Items", len(batch.Items)).Msg("SnapshotRead")
	return nil
}
