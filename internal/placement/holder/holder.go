package holder

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/catalog/resource"
	"lacewingrock.example/lacewingrock/internal/placement/model"
	"lacewingrock.example/lacewingrock/internal/placement/queue"
)

// holder.go is the aggregate: it takes an event apart and hands it to the file that has the rule.

// retryElsewhere is when a caller may come back to an instance that is not the holder, or to an
// upstream that takes nothing: by then heartbeats have told who is. No measured reason yet.
const retryElsewhere = time.Second

// travel is what a grant takes to the instance and the request from there to the upstream: a request
// granted in the last moment would be dispatched after its deadline, for nobody.
const travel = 10 * time.Millisecond

// Holder decides for one upstream. Set the exported fields before the first Handle. It is not safe
// for use by several goroutines: one loop owns it.
type Holder struct {
	Upstream resource.Upstream
	Settings Settings

	tenure    tenure
	queue     *queue.Queue
	waiting   waiting
	pins      pins
	residency residency
	loads     map[model.Reference]*load
	demand    demand
	speed     speed
	times     loadTimes
	unhealthy bool
	leaving   bool
	// now and actions are those of the event being handled.
	now     time.Time
	actions []Action
}

// Handle takes one event that happened at now and returns what has to be done.
func (h *Holder) Handle(now time.Time, event Event) []Action {
	h.prepare()
	h.now = now
	h.actions = nil
	switch e := event.(type) {
	case Appointed:
		h.appointed(e)
	case EpochInForce:
		h.epochInForce(now, e)
	case FenceNoted:
		h.tenure = h.tenure.withFenceNoted(now, e.Fence)
	case PinsTold:
		h.pinsTold(e)
	case InstanceGone:
		h.instanceGone(e)
	case Yielded:
		h.yielded()
	case Arrived:
		h.arrived(now, e.Request)
	case Cancelled:
		h.cancelled(e)
	case Released:
		h.released(now, e)
	case PermitGranted:
		h.permitGranted(now, e)
	case PermitRefused:
		h.permitRefused(now, e)
	case LoadDone:
		h.loadDone(now, e)
	case LoadFailed:
		h.loadFailed(now, e)
	case Reported:
		h.reported(now, e)
	case UpstreamRestarted:
		h.restarted(now, e.Incarnation)
	case UpstreamHealth:
		h.unhealthy = !e.Healthy
	case UpstreamLeaving:
		h.leaving = e.Leaving
	case Tick:
	}
	h.settle(now)
	return h.actions
}

// Summary is what the other instances are told of the upstream.
type Summary struct {
	Upstream   string
	Epoch      int64
	FreePlaces int
	Backlog    time.Duration
	Resident   []model.Reference
	Healthy    bool
	// Coldest is the recent demand, in requests, of the version that would be evicted next; zero while
	// a slot is free.
	Coldest float64
}

// Summary of the upstream as of now. Resident is in the order of the names.
func (h *Holder) Summary(now time.Time) Summary {
	h.prepare()
	return Summary{
		Upstream:   h.Upstream.Meta.Name,
		Epoch:      h.tenure.epoch,
		FreePlaces: max(0, h.Upstream.Batch-h.pins.len()-h.queue.Len()),
		Backlog:    h.occupancy(now).NextPlace + h.queue.Backlog(),
		Resident:   h.residency.list(),
		Healthy:    h.takesWork(),
		Coldest:    h.coldest(now),
	}
}

// Pins lists the running pins that this holder granted or was told of.
func (h *Holder) Pins() []Pin { return h.pins.list() }

// ---------------------------------------------------------------------------------------------

// prepare makes the zero value usable, as the exported fields are set after it is made.
func (h *Holder) prepare() {
	if h.queue != nil {
		return
	}
	h.queue = &queue.Queue{
		Places:          h.Upstream.Batch,
		LongestBacklog:  h.Settings.LongestBacklog,
		Longest:         h.Settings.LongestQueue,
		FirstInFirstOut: h.Settings.FirstInFirstOut,
	}
	h.waiting = newWaiting()
	h.loads = make(map[model.Reference]*load)
	h.pins = newPins()
	h.residency = newResidency()
	h.demand = newDemand(h.Settings.Eviction)
	h.speed = speed{perToken: h.Settings.TokenTime}
	h.times = newLoadTimes(h.Settings.ExpectedLoad)
	h.leaving = h.Upstream.Leaving
}

