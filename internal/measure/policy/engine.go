package policy

import (
	"fmt"
	"sort"
	"time"

	"lacewingrock.example/lacewingrock/internal/catalog/resource"
	"lacewingrock.example/lacewingrock/internal/placement/holder"
	"lacewingrock.example/lacewingrock/internal/placement/model"
)

// engine.go implements a minimal model of an engine with a batch, few adapter slots, and loads through the
// weight store. The duration of a request does not depend on how full the batch is.

const (
	// crashAfter is how long a poison request runs before the engine crashes.
	crashAfter = 200 * time.Millisecond
	// restartAfter is how long an engine takes to restart, with nothing loaded.
	restartAfter = 3 * time.Second
	// loadTime is the duration of a load while the weight store is not congested.
	loadTime = 250 * time.Millisecond
	// uncongestedLoads is how many loads may be in flight before each takes longer.
	uncongestedLoads = 8
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
	running     map[string]*execution
}

// execution is one request in the batch.
type execution struct {
	call    *call
	pin     holder.Pin
	started time.Duration
	done    bool
}

func (e *engine) name() string { return e.declared.Meta.Name }

// residentModels returns the adapter versions that the engine has loaded, sorted by name.
func (e *engine) residentModels() (list []model.Reference) {
	for ref := range e.resident {
		list = append(list, ref)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Adapter < list[j].Adapter })
	return list
}

// slowdown returns the factor by which the engine is slower than usual.
func (e *engine) slowdown() float64 {
	if e.sim.load.Slow > 0 && e.number == 0 && e.sim.clock.elapsed() >= disturbanceStart {
		return e.sim.load.Slow
	}
	return 1
}

// startRequest starts a granted request.
func (e *engine) startRequest(c *call, pin holder.Pin) {
	if e.down {
		e.sim.notifyEnd(e, c, holder.Released{Pin: pin.ID, UpstreamFailed: true}, 0)
		return
	}
	if !e.resident[pin.Model] {
		e.sim.notifyEnd(e, c, holder.Released{Pin: pin.ID, NotResident: true}, 0)
		return
	}
	if e.sim.clock.now.After(c.deadline) {
		e.sim.tally.lateDispatches++
	}
	r := &execution{call: c, pin: pin, started: e.sim.clock.elapsed()}
	e.running[pin.ID] = r
	if c.request.poison {
		e.sim.clock.after(crashAfter, func() { e.crash(r) })
		return
	}
	c.firstToken = e.sim.clock.elapsed() + time.Duration(float64(timeToFirstToken)*e.slowdown())
	took := time.Duration(float64(c.request.work()) * e.slowdown())
	e.sim.clock.after(took, func() { e.finish(r) })
}

func (e *engine) finish(r *execution) {
	if r.done {
		return
	}
	e.removeExecution(r)
	e.sim.tally.recordUseful(r.started, e.sim.clock.elapsed(), e.slowdown())
	e.sim.notifyEnd(e, r.call, holder.Released{Pin: r.pin.ID, Tokens: r.call.request.tokens}, e.sim.clock.elapsed()-r.started)
}

func (e *engine) removeExecution(r *execution) {
	r.done = true
	delete(e.running, r.pin.ID)
}

// crash fails all running requests and restarts the engine. A case also restarts an upstream with it, without a
// cause.
func (e *engine) crash(cause *execution) {
	if cause != nil && cause.done {
		return
	}
	if cause != nil {
		e.sim.tally.crashes++
	}
	e.down = true
	e.resident = make(map[model.Reference]bool)
	e.incarnation++
	lost := e.sortedExecutions()
	for _, r := range lost {
		e.removeExecution(r)
		e.sim.tally.recordWasted(r.started, e.sim.clock.elapsed())
	}
	e.sim.deliver(e, holder.UpstreamHealth{Healthy: false})
	e.sim.notifyCrash(e, lost)
	e.sim.clock.after(restartAfter, e.restart)
}

func (e *engine) restart() {
	e.down = false
	e.sim.deliver(e, holder.UpstreamRestarted{Incarnation: e.incarnationID()})
	e.sim.deliver(e, holder.UpstreamHealth{Healthy: true})
}

func (e *engine) incarnationID() string { return fmt.Sprint(e.incarnation) }

func (e *engine) sortedExecutions() (list []*execution) {
	for _, r := range e.running {
		list = append(list, r)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].pin.ID < list[j].pin.ID })
	return list
}

// startLoad evicts a version if ordered and starts a load.
func (e *engine) startLoad(o holder.OrderLoad) {
	if e.down {
		e.sim.deliver(e, holder.LoadFailed{Load: o.Load, Cause: holder.CauseUpstream})
		return
	}
	for _, r := range e.sortedExecutions() {
		if r.pin.Model == o.Evict {
			e.sim.tally.evictedServing++
		}
	}
	delete(e.resident, o.Evict)
	if len(e.resident) >= e.declared.Slots {
		e.sim.deliver(e, holder.LoadFailed{Load: o.Load, Evicted: true, Cause: holder.CauseNoSlot})
		return
	}
	e.sim.tally.recordLoad(e.sim.clock.elapsed())
	e.sim.loadsInFlight++
	incarnation := e.incarnation
	e.sim.clock.after(e.sim.loadDuration(), func() { e.finishLoad(o, incarnation) })
}

func (e *engine) finishLoad(o holder.OrderLoad, incarnation int) {
	e.sim.loadsInFlight--
	if incarnation != e.incarnation {
		e.sim.deliver(e, holder.LoadFailed{Load: o.Load, Evicted: true, Cause: holder.CauseUpstream})
		return
	}
	if e.sim.rng.Float64() < e.sim.load.FailedLoads {
		e.sim.deliver(e, holder.LoadFailed{Load: o.Load, Evicted: true, Cause: holder.CauseWeightStore})
		return
	}
	e.resident[o.Load] = true
	e.sim.deliver(e, holder.LoadDone{Load: o.Load})
}
