// Package logring keeps logging from ever holding up a request: events go through a bounded ring to one
// goroutine that writes them. When the ring is full, or more is logged in a second than the budget allows,
// events are left out and counted; failures and refusals (warnings and above) are kept longest.
package logring

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// ringLength is some seconds of the budget.
	ringLength = 2048
	// DefaultBudget is events a second: at 60 requests a second and four events each there is room to
	// spare, and a flood costs under a hundredth of a processor.
	DefaultBudget = 300
	// urgentFactor is how many times the budget warnings and above may take.
	urgentFactor = 2
)

// Ring is a zerolog.LevelWriter. Set the exported fields before use.
type Ring struct {
	Out io.Writer
	// Budget is the events a second; 0 for DefaultBudget.
	Budget int

	mutex   sync.Mutex
	events  chan []byte
	second  int64
	written int
	dropped int
}

// Start makes the ring ready; without Run nothing is written.
func (r *Ring) Start() {
	r.events = make(chan []byte, ringLength)
	if r.Budget <= 0 {
		r.Budget = DefaultBudget
	}
}

// Write takes an event without a level.
func (r *Ring) Write(event []byte) (int, error) { return r.WriteLevel(zerolog.InfoLevel, event) }

// WriteLevel takes an event, or leaves it out. It never blocks.
func (r *Ring) WriteLevel(level zerolog.Level, event []byte) (int, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if now := time.Now().Unix(); now != r.second {
		r.second = now
		r.written = 0
	}
	budget := r.Budget
	if level >= zerolog.WarnLevel {
		budget *= urgentFactor
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

// TakeDropped is how many events were left out since the last call.
func (r *Ring) TakeDropped() (count int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	count = r.dropped
	r.dropped = 0
	return count
}

// Run writes events until the context ends, and then what is still in the ring.
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

// write passes an event on. An error means that nobody reads the log, and there is nowhere to say so.
func (r *Ring) write(event []byte) { _, _ = r.Out.Write(event) }
