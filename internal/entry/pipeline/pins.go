package pipeline

import (
	"sync"

	"lacewingrock.example/lacewingrock/internal/catalog/head"
	"lacewingrock.example/lacewingrock/internal/fleet/membership"
	"lacewingrock.example/lacewingrock/internal/placement/holder"
)

// Pins records the pins of the requests that this instance runs, and lists them for new holders. A new holder
// starts evicting once every member has reported its pins. No pin of an earlier holder may therefore be added
// after this instance has reported its list. One lock guards both operations and the head that they check.
type Pins struct {
	mutex sync.Mutex
	head  head.Head
	pins  map[string]upstreamPin
}

type upstreamPin struct {
	upstream string
	pin      holder.Pin
}

// Install sets the current head.
func (p *Pins) Install(h head.Head) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.head = h
}

// add records a pin that grantor granted. It returns false if grantor no longer holds the upstream; the pin must
// not be used then.
func (p *Pins) add(upstream, dataCentre string, grantor head.Member, pin holder.Pin) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	current, found := membership.Holder(p.head, upstream, dataCentre)
	if !found || current.Name != grantor.Name || current.Incarnation != grantor.Incarnation {
		return false
	}
	if p.pins == nil {
		p.pins = map[string]upstreamPin{}
	}
	p.pins[pin.ID] = upstreamPin{upstream: upstream, pin: pin}
	return true
}

func (p *Pins) remove(id string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.pins, id)
}

// ForUpstream returns the pins on an upstream, and whether a head of at least the given epoch is installed.
func (p *Pins) ForUpstream(upstream string, epoch int64) (pins []holder.Pin, installed bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, entry := range p.pins {
		if entry.upstream == upstream {
			pins = append(pins, entry.pin)
		}
	}
	return pins, p.head.Epoch >= epoch
}
