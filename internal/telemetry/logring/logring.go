// Package logring makes logging non-blocking for requests: events pass through a bounded buffer to one
// goroutine that writes them. Events are dropped and counted when the buffer is full or more is logged in a
// second than the budget allows. Failures and refusals (warnings and above) are dropped last.
package logring

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// bufferSize is the capacity of the buffer: a few seconds of the budget.
	bufferSize = 2048
	// DefaultBudget is the number of events per second. It exceeds the load of 60 requests per second with
	// four events each, and a flood costs under a hundredth of a processor.
	DefaultBudget = 300
	// warningBudgetFactor multiplies the budget for warnings and above.
	warningBudgetFactor = 2
)

// Ring is a non-blocking zerolog.LevelWriter. Set the exported fields before use.
type Ring struct {
	Out io.Writer
	// Budget is the number of events per second; 0 means DefaultBudget.
	Budget int

	mutex   sync.Mutex
	events  chan []byte
	second  int64
	written int
	dropped int
}

// Start allocates the buffer. Events are written to Out only while Run runs.
func (r *Ring) Start() {
	r.events = make(chan []byte, bufferSize)
	if r.Budget <= 0 {
		r.Budget = DefaultBudget
	}
}

// Write accepts an event without a level.
func (r *Ring) Write(event []byte) (int, error) { return r.WriteLevel(zerolog.InfoLevel, event) }

// WriteLevel accepts or drops an event. It never blocks.
func (r *Ring) WriteLevel(level zerolog.Level, event []byte) (int, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if now := time.Now().Unix(); now != r.second {
		r.second = now
		r.written = 0
	}
	budget := r.Budget
	if level >= zerolog.WarnLevel {
		budget *= warningBudgetFactor
	}
	if r.written >= budget {
		r.dropped++
		return len(event), nil
	}
	select {
	case r.events <- append([]byte(nil), event...):
		r.written++
	default:
		r.dropped++
	}
	return len(event), nil
}

// TakeDropped returns the number of events dropped since the last call.
func (r *Ring) TakeDropped() (count int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	count = r.dropped
	r.dropped = 0
	return count
}

// Run writes events until the context ends, and then writes those still in the buffer.
func (r *Ring) Run(ctx context.Context) error {
	for {
		select {
		case event := <-r.events:
			r.write(event)
		case <-ctx.Done():
			r.drain()
			return nil
		}
	}
}

func (r *Ring) drain() {
	for {
		select {
		case event := <-r.events:
			r.write(event)
		default:
			return
		}
	}
}

// write writes an event to Out. Errors are ignored: they mean that the log is not read, so there is nowhere to report them.
func (r *Ring) write(event []byte) { _, _ = r.Out.Write(event) }
