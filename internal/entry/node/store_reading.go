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

// reading.go reads the store. Each call is billed and a watch counts as one, so one instance watches for
// all; the others follow by heartbeats. Each reads by itself as soon as nobody has a recent confirmation.

const (
	// watchFor is how long one watch waits. It also bounds how old the confirmation gets while nothing
	// changes.
	watchFor = 600 * time.Millisecond
	// watchEvery paces the watches while there are many changes: a change is known this much later, of
	// the two seconds that there are.
	watchEvery = 250 * time.Millisecond
	// readAfter is how old the confirmation may get until the next instance in line reads by itself, and
	// readStep what the next one waits on top, see readDelay.
	readAfter = 1100 * time.Millisecond
	readStep  = 150 * time.Millisecond
	// leaveReader is how old the store's confirmation may get until the order of the readers is found out anew although
	// nothing is known to have changed. It is longer than a watch.
	leaveReader = 900 * time.Millisecond
	// readPause is the pause between two looks at whether to read, and after a failure in a small fleet.
	readPause = 120 * time.Millisecond
)

// readingOrder is the subject by which the instances line up for reading.
const readingOrder = "reading"

// runReading reads the store whenever it is this instance's turn.
func (n *Node) runReading(ctx context.Context) error {
	reached := true
	for ctx.Err() == nil {
		if !n.shouldRead(time.Now()) {
			pause.For(ctx, readPause)
			continue
		}
		began := time.Now()
		err := n.read(ctx)
		n.scope.Tagged(map[string]string{"reached": strconv.FormatBool(err == nil)}).Counter("store_reads").Inc(1)
		if (err == nil) != reached && ctx.Err() == nil {
			reached = err == nil
			n.storeUnreachable.Store(!reached)
			n.overlay.urge() // the next in line takes over, or need not read any more
			n.Log.Warn().Bool("Reached", reached).Err(err).Msg("Store")
		}
		if err != nil {
			n.storeFailed.Store(time.Now().UnixNano())
			pause.For(ctx, failurePause(n.overlay.peerCount()))
			continue
		}
		pause.For(ctx, watchEvery-time.Since(began))
	}
	return nil
}

// failurePause is the pause after a failure, for a number of peers.
//
// Made for an outage of the store in a large fleet. When all others say that they do not reach it, each instance is the
// first in line and tries by itself; each try is billed, and when the store is back it first has to turn most of them
// away. So the tries of all instances together stay as frequent as those of a small fleet. The first one that reaches
// the store lets the others know at once.
func failurePause(peers int) time.Duration {
	return readPause * time.Duration(max(peers, peersAtFullPace)) / peersAtFullPace
}

// shouldRead reports whether it is this instance's turn.
func (n *Node) shouldRead(now time.Time) bool {
	k := &n.knowledge
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.replica.Revision() == 0 {
		return true
	}
	instances := k.roster.Instances()
	unchanged := !n.overlay.readersChanged.Swap(false) && isSameList(instances, k.readers)
	if unchanged && !k.reader && now.Sub(k.confirmed.last()) < leaveReader {
		return false
	}
	k.readers = instances
	var names []string
	for _, instance := range instances {
		if instance.Name == n.self.Name || n.overlay.reads(now, instance.Name) {
			names = append(names, instance.Name)
		}
	}
	rank := roster.Rank(readingOrder, n.self.Name, names)
	k.reader = rank == 0
	if k.reader {
		return true
	}
	return now.Sub(k.confirmed.last()) > readAfter+readDelay(rank)
}

// readDelay is how much longer an instance waits than the first in line. It grows with the square root of the place:
// one that has lost its link is not to wait for all others of a large fleet, of which it knows nothing.
func readDelay(rank int) time.Duration {
	return time.Duration(math.Sqrt(float64(rank)) * float64(readStep))
}

// read makes one call: a snapshot at the beginning and where the history is gone, else a watch.
func (n *Node) read(ctx context.Context) error {
	k := &n.knowledge
	k.mutex.Lock()
	revision := k.replica.Revision()
	k.mutex.Unlock()
	if revision == 0 {
		return n.readSnapshot(ctx)
	}
	began := time.Now()
	batch, err := n.Store.Watch(ctx, revision, watchFor)
	if errors.Is(err, coordination.ErrCompacted) {
		return n.readSnapshot(ctx)
	}
	if err != nil {
		return err
	}
	n.merge(batch, confirmedAt(began, time.Now(), len(batch.Items) > 0), fromStore)
	return nil
}

// confirmedAt is when the store confirmed what a watch has given, which began and ended at the given moments. With
// changes that is when it began: what came after the first of them may not be among them. Without any it is when the
// store's wait was over, as the answer may have taken long since.
func confirmedAt(began, ended time.Time, changes bool) time.Time {
	if changes {
		return began
	}
	return began.Add(min(ended.Sub(began), watchFor))
}

func (n *Node) readSnapshot(ctx context.Context) error {
	began := time.Now()
	batch, err := n.Store.Snapshot(ctx)
	if err != nil {
		return err
	}
	n.merge(batch, began, fromStore)
	n.Log.Info().Int64("Revision", batch.Through).Int("Items", len(batch.Items)).Msg("SnapshotRead")
	return nil
}
