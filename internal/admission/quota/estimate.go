package quota

import "time"

// estimate.go states what a decision about a workspace was based on, for the log.

// Estimate is what an instance knows of the bucket of a workspace.
type Estimate struct {
	// Level and Rate are in units and units a second; the level is negative in debt.
	Level, Rate float64
	// ActivePeers is the number of other instances that admitted requests of the workspace recently.
	ActivePeers int
	// OldestTotal is the longest time since the total of an active peer last changed here; 0 without active peers.
	OldestTotal time.Duration
}

// Estimate returns what this instance knows of the bucket of a workspace; zero if the workspace is not limited.
func (l *Ledger) Estimate(now time.Time, workspace string) (estimate Estimate) {
	b := l.buckets[workspace]
	if b == nil {
		return Estimate{}
	}
	estimate.Level = b.level
	estimate.Rate = l.limits[workspace].Rate
	for _, p := range l.peers {
		at, found := p.lastAdmitted[workspace]
		if !found || now.Sub(at) > activeWindow {
			continue
		}
		estimate.ActivePeers++
		estimate.OldestTotal = max(estimate.OldestTotal, now.Sub(at))
	}
	return estimate
}
