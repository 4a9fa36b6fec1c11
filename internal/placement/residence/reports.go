package residence

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// reports.go applies the upstream's reports to the planner's state.

// ApplyReport applies a report. A report that may be older than the last accepted order is dropped. Long after that order, one
// that counts fewer orders is right: the upstream's response to an order was false, or that of another one. Dropping it again
// and again would leave the upstream without orders.
//
// Reports lag: an adapter whose load has just finished may be listed neither as pending nor as loaded. Its adapter slot
// would look free, and an upstream that is ordered to load more adapters than it has adapter slots for crashes. So
// adapters known at the same order count are kept, as only an order could have removed them, and no adapter slot counts
// as free until a second report agrees.
func (p *Planner) ApplyReport(now time.Time, report Report) {
	p.ensureInitialised()
	if p.stateKnown && report.Sequence < p.sequence && now.Sub(p.acceptedAt) < fewerOrdersAfter {
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
	before := p.residents
	p.residents = make(map[traffic.Adapter]*resident)
	if same {
		for adapter, r := range before {
			p.residents[adapter] = r
		}
	}
	p.applyModels(now, before, report)
	p.sequence = report.Sequence
	p.stateKnown = true
	p.reported = true
	p.reportedAt = now
}

// applyModels records the loaded and pending adapters that a report lists.
func (p *Planner) applyModels(now time.Time, before map[traffic.Adapter]*resident, report Report) {
	for _, model := range report.Models {
		p.recordResident(before, traffic.Adapter{Model: model.Name}, model.Version)
		for _, adapter := range model.Adapters {
			p.recordResident(before, traffic.Adapter{Model: model.Name, Name: adapter.Name}, adapter.Version)
		}
	}
	for _, pending := range report.Pending {
		r := p.recordResident(before, pending.Adapter, 0)
		r.loadingVersion = max(pending.Version, 1)
		r.orderedVersion = pending.Version
		r.state = loading
		r.pollAt = now
	}
}

// ReportFailed records that the upstream's report could not be fetched.
func (p *Planner) ReportFailed(now time.Time) {
	p.fetchAt = now.Add(fetchInterval)
	p.stateKnown = false
}

func (p *Planner) recordResident(before map[traffic.Adapter]*resident, adapter traffic.Adapter, version int64) *resident {
	r := &resident{version: version}
	if old := before[adapter]; old != nil {
		r.usedAt = old.usedAt
		r.reservedUntil = old.reservedUntil
	}
	if existing := p.residents[adapter]; existing != nil {
		return existing
	}
	r.unloadOrdered = p.unanswered != nil && p.unanswered.Unload && p.unanswered.Adapter == adapter
	p.residents[adapter] = r
	return r
}
