package claim

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/platform/store"
	"lacewingrock.example/lacewingrock/internal/timing/pause"
)

// This file writes the claims of one group. While one write is in progress, further operations queue up and share
// the next write, so the store's write rate does not grow with the number of calls.

// maxAttempts bounds how often one batch is applied again after a write conflict or a lost response.
const maxAttempts = 8

// recordSize is the maximum size of one claim without a response in the stored value, rounded up.
const recordSize = 512

type worker struct {
	registry *Registry
	key      string
	queue    chan *request
	outcomes chan *request
	stopped  chan struct{}

	// The group as last read or written; cached is false if it has to be read.
	cached    bool
	revision  int64
	group     Group
	size      int
	lastWrite time.Time
	// unwritten holds the outcomes still to be written to the store.
	unwritten []*request
}

func newWorker(r *Registry, index int) *worker {
	return &worker{
		registry: r,
		key:      groupPrefix + strconv.Itoa(index),
		queue:    make(chan *request, queueLength),
		outcomes: make(chan *request, queueLength),
		stopped:  make(chan struct{}),
	}
}

func (w *worker) run(ctx context.Context) {
	defer close(w.stopped)
	for ctx.Err() == nil {
		w.commit(ctx, w.collectBatch(ctx))
	}
	finalCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	w.commit(finalCtx, w.drainQueues(nil))
}

// collectBatch waits for an operation and collects all others that are queued.
func (w *worker) collectBatch(ctx context.Context) []*request {
	var retry <-chan time.Time
	if len(w.unwritten) > 0 {
		retry = time.After(retryInterval)
	}
	var batch []*request
	select {
	case <-ctx.Done():
		return nil
	case req := <-w.queue:
		batch = append(batch, req)
	case req := <-w.outcomes:
		batch = append(batch, req)
	case <-retry:
	}
	w.throttle(ctx)
	return w.drainQueues(batch)
}

// throttle waits until the group may be written again.
func (w *worker) throttle(ctx context.Context) {
	pause.For(ctx, minWriteInterval-time.Since(w.lastWrite))
}

// drainQueues takes everything that is queued, outcomes first: an outcome may free a key that a claim in the same
// batch requests.
func (w *worker) drainQueues(batch []*request) []*request {
	batch = append(w.unwritten, batch...)
	w.unwritten = nil
	for len(batch) < queueLength {
		select {
		case req := <-w.outcomes:
			batch = append(batch, req)
			continue
		default:
		}
		select {
		case req := <-w.queue:
			batch = append(batch, req)
			continue
		default:
		}
		break
	}
	return batch
}

// ---------------------------------------------------------------------------------------------

// commit applies a batch to the group and writes it to the store by compare-and-swap. If the response to a write is
// lost, commit reads the group back and applies the batch again: claims that took effect are recognised by their
// IDs. If the store cannot be reached for that, the claims are refused. This is correct since nothing was
// dispatched; they are recorded as not run once the store is reachable again.
func (w *worker) commit(ctx context.Context, batch []*request) {
	batch = withoutAbandoned(batch)
	if len(batch) == 0 {
		return
	}
	uncertain := false
	for range maxAttempts {
		justRead := !w.cached
		if err := w.load(ctx); err != nil {
			break
		}
		res := w.apply(batch)
		if !res.changed && justRead {
			w.complete(batch, res)
			return
		}
		if !res.changed {
			w.cached = false
			continue
		}
		err := w.write(ctx, batch, res)
		if err == nil {
			w.complete(batch, res)
			w.deleteStoredBodies(ctx, res.dropped)
			return
		}
		w.cached = false
		if errors.Is(err, store.ErrUnavailable) {
			break
		}
		uncertain = uncertain || !errors.Is(err, store.ErrConflict)
	}
	w.fail(batch, uncertain)
}

