package node

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/residence"
)

// slot_classes.go applies the classes of requests at the holder: what a request waits for, until when, and what is
// logged and counted of it.

// waiterOf is a request as the planner knows it.
func waiterOf(now time.Time, request mesh.PrepareRequest) residence.Request {
	return residence.Request{
		Adapter: request.Adapter, Version: request.Version, Priority: request.Priority, OverShare: request.OverShare,
		OnTimeUntil: now.Add(request.OnTime), Demand: request.Demand, Replica: request.Replica,
	}
}

// deadlines returns until when a request may wait for its prefill turn, and until when for an adapter slot. Under
// contention the second is what the sender allows, so that it can ask others in time; the load that follows takes
// longer.
func (h *heldUpstream) deadlines(now time.Time, request mesh.PrepareRequest) (turn, slot time.Time) {
	if h.planner.Contention {
		return now.Add(request.OnTime), now.Add(request.MaxWait)
	}
	turn = now.Add(min(request.MaxWait, request.OnTime))
	return turn, turn
}

// reserve returns the loaded version of the requested adapter, and reserves it if a request is about to use it. The
// caller holds the lock.
func (h *heldUpstream) reserve(now time.Time, request mesh.PrepareRequest) (version int64, has bool) {
	if request.Replica {
		return h.planner.LoadedVersion(request.Adapter, request.Version)
	}
	return h.planner.Reserve(now, request.Adapter, request.Version)
}

// slotWait is the wait for an adapter slot that is stated to all instances: under contention that of the highest class.
// Those of other classes learn theirs when they are refused. The caller holds the lock.
func (h *heldUpstream) slotWait(now time.Time) time.Duration {
	if h.planner.Contention {
		return h.planner.ExpectedClassWait(now, residence.Request{OnTimeUntil: now.Add(time.Second)})
	}
	return h.planner.ExpectedWait(now, traffic.Adapter{})
}

// recordGrant logs and counts the grant of an adapter slot, once for each load. The caller holds the lock.
func (h *heldUpstream) recordGrant() {
	grant, found := h.planner.TakeGrant()
	if !found {
		return
	}
	h.node.Log.Info().Str("Upstream", h.upstream.ID).Str("Adapter", grant.Adapter.String()).
		Int("Priority", grant.Class.Priority).Bool("OverShare", grant.Class.OverShare).Float64("Demand", grant.Demand).
		Bool("Replica", grant.Replica).Bool("Floor", grant.Floor).Int64("WaitedMillis", grant.Waited.Milliseconds()).
		Msg("SlotGrant")
	h.node.scope.Tagged(priorityTag(grant.Class.Priority)).Histogram("slot_wait_time", slotWaitBuckets).RecordDuration(grant.Waited)
}

// slotWaitBuckets range from a free adapter slot to the longest wait at one holder.
var slotWaitBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 10)

// countSlotResult counts under contention which requests got no adapter.
func (h *heldUpstream) countSlotResult(request mesh.PrepareRequest, prepared mesh.PrepareResult) {
	if _, busy := prepared.(mesh.Busy); busy && h.planner.Contention && !request.Replica {
		h.node.scope.Tagged(priorityTag(request.Priority)).Counter("slot_refusals").Inc(1)
	}
}

// maxPriorityTag bounds the values of the tag.
const maxPriorityTag = 9

func priorityTag(priority int) map[string]string {
	return map[string]string{"priority": strconv.Itoa(min(max(priority, 0), maxPriorityTag))}
}
