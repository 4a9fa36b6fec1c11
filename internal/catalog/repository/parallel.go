// Small means of running store calls side by side, and one at a time.

package repository

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/platform/store"
)

// workers share out numbered tasks. After an error no further task begins, but those under way are
// done: what they fetch is of use to the next try.
type workers struct {
	task  func(ctx context.Context, i int) error
	count int64
	next  atomic.Int64
	done  atomic.Int64
	group sync.WaitGroup
	once  sync.Once
	err   error
}

// inParallel does the tasks 0 to count-1, fetchWidth at a time, and gives the first error. It succeeds
// only if every task was done: a part that was not fetched because the caller had gone would otherwise
// pass for an empty one, and its resources for removed.
func inParallel(ctx context.Context, count int, task func(ctx context.Context, i int) error) error {
	w := &workers{task: task, count: int64(count)}
	for range min(count, fetchWidth) {
		w.group.Go(func() { w.run(ctx) })
	}
	w.group.Wait()
	if w.err == nil && w.done.Load() < w.count {
		return errors.WithMessage(store.ErrUnavailable, "given up on")
	}
	return w.err
}

func (w *workers) run(ctx context.Context) {
	for {
		i := w.next.Add(1) - 1
		if i >= w.count || ctx.Err() != nil {
			return
		}
		if err := w.task(ctx, int(i)); err != nil {
			w.once.Do(func() { w.err = err })
			w.next.Store(w.count)
			return
		}
		w.done.Add(1)
	}
}

// semaphore lets one goroutine in at a time; waiting for it ends with the context. The zero value is
// free.
type semaphore struct {
	once  sync.Once
	place chan struct{}
}

func (s *semaphore) acquire(ctx context.Context) error {
	s.once.Do(func() { s.place = make(chan struct{}, 1) })
	select {
	case s.place <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *semaphore) release() {
	<-s.place
}
