package pipeline

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/caller/api"
	"lacewingrock.example/lacewingrock/internal/catalog/configuration"
)

// RunningRequests tracks the requests that run on this instance, so that those of a withdrawn key can be cancelled. A
// stream may run for minutes; if the key were checked only at its start, a withdrawn key could spend tokens for that
// long.
type RunningRequests struct {
	mutex    sync.Mutex
	nextID   int64
	requests map[int64]runningRequest
}

type runningRequest struct {
	identity api.Identity
	cancel   context.CancelCauseFunc
}

// Causes for which this instance cancels a running request, as returned by context.Cause.
var (
	// ErrKeyWithdrawn means that the request's key was withdrawn.
	ErrKeyWithdrawn = errors.New("pipeline: key withdrawn")
	// ErrKeyUnconfirmed means that the instance could not confirm for too long that the key is in force.
	ErrKeyUnconfirmed = errors.New("pipeline: key not confirmed")
	// ErrReservationExpired means that the request ran longer than its tokens stay reserved.
	ErrReservationExpired = errors.New("pipeline: request ran too long")
)

// add registers a request. It returns the request's context, and a function that must be called when the request
// has ended.
func (r *RunningRequests) add(ctx context.Context, identity api.Identity) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.requests == nil {
		r.requests = map[int64]runningRequest{}
	}
	r.nextID++
	id := r.nextID
	r.requests[id] = runningRequest{identity: identity, cancel: cancel}
	return ctx, func() {
		cancel(nil)
		r.mutex.Lock()
		defer r.mutex.Unlock()
		delete(r.requests, id)
	}
}

// CancelWithdrawn cancels the requests whose key is no longer in force in the configuration.
func (r *RunningRequests) CancelWithdrawn(current configuration.Configuration) {
	r.cancelMatching(ErrKeyWithdrawn, func(identity api.Identity) bool {
		key, found := current.Key(identity.Key)
		return !found || key.Withdrawn || key.Workspace != identity.Workspace
	})
}

// CancelAll cancels every request, because the instance could not confirm any key for too long.
func (r *RunningRequests) CancelAll() {
	r.cancelMatching(ErrKeyUnconfirmed, func(api.Identity) bool { return true })
}

func (r *RunningRequests) cancelMatching(cause error, matches func(api.Identity) bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, request := range r.requests {
		if matches(request.identity) {
			request.cancel(cause)
		}
	}
}

// Count returns the number of running requests.
func (r *RunningRequests) Count() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.requests)
}

// withReservationDeadline limits a request to the time for which its tokens are reserved.
func withReservationDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	return context.WithDeadlineCause(ctx, deadline, ErrReservationExpired)
}
