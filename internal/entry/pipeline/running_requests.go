package pipeline

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/caller/api"
	"lacewingrock.example/lacewingrock/internal/catalog/configuration"
)

// Running keeps the requests that run on this instance, so that those of a withdrawn key can be ended.
// A stream may run for minutes; checking the key only when it begins would let a withdrawn key go on
// spending for that long.
type Running struct {
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
	// ErrWithdrawn means that the request's key was withdrawn.
	ErrWithdrawn = errors.New("pipeline: key withdrawn")
	// ErrStale means that the instance could not confirm for long that the key is in force.
	ErrStale = errors.New("pipeline: key not confirmed")
	// ErrTooLong means that the request ran for longer than its tokens are reserved.
	ErrTooLong = errors.New("pipeline: request ran too long")
)

// enter notes a request and returns its context, and what to call when it has ended.
func (r *Running) enter(ctx context.Context, identity api.Identity) (context.Context, func()) {
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

// EndWithdrawn ends the requests whose key the configuration does not have in force any more.
func (r *Running) EndWithdrawn(current configuration.Configuration) {
	r.end(ErrWithdrawn, func(identity api.Identity) bool {
		key, found := current.Key(identity.Key)
		return !found || key.Withdrawn || key.Workspace != identity.Workspace
	})
}

// EndAll ends every request, because the instance could not confirm any key for too long.
func (r *Running) EndAll() {
	r.end(ErrStale, func(api.Identity) bool { return true })
}

func (r *Running) end(cause error, concerns func(api.Identity) bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, request := range r.requests {
		if concerns(request.identity) {
			request.cancel(cause)
		}
	}
}

// Count is how many requests run.
func (r *Running) Count() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.requests)
}

// withinReservation bounds a request by the time for which its tokens are reserved.
func withinReservation(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	return context.WithDeadlineCause(ctx, deadline, ErrTooLong)
}
