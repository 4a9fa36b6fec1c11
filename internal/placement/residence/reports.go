package residence

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// reports.go applies the upstream's reports to the planner's state.

// ApplyReport applies a report. A report that is older than the last accepted order is dropped.
//
// Reports lag: an adapter whose load has just finished may be listed neither as pending nor as loaded. Its slot
// would look free, and an upstream that is ordered to load more adapters than it has slots for crashes. So
// adapters known at the same order count are kept, as only an order could have removed them, and no slot counts
// as free until a second report agrees.
func (p *Planner) ApplyReport(now time.Time, report Report) {
	p.ensureInitialised()
	if p.stateKnown && report.Sequence < p.sequence {
		p.fetchAt = now.Add(fetchInterval)
		return
	}
	if report.Busy {
		p.invalidate(now, fetchInterval)
		return
	}
	if p.unanswered != nil && report.Sequence != p.unanswered.Sequence {
		p.unanswered = nil
	}
	same := p.reported && report.Sequence == p.sequence
	if !same {
		p.confirmed = false
		p.confirmAt = now.Add(reportLag)
	} else if !now.Before(p.confirmAt) {
		p.confirmed = true
	}
	before := p.slots
	p.slots = make(map[traffic.Adapter]*slot)
	if same {
		for adapter, s := range before {
			p.slots[adapter] = s
		}
	}
	p.applyModels(now, before, report)
	p.sequence = report.Sequence
	p.stateKnown = true
	p.reported = true
	p.reportedAt = now
}

// applyModels records the loaded and pending adapters that a report lists.
func (p *Planner) applyModels(now time.Time, before map[traffic.Adapter]*slot, report Report) {
	for _, model := range report.Models {
		p.recordSlot(before, traffic.Adapter{Model: model.Name}, model.Version)
		for _, adapter := range model.Adapters {
			p.recordSlot(before, traffic.Adapter{Model: model.Name, Name: adapter.Name}, adapter.Version)
		}
	}
	for _, pending := range report.Pending {
		s := p.recordSlot(before, pending.Adapter, 0)
		s.loadingVersion = max(pending.Version, 1)
		s.orderedVersion = pending.Version
		s.state = loading
		s.pollAt = now
	}
}

// ReportFailed records that the upstream's report could not be fetched.
func (p *Planner) ReportFailed(now time.Time) {
	p.fetchAt = now.Add(fetchInterval)
	p.stateKnown = false
}

func (p *Planner) recordSlot(before map[traffic.Adapter]*slot, adapter traffic.Adapter, version int64) *slot {
	s := &slot{version: version}
	if old := before[adapter]; old != nil {
		s.usedAt = old.usedAt
		s.reservedUntil = old.reservedUntil
	}
	if existing := p.slots[adapter]; existing != nil {
		return existing
	}
	s.unloadOrdered = p.unanswered != nil && p.unanswered.Unload && p.unanswered.Adapter == adapter
	p.slots[adapter] = s
	return s
}
