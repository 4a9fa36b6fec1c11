package holder

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/placement/model"
)

// actions.go lists what a holder wants done. The daemon carries the actions out in their order.

// Action is something the daemon has to do for a holder. It is sealed.
type Action interface{ action() }

// Reason tells why a request was refused; the request did not run.
type Reason string

// The reasons of Refuse.
const (
	// ReasonNotHolder: this instance does not hold the upstream, any more or yet.
	ReasonNotHolder Reason = "not_holder"
	// ReasonBusy: the queue is too long for the request's patience, or for its workspace's share.
	ReasonBusy Reason = "busy"
	// ReasonLoadFailed: the adapter version could not be loaded in time.
	ReasonLoadFailed Reason = "load_failed"
	// ReasonLeaving: the upstream is leaving, or does not answer.
	ReasonLeaving Reason = "leaving"
)

type (
	// Grant answers a request: it may run, and the pin keeps its adapter version loaded until the pin
	// is released.
	Grant struct {
		Pin         Pin
		WaitedLoad  time.Duration
		WaitedQueue time.Duration
	}
	// Refuse answers a request that did not run and will not.
	Refuse struct {
		RequestID   string
		Instance    string
		Reason      Reason
		RetryAfter  time.Duration
		WaitedLoad  time.Duration
		WaitedQueue time.Duration
	}
	// AskPins asks every member for its pins on the upstream; answered by PinsTold for each.
	AskPins struct{ Epoch int64 }
	// OrderFence makes the upstream note the epoch, by any order that changes nothing; answered by
	// FenceNoted. When it cannot be answered the holder waits longer instead.
	OrderFence struct{ Fence int64 }
	// AskPermit asks the load broker for leave to load; answered by PermitGranted or PermitRefused.
	// Demand is the waiting tokens, Waited the longest wait, Patience the time until the last of the
	// waiting gives up, Workspace that of the one who has waited longest.
	AskPermit struct {
		Model     model.Reference
		Workspace string
		Demand    float64
		Waited    time.Duration
		Patience  time.Duration
	}
	// ReturnPermit gives an unused permit back.
	ReturnPermit struct{ Model model.Reference }
	// OrderLoad orders the upstream to unload Evict (unless zero) and then to load Load; answered by
	// LoadDone or LoadFailed. Give up on an order that takes longer than Settings.LongestOrder.
	OrderLoad struct {
		Load  model.Reference
		Evict model.Reference
		Fence int64
	}
)

func (Grant) action()        {}
func (Refuse) action()       {}
func (AskPins) action()      {}
func (OrderFence) action()   {}
func (AskPermit) action()    {}
func (ReturnPermit) action() {}
func (OrderLoad) action()    {}
