package policy

import (
	"fmt"
	"sort"
	"time"

	"lacewingrock.example/lacewingrock/internal/catalog/resource"
	"lacewingrock.example/lacewingrock/internal/placement/holder"
	"lacewingrock.example/lacewingrock/internal/placement/model"
)

// engine.go is the smallest engine that batches, has few slots and loads through the weight store. A
// request's time does not depend on how full the batch is.

const (
	// crashAfter is how long a poisonous request runs before the engine crashes.
	crashAfter = 200 * time.Millisecond
	// restartAfter is how long an engine takes to come back, with nothing loaded.
	restartAfter = 3 * time.Second
	// loadTime is what a load takes while the weight store is not crowded.
	loadTime = 250 * time.Millisecond
	// crowd is how many loads may be in flight before each takes longer.
	crowd = 8
)

// engine is one upstream with its holder.
type engine struct {
	sim         *simulation
	number      int
	declared    resource.Upstream
	holder      *holder.Holder
	incarnation int
	down        bool
	resident    map[model.Reference]bool
	running     map[string]*run
}

// run is one request in the batch.
type run struct {
	call    *call
	pin     holder.Pin
	started time.Duration
	over    bool
}

func (e *engine) name() string { return e.declared.Meta.Name }

// list is what the engine has loaded, in the order of the names.
func (e *engine) list() (list []model.Reference) {
	for ref := range e.resident {
		list = append(list, ref)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Adapter < list[j].Adapter })
	return list
}

// slowness is by how much the engine is slower than usual.
func (e *engine) slowness() float64 {
	if e.sim.load.Slow > 0 && e.number == 0 && e.sim.clock.since() >= turn {
		return e.sim.load.Slow
	}
	return 1
}

// begin runs a granted request.
func (e *engine) begin(c *call, pin holder.Pin) {
	if e.down {
		e.sim.ended(e, c, holder.Released{Pin: pin.ID, UpstreamFailed: true}, 0)
		return
	}
	if !e.resident[pin.Model] {
		e.sim.ended(e, c, holder.Released{Pin: pin.ID, NotResident: true}, 0)
		return
	}
	if e.sim.clock.now.After(c.deadline) {
		e.sim.tally.lateDispatches++
	}
	r := &run{call: c, pin: pin, started: e.sim.clock.since()}
	e.running[pin.ID] = r
	if c.request.poison {
		e.sim.clock.after(crashAfter, func() { e.crash(r) })
		return
	}
	c.firstToken = e.sim.clock.since() + time.Duration(float64(firstToken)*e.slowness())
	took := time.Duration(float64(c.request.work()) * e.slowness())
	e.sim.clock.after(took, func() { e.finish(r) })
}

func (e *engine) finish(r *run) {
	if r.over {
		return
	}
	e.stop(r)
	e.sim.tally.useful(r.started, e.sim.clock.since(), e.slowness())
	e.sim.ended(e, r.call, holder.Released{Pin: r.pin.ID, Tokens: r.call.request.tokens}, e.sim.clock.since()-r.started)
}

func (e *engine) stop(r *run) {
	r.over = true
	delete(e.running, r.pin.ID)
}

// crash loses all that runs. It is also how a case restarts an upstream.
func (e *engine) crash(cause *run) {
	if cause != nil && cause.over {
		return
	}
	if cause != nil {
		e.sim.tally.crashes++
	}
	e.down = true
	e.resident = make(map[model.Reference]bool)
	e.incarnation++
	lost := e.runs()
	for _, r := range lost {
		e.stop(r)
		e.sim.tally.burned(r.started, e.sim.clock.since())
	}
	e.sim.tell(e, holder.UpstreamHealth{Healthy: false})
	e.sim.crashed(e, lost)
	e.sim.clock.after(restartAfter, e.restart)
}

func (e *engine) restart() {
	e.down = false
	e.sim.tell(e, holder.UpstreamRestarted{Incarnation: e.life()})
	e.sim.tell(e, holder.UpstreamHealth{Healthy: true})
}

func (e *engine) life() string { return fmt.Sprint(e.incarnation) }

func (e *engine) runs() (list []*run) {
	for _, r := range e.running {
		list = append(list, r)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].pin.ID < list[j].pin.ID })
	return list
}

// order carries out a load.
func (e *engine) order(o holder.OrderLoad) {
	if e.down {
		e.sim.tell(e, holder.LoadFailed{Load: o.Load, Cause: holder.CauseUpstream})
		return
	}
	for _, r := range e.runs() {
		if r.pin.Model == o.Evict {
			e.sim.tally.evictedServing++
		}
	}
	delete(e.resident, o.Evict)
	if len(e.resident) >= e.declared.Slots {
		e.sim.tell(e, holder.LoadFailed{Load: o.Load, Evicted: true, Cause: holder.CauseNoSlot})
		return
	}
	e.sim.tally.load(e.sim.clock.since())
	e.sim.loading++
	incarnation := e.incarnation
	e.sim.clock.after(e.sim.loadTakes(), func() { e.loaded(o, incarnation) })
}

func (e *engine) loaded(o holder.OrderLoad, incarnation int) {
	e.sim.loading--
	if incarnation != e.incarnation {
		e.sim.tell(e, holder.LoadFailed{Load: o.Load, Evicted: true, Cause: holder.CauseUpstream})
		return
	}
	if e.sim.rng.Float64() < e.sim.load.FailedLoads {
		e.sim.tell(e, holder.LoadFailed{Load: o.Load, Evicted: true, Cause: holder.CauseWeightStore})
		return
	}
	e.resident[o.Load] = true
	e.sim.tell(e, holder.LoadDone{Load: o.Load})
}
