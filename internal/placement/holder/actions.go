package holder

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/placement/model"
)

// actions.go lists a holder's actions. The daemon executes them in order.

// Action is an instruction to the daemon. It is sealed.
type Action interface{ action() }

// Reason is why a request was refused. A refused request did not run.
type Reason string

// The reasons of Refuse.
const (
	// ReasonNotHolder: this instance is not the upstream's holder, either no longer or not yet.
	ReasonNotHolder Reason = "not_holder"
	// ReasonBusy: the queue is too long for the request's deadline, or for its workspace's share.
	ReasonBusy Reason = "busy"
	// ReasonLoadFailed: the adapter version could not be loaded in time.
	ReasonLoadFailed Reason = "load_failed"
	// ReasonLeaving: the upstream is draining, or does not answer.
	ReasonLeaving Reason = "leaving"
)

type (
	// Grant allows a request to run. The pin keeps the request's adapter version loaded until the pin is
	// released.
	Grant struct {
		Pin         Pin
		WaitedLoad  time.Duration
		WaitedQueue time.Duration
	}
	// Refuse rejects a request. The request did not run and will not run.
	Refuse struct {
		RequestID   string
		Instance    string
		Reason      Reason
		RetryAfter  time.Duration
		WaitedLoad  time.Duration
		WaitedQueue time.Duration
	}
	// RequestPins requests the pins on the upstream from every member; answered by one PinsReported per member.
	RequestPins struct{ Epoch int64 }
	// OrderFence makes the upstream record the epoch as its fencing token, with any order that changes nothing;
	// answered by FenceNoted. Without a response the holder waits for Settings.OrderTimeout instead.
	OrderFence struct{ Fence int64 }
	// RequestPermit requests a load permit from the load broker; answered by PermitGranted or PermitRefused.
	// Demand is the number of waiting tokens, Waited the longest wait, Patience the time until the last of the
	// waiting requests gives up, and Workspace the workspace of the request that has waited longest.
	RequestPermit struct {
		Model     model.Reference
		Workspace string
		Demand    float64
		Waited    time.Duration
		Patience  time.Duration
	}
	// ReturnPermit returns an unused permit or withdraws the request for it.
	ReturnPermit struct{ Model model.Reference }
	// OrderLoad orders the upstream to unload Evict (unless zero) and then to load Load; answered by
	// LoadDone or LoadFailed. The daemon gives up on an order after Settings.OrderTimeout.
	OrderLoad struct {
		Load  model.Reference
		Evict model.Reference
		Fence int64
	}
)

func (Grant) action()         {}
func (Refuse) action()        {}
func (RequestPins) action()   {}
func (OrderFence) action()    {}
func (RequestPermit) action() {}
func (ReturnPermit) action()  {}
func (OrderLoad) action()     {}
