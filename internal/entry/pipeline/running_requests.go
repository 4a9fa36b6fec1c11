package pipeline

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/caller/api"
	"lacewingrock.example/lacewingrock/internal/catalog/configuration"
)

// RunningRequests keeps the requests that run on this instance, so that those of a withdrawn key can be ended.
// A stream may run for minutes; checking the key only when it begins would let a withdrawn key go on
// spending for that long.
type RunningRequests struct {
	mutex    sync.Mutex
	next     int64
	requests map[int64]runningRequest
}

type runningRequest struct {
	identity api.Identity
	cancel   context.CancelCauseFunc
}

// Causes for which this instance ends a running request; found with context.Cause.
var (
	// ErrKeyWithdrawn means that the request's key was withdrawn.
	ErrKeyWithdrawn = errors.New("pipeline: key withdrawn")
	// ErrKeyUnconfirmed means that the instance could not confirm for long that the key is in force.
	ErrKeyUnconfirmed = errors.New("pipeline: key not confirmed")
	// ErrReservationExpired means that the request ran for longer than its tokens are reserved.
	ErrReservationExpired = errors.New("pipeline: request ran too long")
)

// enter notes a request and returns its context, and what to call when it has ended.
func (r *RunningRequests) enter(ctx context.Context, identity api.Identity) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.requests == nil {
		r.requests = map[int64]runningRequest{}
	}
	r.next++
	number := r.next
	r.requests[number] = runningRequest{identity: identity, cancel: cancel}
	return ctx, func() {
		cancel(nil)
		r.mutex.Lock()
		defer r.mutex.Unlock()
		delete(r.requests, number)
	}
}

// CancelWithdrawn ends the requests whose key the configuration does not have in force any more.
func (r *RunningRequests) CancelWithdrawn(current configuration.Configuration) {
	r.end(ErrKeyWithdrawn, func(identity api.Identity) bool {
		key, found := current.Key(identity.Key)
		return !found || key.Withdrawn || key.Workspace != identity.Workspace
	})
}

// CancelAll ends every request, because the instance could not confirm any key for too long.
func (r *RunningRequests) CancelAll() {
	r.end(ErrKeyUnconfirmed, func(api.Identity) bool { return true })
}

func (r *RunningRequests) end(cause error, concerns func(api.Identity) bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, request := range r.requests {
		if concerns(request.identity) {
			request.cancel(cause)
		}
	}
}

// Count is how many requests run.
func (r *RunningRequests) Count() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.requests)
}

// withinReservation bounds a request by the time for which its tokens are reserved.
func withinReservation(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	return context.WithDeadlineCause(ctx, deadline, ErrReservationExpired)
}
