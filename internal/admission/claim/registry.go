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

// GroupCount is the number of values that claims are spread over. Fewer share writes better, more hold
// more: with answers of 2 KB kept within the claims a value was full at 279 of them. No measured reason
// yet for the exact figure.
const GroupCount = 64

// writePace is the least time between two writes of one group by one instance. Made for bursts of
// bookings: without it, 2,000 claims a second spread over 256 groups cost 3,952 writes a second, many
// times what the store takes, and operators' changes would wait behind them. A claim whose group was
// not written lately waits for nothing.
const writePace = 250 * time.Millisecond

const (
	// maxInline is the largest answer body kept within the claim itself.
	maxInline = 512
	// maxStored is the largest answer body kept at all: a value of the store takes a megabyte.
	maxStored = 900 << 10
	// maxGroup is the size of a group's value beyond which it takes no new claims. Outcomes still fit
	// between it and the store's megabyte.
	maxGroup = 800 << 10
	// queueLength bounds the operations that wait for one group; more are refused at once.
	queueLength = 256
	// callTimeout bounds one call to the store, so that a connection that went silent is given up.
	callTimeout = 2 * time.Second
	// retryEvery is the time between two tries to write outcomes while the store fails.
	retryEvery = 250 * time.Millisecond
)

const (
	groupPrefix  = "claim/"
	answerPrefix = "claim-answer/"
)

// Registry claims idempotency keys in the store. Set the exported fields, then Run it.
type Registry struct {
	Store store.Store
	// Retention is how long claims are kept; equal on all instances.
	Retention time.Duration
	// UsableFor is how long after claiming a call may be dispatched.
	UsableFor time.Duration
	// RunLimit is how old a claim without an outcome may be before its outcome counts as unknown.
	RunLimit time.Duration

	once    sync.Once
	workers [GroupCount]*worker
}

// request is an operation on its way through a worker.
type request struct {
	operation operation
	done      chan Decision
	// body is an answer too large for the claim, written to the store under its own key first.
	body []byte
	// force writes the group even when nothing changed, so that an earlier write whose outcome is not
	// known can take effect no more.
	force bool
	// state decides between a claimant that waits no longer and the worker's answer.
	state atomic.Int32
}

const (
	requestWaiting int32 = iota
	requestAnswered
	requestGivenUp
)

// Run writes claims and outcomes until the context ends, and then once more what still waits.
func (r *Registry) Run(ctx context.Context) error {
	r.prepare()
	var group sync.WaitGroup
	for _, w := range r.workers {
		group.Go(func() { w.loop(ctx) })
	}
	group.Wait()
	return nil
}

// Claim decides about one call. It waits for the store, at most until the context ends; a claim whose
// caller has gone is recorded as not run.
func (r *Registry) Claim(ctx context.Context, workspace, key, bodyHash string) (decision Decision, err error) {
	defer func() { err = errors.WithMessage(err, "claim an idempotency key") }()
	r.prepare()
	id := identity(workspace, key)
	now := time.Now()
	op := open{identity: id, body: bodyHash, mark: uuid.NewString(), at: now}
	req := &request{operation: op, done: make(chan Decision, 1)}
	w := r.worker(id)
	select {
	case w.queue <- req:
	default:
		return Refuse{Reason: ReasonBusy, RetryAfter: time.Second}, nil
	}
	decision = w.await(ctx, req)
	switch decision := decision.(type) {
	case nil:
		return Proceed{Ticket: &Ticket{registry: r, identity: id, mark: op.mark, claimed: now}}, nil
	case Replay:
		return r.fetch(ctx, decision), nil
	}
	return decision, nil
}

// await returns the worker's verdict. A claimant that cannot wait any longer gives up for good: if the
// worker claims the key all the same, it gives it back.
func (w *worker) await(ctx context.Context, req *request) Decision {
	select {
	case verdict := <-req.done:
		return verdict
	case <-ctx.Done():
	case <-w.stopped:
	}
	if req.state.CompareAndSwap(requestWaiting, requestGivenUp) {
		return Refuse{Reason: ReasonGivenUp, RetryAfter: time.Second}
	}
	return <-req.done
}

// fetch reads an answer that is kept beside its claim.
func (r *Registry) fetch(ctx context.Context, replay Replay) Decision {
	if replay.stored == "" {
		return replay
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := r.Store.Get(ctx, replay.stored)
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

// settle hands an outcome to the group's worker and waits until it is written.
func (r *Registry) settle(ctx context.Context, op settle, body []byte) (err error) {
	defer func() { err = errors.WithMessage(err, "record a call's outcome") }()
	req := &request{operation: op, done: make(chan Decision, 1), body: body}
	w := r.worker(op.identity)
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

// errStopped: the registry stopped before the outcome could be written; others will see it as unknown.
var errStopped = errors.New("claim: the registry has stopped")

// outcome decides where an answer is kept.
func (r *Registry) outcome(answer Response, mark string) (ran Ran, body []byte) {
	switch {
	case len(answer.Body) <= maxInline:
		return Ran{Response: answer, Kept: true}, nil
	case len(answer.Body) <= maxStored:
		body = answer.Body
		answer.Body = nil
		return Ran{Response: answer, Kept: true, Stored: answerPrefix + mark}, body
	}
	answer.Body = nil
	return Ran{Response: answer}, nil
}

func (r *Registry) prepare() {
	r.once.Do(func() {
		for i := range r.workers {
			r.workers[i] = newWorker(r, i)
		}
	})
}

func (r *Registry) worker(identity string) *worker {
	r.prepare()
	return r.workers[groupOf(identity)]
}

func groupOf(identity string) int {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(identity))
	return int(sum.Sum32() % GroupCount)
}

func (r *Registry) retention() time.Duration { return orDefault(r.Retention, Retention) }
func (r *Registry) usableFor() time.Duration { return orDefault(r.UsableFor, UsableFor) }
func (r *Registry) runLimit() time.Duration  { return orDefault(r.RunLimit, RunLimit) }

func orDefault(value, otherwise time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return otherwise
}
