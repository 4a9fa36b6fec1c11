// Helpers that run store calls concurrently, and commits one at a time.

package repository

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/platform/store"
)

// workerPool distributes numbered tasks. After an error no further task is started, but running tasks are
// completed, because the next attempt can use what they fetch.
type workerPool struct {
	task  func(ctx context.Context, i int) error
	count int64
	next  atomic.Int64
	done  atomic.Int64
	group sync.WaitGroup
	once  sync.Once
	err   error
}

// runParallel runs the tasks 0 to count-1, at most maxParallelCalls at a time, and returns the first
// error. It succeeds only if every task was completed. Otherwise a part that was not fetched because the
// caller had cancelled would look like an empty one, and its resources would look removed.
func runParallel(ctx context.Context, count int, task func(ctx context.Context, i int) error) error {
	w := &workerPool{task: task, count: int64(count)}
	for range min(count, maxParallelCalls) {
		w.group.Go(func() { w.run(ctx) })
	}
	w.group.Wait()
	if w.err == nil && w.done.Load() < w.count {
		return errors.WithMessage(store.ErrUnavailable, "cancelled before all calls were made")
	}
	return w.err
}

func (w *workerPool) run(ctx context.Context) {
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

// semaphore admits one goroutine at a time; acquire fails when the context ends. The zero value is free.
type semaphore struct {
	once sync.Once
	slot chan struct{}
}

func (s *semaphore) acquire(ctx context.Context) error {
	s.once.Do(func() { s.slot = make(chan struct{}, 1) })
	select {
	case s.slot <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *semaphore) release() {
	<-s.slot
}
