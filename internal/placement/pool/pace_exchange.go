package pool

import (
	"math"
	"time"
)

// pace_exchange.go exchanges the paces of upstreams: instances report what they measured to the holder, and the
// holder states the result.

// UnreportedPaces returns what this instance has measured and read of the pace of the selected upstreams since it was last
// reported.
func (p *Pool) UnreportedPaces(now time.Time, selected func(upstream string) bool) (statements []PaceStatement) {
	for id := range p.pacesUnsent {
		if !selected(id) {
			continue
		}
		delete(p.pacesUnsent, id)
		u := p.upstreams[id]
		if u == nil || !p.statesPace(now, u.declared.Service) {
			continue
		}
		own := u.pace.own.decayed(now)
		stated := u.paceStatement(now)
		if own.weight > 0 {
			stated.Ratio = math.Exp(own.sum / own.weight)
			stated.Weight = own.weight
		}
		statements = append(statements, stated)
	}
	return statements
}

// RestoreUnreportedPaces marks statements that did not reach the holder as not reported.
func (p *Pool) RestoreUnreportedPaces(statements []PaceStatement) {
	for _, stated := range statements {
		if u := p.upstreams[stated.Life.Upstream]; u != nil && u.declared.Life() == stated.Life {
			p.markPaceUnsent(u)
		}
	}
}

// PaceQuestion asks the holder of an upstream for its pace: a statement without content. There is none if the
// upstreams of its service do not state their pace.
func (p *Pool) PaceQuestion(now time.Time, upstream string) (question []PaceStatement) {
	u := p.upstreams[upstream]
	if u == nil || !p.statesPace(now, u.declared.Service) {
		return nil
	}
	return []PaceStatement{{Life: u.declared.Life()}}
}

// RecordPeerPaces records what another instance has measured and read of the paces of upstreams that this one holds.
// A report replaces the one before, so that a repeated one changes nothing.
func (p *Pool) RecordPeerPaces(now time.Time, instance string, statements []PaceStatement) {
	p.advance(now)
	for _, stated := range statements {
		u := p.upstreams[stated.Life.Upstream]
		if u == nil || u.declared.Life() != stated.Life || !p.held[stated.Life.Upstream] {
			continue
		}
		p.mergeStatedPace(now, u, stated)
		if !isPositive(stated.Ratio) || !isPositive(stated.Weight) {
			continue
		}
		if u.pace.peers == nil {
			u.pace.peers = make(map[string]paceMean)
		}
		ratio := min(max(stated.Ratio, 1.0/maxSample), maxSample)
		u.pace.peers[instance] = paceMean{sum: math.Log(ratio) * stated.Weight, weight: stated.Weight, at: now}
		p.learnPace(now, u)
	}
}

// MergePaces records what holders state of the paces of their upstreams.
func (p *Pool) MergePaces(at time.Time, statements []PaceStatement) {
	p.advance(at)
	for _, stated := range statements {
		u := p.upstreams[stated.Life.Upstream]
		if u == nil || u.declared.Life() != stated.Life || p.held[stated.Life.Upstream] {
			continue
		}
		p.mergeStatedPace(at, u, stated)
		if !isPositive(stated.Ratio) || !isPositive(stated.Weight) || at.Before(u.pace.publishedAt) {
			continue
		}
		u.pace.published = min(max(stated.Ratio, minLasting), maxLasting)
		u.pace.publishedWeight = stated.Weight
		u.pace.publishedAt = at
		p.setPublished(u)
	}
}

// HeldPaces returns what is known of the paces of the selected upstreams that this instance holds.
func (p *Pool) HeldPaces(now time.Time, selected func(upstream string) bool) (statements []PaceStatement) {
	for id := range p.held {
		u := p.upstreams[id]
		if u == nil || !selected(id) || !p.statesPace(now, u.declared.Service) {
			continue
		}
		stated := u.paceStatement(now)
		if u.pace.weight > 0 {
			stated.Ratio = u.pace.lasting()
			stated.Weight = u.pace.weight
		}
		if stated.Weight > 0 || stated.Stated > 0 {
			statements = append(statements, stated)
		}
	}
	return statements
}

// UpdateHeldPaces lets the samples of the upstreams that this instance holds decay, and returns their paces. A learnt
// pace that has changed is announced: PaceAnnouncements rises.
func (p *Pool) UpdateHeldPaces(now time.Time) (paces []HeldPace) {
	p.advance(now)
	for id := range p.held {
		u := p.upstreams[id]
		if u == nil || !p.statesPace(now, u.declared.Service) {
			continue
		}
		p.learnPace(now, u)
		pace := HeldPace{Upstream: id, Stated: u.pace.stated, Learnt: u.pace.lasting(), Used: p.pacesOf(now, u.declared.Service).of(now, u), Previous: u.pace.lastAnnounced()}
		pace.Changed = pace.Learnt != pace.Previous
		if pace.Changed {
			u.pace.announced = pace.Learnt
			p.paceAnnouncements++
		}
		paces = append(paces, pace)
	}
	return paces
}

// PaceAnnouncements counts the changes of learnt paces at the upstreams that this instance holds.
func (p *Pool) PaceAnnouncements() int { return p.paceAnnouncements }

// ---------------------------------------------------------------------------------------------

// setPublished makes the lasting ratio that the holder states the one in use, exactly, so that all instances have the
// same.
func (p *Pool) setPublished(u *upstream) {
	u.pace.weight = u.pace.publishedWeight
	if u.pace.ratio != u.pace.published {
		u.pace.ratio = u.pace.published
		p.ratioChanges++
	}
}

// mergeStatedPace records the part of a statement that repeats what the upstream stated.
func (p *Pool) mergeStatedPace(now time.Time, u *upstream, stated PaceStatement) {
	if isPositive(stated.Stated) && stated.StatedAge >= 0 {
		p.recordStatedPace(now.Add(-stated.StatedAge), u, clampPace(stated.Stated))
	}
}

// paceStatement returns what the upstream has stated, without what was learnt.
func (u *upstream) paceStatement(now time.Time) PaceStatement {
	stated := PaceStatement{Life: u.declared.Life()}
	if u.pace.stated > 0 {
		stated.Stated = u.pace.stated
		stated.StatedAge = max(now.Sub(u.pace.statedAt), 0)
	}
	return stated
}
