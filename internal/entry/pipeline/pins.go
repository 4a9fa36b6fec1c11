package pipeline

import (
	"sync"

	"lacewingrock.example/lacewingrock/internal/catalog/head"
	"lacewingrock.example/lacewingrock/internal/fleet/membership"
	"lacewingrock.example/lacewingrock/internal/placement/holder"
)

// Pins keeps the pins of the requests that this instance runs, and tells them to new holders. A new
// holder evicts once every member has told its pins; so no pin of an older holder may be added after
// this instance has told its list. Both therefore happen under one lock, with the head they go by.
type Pins struct {
	mutex sync.Mutex
	head  head.Head
	pins  map[string]pinned
}

type pinned struct {
	upstream string
	pin      holder.Pin
}

// Install takes in a new head.
func (p *Pins) Install(h head.Head) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.head = h
}

// add notes a pin that a member granted. It fails when that member holds the upstream no longer; the
// pin must not be used then.
func (p *Pins) add(upstream, dataCentre string, granter head.Member, pin holder.Pin) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now, found := membership.Holder(p.head, upstream, dataCentre)
	if !found || now.Name != granter.Name || now.Incarnation != granter.Incarnation {
		return false
	}
	if p.pins == nil {
		p.pins = map[string]pinned{}
	}
	p.pins[pin.ID] = pinned{upstream: upstream, pin: pin}
	return true
}

func (p *Pins) remove(id string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.pins, id)
}

// ForUpstream lists the pins on an upstream, and tells whether a head of at least that epoch is installed.
func (p *Pins) ForUpstream(upstream string, epoch int64) (pins []holder.Pin, noted bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, one := range p.pins {
		if one.upstream == upstream {
			pins = append(pins, one.pin)
		}
	}
	return pins, p.head.Epoch >= epoch
}
