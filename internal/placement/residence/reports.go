package residence

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// learn.go takes reports of the upstream over.

// Learn takes a report over. One that is older than the orders accepted since is dropped.
//
// A report lags, and what it shows of a load that has just ended may be neither pending nor loaded. Taken at
// its word, there is a free place, and an upstream that is ordered to load more than it has places for
// crashes. So what is known at the same count of orders stays, as only an order could have removed it, and
// until a second report agrees no place counts as free.
func (p *Planner) Learn(now time.Time, report Report) {
	p.prepare()
	if p.known && report.Sequence < p.sequence {
		p.inspectAt = now.Add(inspectAgain)
		return
	}
	if report.Busy {
		p.doubt(now, inspectAgain)
		return
	}
	if p.unanswered != nil && report.Sequence != p.unanswered.Sequence {
		p.unanswered = nil
	}
	same := p.learnt && report.Sequence == p.sequence
	if !same {
		p.settled = false
		p.settleAt = now.Add(reportLag)
	} else if !now.Before(p.settleAt) {
		p.settled = true
	}
	before := p.places
	p.places = make(map[traffic.Adapter]*place)
	if same {
		for adapter, known := range before {
			p.places[adapter] = known
		}
	}
	p.takeOver(now, before, report)
	p.sequence = report.Sequence
	p.known = true
	p.learnt = true
	p.inspected = now
}

// takeOver enters what a report shows.
func (p *Planner) takeOver(now time.Time, before map[traffic.Adapter]*place, report Report) {
	for _, model := range report.Models {
		p.found(before, traffic.Adapter{Model: model.Name}, model.Version)
		for _, adapter := range model.Adapters {
			p.found(before, traffic.Adapter{Model: model.Name, Name: adapter.Name}, adapter.Version)
		}
	}
	for _, pending := range report.Pending {
		known := p.found(before, pending.Adapter, 0)
		known.ordered = max(pending.Version, 1)
		known.asked = pending.Version
		known.state = loading
		known.checkAt = now
	}
}

// ReportFailed takes note that no report came.
func (p *Planner) ReportFailed(now time.Time) {
	p.inspectAt = now.Add(inspectAgain)
	p.known = false
}

func (p *Planner) found(before map[traffic.Adapter]*place, adapter traffic.Adapter, version int64) *place {
	known := &place{version: version}
	if old := before[adapter]; old != nil {
		known.used = old.used
		known.reservedUntil = old.reservedUntil
	}
	if there := p.places[adapter]; there != nil {
		return there
	}
	known.leaving = p.unanswered != nil && p.unanswered.Unload && p.unanswered.Adapter == adapter
	p.places[adapter] = known
	return known
}
