// Package share evens out what workspaces get over all upstreams. Each upstream's queue is fair by
// itself, but the requests of a small workspace go to the one or two upstreams that have its adapters
// loaded, and its weight earns it only a small part of those, while a large one has its part of all.
// So an entry instance raises the weight of a workspace that has had less for its weight than others.
// The caller reads the runtime's clock and passes the time in.
package share

import (
	"math"
	"time"
)

// halfLife is the time in which what a workspace was served counts half.
const halfLife = 30 * time.Second

// most bounds the change of a weight either way, so that a workspace that comes back from a pause
// cannot take an upstream for itself.
const most = 8

// strength is the power of the correction.
const strength = 2

// Tracker counts what an instance's requests were served, for each workspace. The zero value is ready.
// It is not safe for use by several goroutines.
type Tracker struct {
	served map[string]served
	// names keeps the workspaces in the order of their first answer: sums of floats depend on their
	// order, and equal runs are to decide equally.
	names []string
}

// served is tokens that halve every halfLife, and the workspace's declared weight.
type served struct {
	tokens float64
	weight float64
	at     time.Time
}

func (s served) now(now time.Time) float64 {
	return s.tokens * math.Exp2(-now.Sub(s.at).Seconds()/halfLife.Seconds())
}

// Served counts the tokens of an answered request.
func (t *Tracker) Served(now time.Time, workspace string, weight, tokens float64) {
	if t.served == nil {
		t.served = make(map[string]served)
	}
	if _, known := t.served[workspace]; !known {
		t.names = append(t.names, workspace)
	}
	t.served[workspace] = served{tokens: t.served[workspace].now(now) + tokens, weight: weight, at: now}
}

// Weight is the workspace's weight for a request now.
//
// Made for saturation. The harm it prevents: a small workspace gets half of its share while the large
// ones get more than theirs.
func (t *Tracker) Weight(now time.Time, workspace string, weight float64) float64 {
	tokens, weights := 0.0, 0.0
	for _, name := range t.names {
		s := t.served[name]
		tokens += s.now(now)
		weights += s.weight
	}
	if tokens <= 0 || weight <= 0 {
		return weight
	}
	own := t.served[workspace].now(now) / weight
	if own <= 0 {
		return weight * most
	}
	correction := math.Pow(tokens/weights/own, strength)
	return weight * min(most, max(1.0/most, correction))
}
