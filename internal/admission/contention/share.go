package contention

import (
	"math"
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// share.go compares what the fleet has admitted for each workspace with its share.

const (
	// useInterval is how often the totals of the fleet are recorded.
	useInterval = 250 * time.Millisecond
	// useHalfLife is the half-life of what was admitted.
	useHalfLife = 1500 * time.Millisecond
	// activeFor is how long a workspace counts as active after something was admitted for it.
	activeFor = 3 * time.Second
	// overAbove is the use, as a multiple of the share, above which a workspace gets over its share, and overBelow the
	// one below which it no longer is.
	overAbove = 1.25
	overBelow = 1.0
)

// shares are the rates and the use of all workspaces with a rate. A workspace without a rate is never over its share.
type shares struct {
	workspaces map[string]*workspaceUse
	updatedAt  time.Time
	// rates is the sum of the rates of the active workspaces, and use the sum of what was admitted for all.
	rates float64
	use   float64
}

// workspaceUse is what was admitted for one workspace.
type workspaceUse struct {
	rate float64
	// total is the total of the fleet that was recorded last; it is unknown before the first.
	total      float64
	known      bool
	use        float64
	admittedAt time.Time
	active     bool
	over       bool
}

func (s *shares) setRates(workspaces []traffic.Workspace) {
	before := s.workspaces
	s.workspaces = make(map[string]*workspaceUse, len(workspaces))
	for _, workspace := range workspaces {
		if workspace.Rate <= 0 {
			continue
		}
		w := before[workspace.Name]
		if w == nil {
			w = &workspaceUse{}
		}
		w.rate = workspace.Rate
		s.workspaces[workspace.Name] = w
	}
}

// update records the totals of the fleet. Workspaces get over their share only while a service is contended.
func (s *shares) update(now time.Time, totals map[string]float64, contended bool) {
	decay := math.Exp2(-now.Sub(s.updatedAt).Seconds() / useHalfLife.Seconds())
	if s.updatedAt.IsZero() {
		decay = 0
	}
	s.updatedAt = now
	s.rates, s.use = 0, 0
	for name, w := range s.workspaces {
		w.record(now, totals[name], decay)
		s.use += w.use
		if w.active {
			s.rates += w.rate
		}
	}
	for _, w := range s.workspaces {
		share, use := s.fractions(w)
		switch {
		case !w.active || use < overBelow*share:
			w.over = false
		case contended && use > overAbove*share:
			w.over = true
		}
	}
}

// record adds what was admitted since the last total. A total falls where the costs of refused requests are returned.
func (w *workspaceUse) record(now time.Time, total, decay float64) {
	w.use *= decay
	if w.known && total != w.total {
		w.use = max(w.use+total-w.total, 0)
		if total > w.total {
			w.admittedAt = now
		}
	}
	w.total = total
	w.known = true
	w.active = !w.admittedAt.IsZero() && now.Sub(w.admittedAt) <= activeFor
}

// fractions returns the share of a workspace, and what was admitted for it, as fractions of the whole.
func (s *shares) fractions(w *workspaceUse) (share, use float64) {
	if w.active && s.rates > 0 {
		share = w.rate / s.rates
	}
	if s.use > 0 {
		use = w.use / s.use
	}
	return share, use
}

func (s *shares) isOver(workspace string) bool {
	w := s.workspaces[workspace]
	return w != nil && w.over
}

func (s *shares) of(workspace string) (share, use float64, over bool) {
	w := s.workspaces[workspace]
	if w == nil {
		return 0, 0, false
	}
	share, use = s.fractions(w)
	return share, use, w.over
}
