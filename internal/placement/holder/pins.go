package holder

import (
	"fmt"
	"sort"
	"time"

	"lacewingrock.example/lacewingrock/internal/placement/model"
)

// pins.go tracks the upstream's running requests: one pin for each.

// runningPin is a pin with the attributes of its request; since is zero if an earlier holder granted it.
type runningPin struct {
	Pin
	since  time.Time
	cost   float64
	weight float64
	alone  bool
	apart  bool
}

type pins struct {
	byID       map[string]runningPin
	perVersion map[model.Reference]int
	alone      bool
	apart      int
	lastNumber uint64
}

func newPins() pins {
	return pins{byID: make(map[string]runningPin), perVersion: make(map[model.Reference]int)}
}

func (p *pins) len() int { return len(p.byID) }

// nextID returns a unique pin ID. It contains the epoch, as the numbering restarts at one with each holder.
func (p *pins) nextID(upstream string, epoch int64) string {
	p.lastNumber++
	return fmt.Sprintf("%s/%d/%d", upstream, epoch, p.lastNumber)
}

func (p *pins) add(r runningPin) {
	if _, known := p.byID[r.ID]; known {
		return
	}
	p.byID[r.ID] = r
	p.perVersion[r.Model]++
	p.alone = p.alone || r.alone
	if r.apart {
		p.apart++
	}
}

func (p *pins) remove(id string) (r runningPin, ok bool) {
	r, ok = p.byID[id]
	if !ok {
		return runningPin{}, false
	}
	delete(p.byID, id)
	p.perVersion[r.Model]--
	if p.perVersion[r.Model] == 0 {
		delete(p.perVersion, r.Model)
	}
	if r.alone {
		p.alone = false
	}
	if r.apart {
		p.apart--
	}
	return r, true
}

func (p *pins) isPinned(ref model.Reference) bool { return p.perVersion[ref] > 0 }

func (p *pins) list() []Pin {
	list := make([]Pin, 0, len(p.byID))
	for _, r := range p.byID {
		list = append(list, r.Pin)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}
