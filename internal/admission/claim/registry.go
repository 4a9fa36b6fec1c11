package claim

import (
	"context"
	"hash/fnv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/platform/store"
)

// GroupCount is the number of store values that the claims are spread over. With fewer groups more claims share a
// write; with more groups more claims fit in total: with responses of 2 KB kept within the claims a value was full
// at 279 claims.
const GroupCount = 64

// minWriteInterval is the minimum time between two writes of one group by one instance. It bounds the store's write
// rate during bursts of bookings: without it, 2,000 claims a second spread over 256 groups cost 3,952 writes a
// second, far more than the store can handle, and operators' changes would queue behind them. A claim whose group
// was not written recently is not delayed.
const minWriteInterval = 250 * time.Millisecond

const (
	// maxInlineBody is the size of the largest response body kept within the claim itself.
	maxInlineBody = 512
	// maxStoredBody is the size of the largest response body kept at all: a value in the store may be up to a
	// megabyte.
	maxStoredBody = 900 << 10
	// maxGroupSize is the size of a group's value above which it accepts no new claims. The rest, up to the store's
	// megabyte, is left for the outcomes of existing claims.
	maxGroupSize = 800 << 10
	// queueLength bounds the operations queued for one group; further claims are refused at once.
	queueLength = 256
	// storeTimeout bounds one call to the store, so that a connection that stopped responding is abandoned.
	storeTimeout = 2 * time.Second
	// retryInterval is the time between two attempts to write outcomes while the store fails.
	retryInterval = 250 * time.Millisecond
)

const (
	groupPrefix    = "claim/"
	responsePrefix = "claim-answer/"
)

// Registry claims idempotency keys in the store. Set the exported fields, then call Run.
type Registry struct {
	Store store.Store
	// Retention is how long claims are kept. It must be equal on all instances.
	Retention time.Duration
	// DispatchWindow is how long after claiming a call may be dispatched.
	DispatchWindow time.Duration
	// MaxRunTime is the age after which the outcome of a claim without an outcome counts as unknown.
	MaxRunTime time.Duration

	once    sync.Once
	workers [GroupCount]*worker
}

// request is an operation queued for a worker.
type request struct {
	operation operation
	done      chan Decision
	// body is a response body too large for the claim. It is first written to the store under its own key.
	body []byte
	// force writes the group even if nothing changed, so that an earlier write with an unknown outcome can no
	// longer take effect.
	force bool
	// state resolves the race between a claimant that stops waiting and the worker that completes the request.
	state atomic.Int32
}

const (
	requestWaiting int32 = iota
	requestCompleted
	requestAbandoned
)

// Run writes claims and outcomes until the context ends, and then writes once more what is still queued.
func (r *Registry) Run(ctx context.Context) error {
	r.createWorkers()
	var group sync.WaitGroup
	for _, w := range r.workers {
		group.Go(func() { w.run(ctx) })
	}
	group.Wait()
	return nil
}

// Claim decides about one call. It waits for the store, at most until the context ends. A claim whose caller has
// left is recorded as not run.
func (r *Registry) Claim(ctx context.Context, workspace, key, bodyHash string) (decision Decision, err error) {
	defer func() { err = errors.WithMessage(err, "claim idempotency key") }()
	r.createWorkers()
	keyHash := hashKey(workspace, key)
	now := time.Now()
	op := claimOperation{keyHash: keyHash, bodyHash: bodyHash, claimID: uuid.NewString(), at: now}
	req := &request{operation: op, done: make(chan Decision, 1)}
	w := r.workerFor(keyHash)
	select {
	case w.queue <- req:
	default:
		return Refuse{Reason: ReasonBusy, RetryAfter: time.Second}, nil
	}
	decision = w.awaitDecision(ctx, req)
	switch decision := decision.(type) {
	case nil:
		return Proceed{Ticket: &Ticket{registry: r, keyHash: keyHash, claimID: op.claimID, claimedAt: now}}, nil
	case Replay:
		return r.loadResponse(ctx, decision), nil
	}
	return decision, nil
}

// awaitDecision returns the worker's decision. A claimant that stops waiting abandons its request for good: if the
// worker claims the key all the same, the worker releases it.
func (w *worker) awaitDecision(ctx context.Context, req *request) Decision {
	select {
	case decision := <-req.done:
		return decision
	case <-ctx.Done():
	case <-w.stopped:
	}
	if req.state.CompareAndSwap(requestWaiting, requestAbandoned) {
		return Refuse{Reason: ReasonAbandoned, RetryAfter: time.Second}
	}
	return <-req.done
}

// loadResponse reads a response body that is stored outside its claim.
func (r *Registry) loadResponse(ctx context.Context, replay Replay) Decision {
	if replay.storeKey == "" {
		return replay
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := r.Store.Get(ctx, replay.storeKey)
	if errors.Is(err, store.ErrNotFound) {
		replay.Kept = false
		return replay
	}
	if err != nil {
		return Refuse{Reason: ReasonStore, RetryAfter: time.Second}
	}
	replay.Response.Body = entry.Value
	return replay
}

// recordOutcome passes an outcome to the group's worker and waits until it is written.
func (r *Registry) recordOutcome(ctx context.Context, op outcomeOperation, body []byte) (err error) {
	defer func() { err = errors.WithMessage(err, "record call outcome") }()
	req := &request{operation: op, done: make(chan Decision, 1), body: body}
	w := r.workerFor(op.keyHash)
	select {
	case w.outcomes <- req:
	case <-ctx.Done():
		return ctx.Err()
	case <-w.stopped:
		return errStopped
	}
	select {
	case <-req.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-w.stopped:
		return errStopped
	}
}

// errStopped means that the registry stopped before the outcome was written; other instances will see it as
// unknown.
var errStopped = errors.New("claim: registry stopped before the outcome was written")

// ranOutcome decides where a response body is kept.
func (r *Registry) ranOutcome(response Response, claimID string) (ran Ran, body []byte) {
	switch {
	case len(response.Body) <= maxInlineBody:
		return Ran{Response: response, Kept: true}, nil
	case len(response.Body) <= maxStoredBody:
		body = response.Body
		response.Body = nil
		return Ran{Response: response, Kept: true, StoreKey: responsePrefix + claimID}, body
	}
	response.Body = nil
	return Ran{Response: response}, nil
}

func (r *Registry) createWorkers() {
	r.once.Do(func() {
		for i := range r.workers {
			r.workers[i] = newWorker(r, i)
		}
	})
}

func (r *Registry) workerFor(keyHash string) *worker {
	r.createWorkers()
	return r.workers[groupOf(keyHash)]
}

func groupOf(keyHash string) int {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(keyHash))
	return int(sum.Sum32() % GroupCount)
}

func (r *Registry) retention() time.Duration      { return orDefault(r.Retention, Retention) }
func (r *Registry) dispatchWindow() time.Duration { return orDefault(r.DispatchWindow, DispatchWindow) }
func (r *Registry) maxRunTime() time.Duration     { return orDefault(r.MaxRunTime, MaxRunTime) }

func orDefault(value, fallback time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return fallback
}
