// Package share equalises the weighted shares of workspaces across all upstreams. Each upstream's queue is fair by
// itself. But the requests of a small workspace go to the one or two upstreams that have its adapters loaded, and
// its weight gets it only a small part of those, while a large workspace gets its part of all upstreams. An entry
// instance therefore raises the weight of a workspace that has received less for its weight than others. The caller
// reads the clock and passes the time in.
package share

import (
	"math"
	"time"
)

// halfLife is the half-life of the tokens that a workspace was served.
const halfLife = 30 * time.Second

// maxCorrection bounds the correction of a weight in both directions, so that a workspace that returns from a pause
// cannot take an upstream over.
const maxCorrection = 8

// correctionExponent is the exponent of the correction: the mean tokens per weight over those of the workspace.
const correctionExponent = 2

// Tracker counts the tokens served to each workspace by an instance's requests. The zero value is ready to use. It
// is not safe for concurrent use.
type Tracker struct {
	served map[string]served
	// names lists the workspaces in the order of their first answer. The result of a floating-point sum depends on
	// the order of its terms, and equal runs have to make equal decisions.
	names []string
}

// served is a workspace's token count, which decays with halfLife, and its declared weight.
type served struct {
	tokens float64
	weight float64
	at     time.Time
}

func (s served) decayed(now time.Time) float64 {
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
	t.served[workspace] = served{tokens: t.served[workspace].decayed(now) + tokens, weight: weight, at: now}
}

// Weight returns the corrected weight of a workspace for a request at the given time.
//
// It is needed under saturation. Without it a small workspace gets half of its share while large workspaces get
// more than theirs.
func (t *Tracker) Weight(now time.Time, workspace string, weight float64) float64 {
	tokens, weights := 0.0, 0.0
	for _, name := range t.names {
		s := t.served[name]
		tokens += s.decayed(now)
		weights += s.weight
	}
	if tokens <= 0 || weight <= 0 {
		return weight
	}
	perWeight := t.served[workspace].decayed(now) / weight
	if perWeight <= 0 {
		return weight * maxCorrection
	}
	correction := math.Pow(tokens/weights/perWeight, correctionExponent)
	return weight * min(maxCorrection, max(1.0/maxCorrection, correction))
}