func (w *worker) load(ctx context.Context) (err error) {
	if w.cached {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := w.registry.Store.Get(ctx, w.key)
	if errors.Is(err, store.ErrNotFound) {
		w.cache(store.Absent, Group{}, 0)
		return nil
	}
	if err != nil {
		return err
	}
	group, err := decode(entry.Value)
	if err != nil {
		return err
	}
	w.cache(entry.Revision, group, len(entry.Value))
	return nil
}

func (w *worker) cache(revision int64, group Group, size int) {
	w.cached, w.revision, w.group, w.size = true, revision, group, size
}

func (w *worker) apply(batch []*request) batchResult {
	operations := make([]operation, 0, len(batch))
	forced := false
	for _, req := range batch {
		operations = append(operations, req.operation)
		forced = forced || req.force
	}
	res := w.group.apply(operations, limits{
		now:        time.Now(),
		maxRunTime: w.registry.maxRunTime(),
		retention:  w.registry.retention(),
		room:       max(maxGroupSize-w.currentSize(), 0) / recordSize,
	})
	res.changed = res.changed || forced
	return res
}

// currentSize returns the size of the group's value without expired claims.
func (w *worker) currentSize() int {
	kept, dropped := w.group.WithoutOlder(time.Now().Add(-w.registry.retention()))
	if len(dropped) == 0 {
		return w.size
	}
	value, err := encode(kept)
	if err != nil {
		return w.size
	}
	return len(value)
}

func (w *worker) write(ctx context.Context, batch []*request, res batchResult) (err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	for _, req := range batch {
		if err := w.storeBody(ctx, req); err != nil {
			return err
		}
	}
	value, err := encode(res.group)
	if err != nil {
		return err
	}
	w.lastWrite = time.Now()
	entry, err := w.registry.Store.CompareAndSwap(ctx, w.key, w.revision, value)
	if err != nil {
		return err
	}
	w.cache(entry.Revision, res.group, len(value))
	return nil
}

// storeBody stores a large response body under its own key, before the claim refers to it.
func (w *worker) storeBody(ctx context.Context, req *request) (err error) {
	if req.body == nil {
		return nil
	}
	op := req.operation.(outcomeOperation)
	key := op.outcome.(Ran).StoreKey
	_, err = w.registry.Store.CompareAndSwap(ctx, key, store.Absent, req.body)
	if err != nil && !errors.Is(err, store.ErrConflict) {
		return err
	}
	req.body = nil
	return nil
}

// deleteStoredBodies deletes the stored response bodies of dropped claims. One that is not deleted only wastes
// space.
func (w *worker) deleteStoredBodies(ctx context.Context, dropped []Record) {
	for _, record := range dropped {
		ran, _ := record.State.(Ran)
		if ran.StoreKey == "" {
			continue
		}
		if entry, err := w.registry.Store.Get(ctx, ran.StoreKey); err == nil {
			_ = w.registry.Store.Delete(ctx, ran.StoreKey, entry.Revision)
		}
	}
}

// ---------------------------------------------------------------------------------------------

func withoutAbandoned(batch []*request) []*request {
	kept := batch[:0:0]
	for _, req := range batch {
		if req.state.Load() != requestAbandoned {
			kept = append(kept, req)
		}
	}
	return kept
}

// complete returns the decisions to the claimants. A claim whose claimant has stopped waiting is released.
func (w *worker) complete(batch []*request, res batchResult) {
	for i, req := range batch {
		if req.state.CompareAndSwap(requestWaiting, requestCompleted) {
			req.done <- res.decisions[i]
			continue
		}
		if op, isClaim := req.operation.(claimOperation); isClaim && res.decisions[i] == nil {
			w.release(op, false)
		}
	}
}

// fail refuses the claims and keeps the outcomes for the next attempt. If a write may still take effect, its claims
// are released by an outcome that is written whatever the group then contains.
func (w *worker) fail(batch []*request, uncertain bool) {
	for _, req := range batch {
		switch op := req.operation.(type) {
		case outcomeOperation:
			w.unwritten = append(w.unwritten, req)
		case claimOperation:
			if uncertain {
				w.release(op, true)
			}
			if req.state.CompareAndSwap(requestWaiting, requestCompleted) {
				req.done <- Refuse{Reason: ReasonStore, RetryAfter: time.Second}
			}
		}
	}
}

func (w *worker) release(op claimOperation, force bool) {
	w.unwritten = append(w.unwritten, &request{
		operation: outcomeOperation{keyHash: op.keyHash, claimID: op.claimID, outcome: NotRun{}},
		done:      make(chan Decision, 1),
		force:     force,
	})
}