// settle does what any event may have made possible.
func (h *Holder) settle(now time.Time) {
	if !h.takesWork() {
		h.refuseAll(ReasonLeaving, retryElsewhere)
		return
	}
	occupancy := h.occupancy(now)
	for _, entry := range h.queue.Expire(now, occupancy) {
		h.refuse(entry.ID, ReasonBusy, occupancy.NextPlace+h.queue.Backlog())
	}
	h.dispatch(now)
	h.driveLoads(now)
}

// takesWork tells whether the upstream may get new work at all.
func (h *Holder) takesWork() bool { return !h.unhealthy && !h.leaving }

// arrived queues a request, or refuses it at once.
func (h *Holder) arrived(now time.Time, request Request) {
	if !h.tenure.holding {
		h.refuseNew(request, ReasonNotHolder, retryElsewhere)
		return
	}
	if !h.takesWork() {
		h.refuseNew(request, ReasonLeaving, retryElsewhere)
		return
	}
	if h.waiting.byID[request.ID] != nil {
		return
	}
	h.demand.add(now, request.Model)
	if wait := h.untilLoaded(now, request.Model); now.Add(wait).After(request.Deadline) {
		h.refuseNew(request, ReasonBusy, wait)
		return
	}
	h.enqueue(now, request)
}

func (h *Holder) enqueue(now time.Time, request Request) {
	entry := queue.Entry{
		ID:        request.ID,
		Workspace: request.Workspace,
		Weight:    request.Weight,
		Cost:      request.Cost,
		Work:      h.speed.work(request.Cost),
		Deadline:  request.Deadline.Add(-travel),
	}
	displaced, err := h.queue.Push(now, entry, h.occupancy(now))
	for _, out := range displaced {
		h.refuse(out.ID, ReasonBusy, h.queue.Backlog())
	}
	if refusal, refused := err.(queue.Refusal); refused {
		h.refuseNew(request, ReasonBusy, refusal.RetryAfter)
		return
	}
	w := &waiter{request: request, arrived: now}
	if !h.residency.has(request.Model) {
		w.loadSince = now
	}
	h.waiting.add(w)
}

func (h *Holder) cancelled(e Cancelled) {
	h.queue.Remove(e.RequestID)
	h.waiting.remove(e.RequestID)
}

// refuse answers a waiting request that is already out of the queue.
func (h *Holder) refuse(id string, reason Reason, retryAfter time.Duration) {
	w := h.waiting.remove(id)
	if w == nil {
		return
	}
	load, queued := w.waited(h.now)
	h.act(Refuse{
		RequestID:   id,
		Instance:    w.request.Instance,
		Reason:      reason,
		RetryAfter:  retryAfter,
		WaitedLoad:  load,
		WaitedQueue: queued,
	})
}

// refuseNew answers a request that was never queued.
func (h *Holder) refuseNew(request Request, reason Reason, retryAfter time.Duration) {
	h.act(Refuse{RequestID: request.ID, Instance: request.Instance, Reason: reason, RetryAfter: retryAfter})
}

// refuseWhere answers and removes the waiting requests that match.
func (h *Holder) refuseWhere(match func(Request) bool, reason Reason, retryAfter time.Duration) {
	var ids []string
	h.queue.Each(func(entry queue.Entry) {
		if match(h.waiting.byID[entry.ID].request) {
			ids = append(ids, entry.ID)
		}
	})
	for _, id := range ids {
		h.queue.Remove(id)
		h.refuse(id, reason, retryAfter)
	}
}

func (h *Holder) refuseAll(reason Reason, retryAfter time.Duration) {
	h.refuseWhere(func(Request) bool { return true }, reason, retryAfter)
}

func (h *Holder) act(action Action) { h.actions = append(h.actions, action) }
