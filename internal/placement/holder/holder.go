package holder

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/catalog/resource"
	"lacewingrock.example/lacewingrock/internal/placement/model"
)

// Holder decides for one upstream. Set the exported fields before the first Handle. It is not safe
// for use by several goroutines: one loop owns it.
type Holder struct {
	Upstream resource.Upstream
	Settings Settings
}

// Handle takes one event that happened at now and returns what has to be done.
func (h *Holder) Handle(now time.Time, event Event) []Action {
	return nil
}

// Summary is what the other instances are told of the upstream.
type Summary struct {
	Upstream   string
	Epoch      int64
	FreePlaces int
	Backlog    time.Duration
	Resident   []model.Reference
	Healthy    bool
}

// Summary of the upstream as of now.
func (h *Holder) Summary(now time.Time) Summary {
	return Summary{Upstream: h.Upstream.Meta.Name}
}

// Pins lists the running pins that this holder granted or was told of.
func (h *Holder) Pins() []Pin { return nil }
