package holder

import (
	"fmt"
	"sort"
	"time"

	"lacewingrock.example/lacewingrock/internal/placement/model"
)

// pins.go keeps what runs on the upstream: one pin for each running request.

// running is a pin with what its grant was based on; since is zero if an older holder granted it.
type running struct {
	Pin
	since  time.Time
	cost   float64
	weight float64
	alone  bool
	apart  bool
}

type pins struct {
	byID   map[string]running
	perRef map[model.Reference]int
	alone  bool
	apart  int
	number uint64
}

func newPins() pins {
	return pins{byID: make(map[string]running), perRef: make(map[model.Reference]int)}
}

func (p *pins) len() int { return len(p.byID) }

// nextID makes a pin's name. The epoch is in it, as a later holder counts from one again.
func (p *pins) nextID(upstream string, epoch int64) string {
	p.number++
	return fmt.Sprintf("%s/%d/%d", upstream, epoch, p.number)
}

func (p *pins) add(r running) {
	if _, known := p.byID[r.ID]; known {
		return
	}
	p.byID[r.ID] = r
	p.perRef[r.Model]++
	p.alone = p.alone || r.alone
	if r.apart {
		p.apart++
	}
}

func (p *pins) remove(id string) (r running, ok bool) {
	r, ok = p.byID[id]
	if !ok {
		return running{}, false
	}
	delete(p.byID, id)
	p.perRef[r.Model]--
	if p.perRef[r.Model] == 0 {
		delete(p.perRef, r.Model)
	}
	if r.alone {
		p.alone = false
	}
	if r.apart {
		p.apart--
	}
	return r, true
}

func (p *pins) isPinned(ref model.Reference) bool { return p.perRef[ref] > 0 }

func (p *pins) list() []Pin {
	list := make([]Pin, 0, len(p.byID))
	for _, r := range p.byID {
		list = append(list, r.Pin)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}
