package holder

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/catalog/resource"
	"lacewingrock.example/lacewingrock/internal/placement/model"
	"lacewingrock.example/lacewingrock/internal/placement/queue"
)

// holder.go routes each event to its handler and queues or refuses requests.

// retryElsewhere is the retry time for a caller of an instance that is not the holder, or of an upstream that accepts no
// work: by then heartbeats have announced the new holder.
const retryElsewhere = time.Second

// networkDelay is the network delay of a grant to the instance and of the request from there to the upstream. Without this
// margin a request granted just before its deadline would be dispatched after it, when its caller has given up.
const networkDelay = 10 * time.Millisecond

// Holder decides for one upstream. Set the exported fields before the first Handle. It is not safe
// for concurrent use: one event loop owns it.
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
	// now and actions belong to the event being handled.
	now     time.Time
	actions []Action
}

// Handle processes one event that happened at now and returns the actions to execute.
func (h *Holder) Handle(now time.Time, event Event) []Action {
	h.ensureInitialised()
	h.now = now
	h.actions = nil
	switch e := event.(type) {
	case Appointed:
		h.appointed(e)
	case EpochInForce:
		h.epochInForce(now, e)
	case FenceNoted:
		h.tenure = h.tenure.withFenceNoted(now, e.Fence)
	case PinsReported:
		h.pinsReported(e)
	case InstanceStopped:
		h.instanceStopped(e)
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
	h.advance(now)
	return h.actions
}

// Summary is the upstream's state as published to the other instances.
type Summary struct {
	Upstream       string
	Epoch          int64
	FreeBatchSlots int
	Backlog        time.Duration
	Resident       []model.Reference
	Healthy        bool
	// Coldest is the recent demand, in requests, of the version that would be evicted next; zero while
	// a slot is free.
	Coldest float64
}

// Summary returns the upstream's state at now. Resident is sorted by name.
func (h *Holder) Summary(now time.Time) Summary {
	h.ensureInitialised()
	return Summary{
		Upstream:       h.Upstream.Meta.Name,
		Epoch:          h.tenure.epoch,
		FreeBatchSlots: max(0, h.Upstream.Batch-h.pins.len()-h.queue.Len()),
		Backlog:        h.occupancy(now).NextSlot + h.queue.Backlog(),
		Resident:       h.residency.list(),
		Healthy:        h.acceptsWork(),
		Coldest:        h.coldest(now),
	}
}

// Pins lists the pins of running requests that this holder granted or that members reported.
func (h *Holder) Pins() []Pin { return h.pins.list() }

// ---------------------------------------------------------------------------------------------

// ensureInitialised initialises the unexported fields from the exported ones, which are set after construction.
func (h *Holder) ensureInitialised() {
	if h.queue != nil {
		return
	}
	h.queue = &queue.Queue{
		Slots:      h.Upstream.Batch,
		MaxBacklog: h.Settings.MaxBacklog,
		MaxLength:  h.Settings.MaxQueueLength,
		FIFO:       h.Settings.FirstInFirstOut,
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

// advance expires and dispatches queued requests and advances the loads, after any event.
func (h *Holder) advance(now time.Time) {
	if !h.acceptsWork() {
		h.refuseAll(ReasonLeaving, retryElsewhere)
		return
	}
	occupancy := h.occupancy(now)
	for _, entry := range h.queue.Expire(now, occupancy) {
		h.refuse(entry.ID, ReasonBusy, occupancy.NextSlot+h.queue.Backlog())
	}
	h.dispatch(now)
	h.advanceLoads(now)
}

// acceptsWork reports whether the upstream may get new work.
func (h *Holder) acceptsWork() bool { return !h.unhealthy && !h.leaving }

// arrived queues a request, or refuses it at once.
func (h *Holder) arrived(now time.Time, request Request) {
	if !h.tenure.holding {
		h.refuseNew(request, ReasonNotHolder, retryElsewhere)
		return
	}
	if !h.acceptsWork() {
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
		Deadline:  request.Deadline.Add(-networkDelay),
	}
	displaced, err := h.queue.Push(now, entry, h.occupancy(now))
	for _, dropped := range displaced {
		h.refuse(dropped.ID, ReasonBusy, h.queue.Backlog())
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

// refuse refuses a waiting request that was already removed from the queue.
func (h *Holder) refuse(id string, reason Reason, retryAfter time.Duration) {
	w := h.waiting.remove(id)
	if w == nil {
		return
	}
	load, queued := w.waited(h.now)
	h.emit(Refuse{
		RequestID:   id,
		Instance:    w.request.Instance,
		Reason:      reason,
		RetryAfter:  retryAfter,
		WaitedLoad:  load,
		WaitedQueue: queued,
	})
}

// refuseNew refuses a request that was never queued.
func (h *Holder) refuseNew(request Request, reason Reason, retryAfter time.Duration) {
	h.emit(Refuse{RequestID: request.ID, Instance: request.Instance, Reason: reason, RetryAfter: retryAfter})
}

// refuseWhere refuses and removes the waiting requests that match.
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

func (h *Holder) emit(action Action) { h.actions = append(h.actions, action) }
