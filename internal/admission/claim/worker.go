package claim

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/platform/store"
	"lacewingrock.example/lacewingrock/internal/timing/pause"
)

// This file writes the claims of one group. While one write is under way the next operations gather
// and go into the next write together: the store's writes grow with time, not with calls.

// maxTries bounds how often one batch is applied anew after losing a race or an answer.
const maxTries = 8

// recordSize is the most that one claim without an answer takes in the value, rounded up.
const recordSize = 512

type worker struct {
	registry *Registry
	key      string
	queue    chan *request
	outcomes chan *request
	stopped  chan struct{}

	// What the group was when last read or written; known is false when it has to be read.
	known    bool
	revision int64
	group    Group
	size     int
	written  time.Time
	// unwritten outcomes wait for the store.
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

func (w *worker) loop(ctx context.Context) {
	defer close(w.stopped)
	for ctx.Err() == nil {
		w.commit(ctx, w.gather(ctx))
	}
	final, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	w.commit(final, w.drain(nil))
}

// gather waits for an operation and takes along those that wait with it.
func (w *worker) gather(ctx context.Context) []*request {
	var retry <-chan time.Time
	if len(w.unwritten) > 0 {
		retry = time.After(retryEvery)
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
	w.pace(ctx)
	return w.drain(batch)
}

// pace waits until the group may be written again.
func (w *worker) pace(ctx context.Context) {
	pause.For(ctx, writePace-time.Since(w.written))
}

// drain takes all that waits, outcomes first: one of them may free a key that a claim in the same
// batch asks for.
func (w *worker) drain(batch []*request) []*request {
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

// commit applies a batch to the group and swaps it in the store. A write whose answer was lost is
// settled by reading back and applying the batch again: what took effect is recognised by its marks. If
// the store cannot be reached for that, the claims are refused, which is true since nothing was
// dispatched, and recorded as not run once it can.
func (w *worker) commit(ctx context.Context, batch []*request) {
	batch = withoutGivenUp(batch)
	if len(batch) == 0 {
		return
	}
	lost := false
	for range maxTries {
		fresh := !w.known
		if err := w.load(ctx); err != nil {
			break
		}
		res := w.apply(batch)
		if !res.changed && fresh {
			w.answer(batch, res)
			return
		}
		if !res.changed {
			w.known = false
			continue
		}
		err := w.write(ctx, batch, res)
		if err == nil {
			w.answer(batch, res)
			w.forgetAnswers(ctx, res.dropped)
			return
		}
		w.known = false
		if errors.Is(err, store.ErrUnavailable) {
			break
		}
		lost = lost || !errors.Is(err, store.ErrConflict)
	}
	w.fail(batch, lost)
}

func (w *worker) load(ctx context.Context) (err error) {
	if w.known {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := w.registry.Store.Get(ctx, w.key)
	if errors.Is(err, store.ErrNotFound) {
		w.remember(store.Absent, Group{}, 0)
		return nil
	}
	if err != nil {
		return err
	}
	group, err := decode(entry.Value)
	if err != nil {
		return err
	}
	w.remember(entry.Revision, group, len(entry.Value))
	return nil
}

func (w *worker) remember(revision int64, group Group, size int) {
	w.known, w.revision, w.group, w.size = true, revision, group, size
}

func (w *worker) apply(batch []*request) applied {
	operations := make([]operation, 0, len(batch))
	forced := false
	for _, req := range batch {
		operations = append(operations, req.operation)
		forced = forced || req.force
	}
	res := w.group.apply(operations, limits{
		now:       time.Now(),
		runLimit:  w.registry.runLimit(),
		retention: w.registry.retention(),
		room:      max(maxGroup-w.sizeNow(), 0) / recordSize,
	})
	res.changed = res.changed || forced
	return res
}

// sizeNow is the size of the group's value without the claims that are too old to be kept.
func (w *worker) sizeNow() int {
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

func (w *worker) write(ctx context.Context, batch []*request, res applied) (err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for _, req := range batch {
		if err := w.writeAnswer(ctx, req); err != nil {
			return err
		}
	}
	value, err := encode(res.group)
	if err != nil {
		return err
	}
	w.written = time.Now()
	entry, err := w.registry.Store.CompareAndSwap(ctx, w.key, w.revision, value)
	if err != nil {
		return err
	}
	w.remember(entry.Revision, res.group, len(value))
	return nil
}

// writeAnswer keeps a large answer under its own key, before the claim names it.
func (w *worker) writeAnswer(ctx context.Context, req *request) (err error) {
	if req.body == nil {
		return nil
	}
	op := req.operation.(settle)
	key := op.outcome.(Ran).Stored
	_, err = w.registry.Store.CompareAndSwap(ctx, key, store.Absent, req.body)
	if err != nil && !errors.Is(err, store.ErrConflict) {
		return err
	}
	req.body = nil
	return nil
}

// forgetAnswers removes the answers of claims that were dropped. One that stays behind is only waste.
func (w *worker) forgetAnswers(ctx context.Context, dropped []Record) {
	for _, record := range dropped {
		ran, _ := record.State.(Ran)
		if ran.Stored == "" {
			continue
		}
		if entry, err := w.registry.Store.Get(ctx, ran.Stored); err == nil {
			_ = w.registry.Store.Delete(ctx, ran.Stored, entry.Revision)
		}
	}
}

// ---------------------------------------------------------------------------------------------

func withoutGivenUp(batch []*request) []*request {
	kept := batch[:0:0]
	for _, req := range batch {
		if req.state.Load() != requestGivenUp {
			kept = append(kept, req)
		}
	}
	return kept
}

// answer tells each claimant its verdict. A claim whose claimant has gone meanwhile is given back.
func (w *worker) answer(batch []*request, res applied) {
	for i, req := range batch {
		if req.state.CompareAndSwap(requestWaiting, requestAnswered) {
			req.done <- res.verdicts[i]
			continue
		}
		if op, isOpen := req.operation.(open); isOpen && res.verdicts[i] == nil {
			w.giveBack(op, false)
		}
	}
}

// fail refuses the claims and keeps the outcomes for the next try. After a lost write a claim may yet
// take effect, so it is followed by an outcome that is written whatever is read.
func (w *worker) fail(batch []*request, lost bool) {
	for _, req := range batch {
		switch op := req.operation.(type) {
		case settle:
			w.unwritten = append(w.unwritten, req)
		case open:
			if lost {
				w.giveBack(op, true)
			}
			if req.state.CompareAndSwap(requestWaiting, requestAnswered) {
				req.done <- Refuse{Reason: ReasonStore, RetryAfter: time.Second}
			}
		}
	}
}

func (w *worker) giveBack(op open, force bool) {
	w.unwritten = append(w.unwritten, &request{
		operation: settle{identity: op.identity, mark: op.mark, outcome: NotRun{}},
		done:      make(chan Decision, 1),
		force:     force,
	})
}
