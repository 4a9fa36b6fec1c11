// Package holder decides for one upstream which waiting request runs next, which adapter versions
// are loaded and which one is evicted. It is a state machine: Handle takes one event and returns the actions
// that the daemon has to execute. The package does no I/O; the caller reads the clock and passes the time in, so that
// the measuring program can run the same code on a simulated clock.
package holder

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/placement/model"
)

// events.go lists a holder's input events. They come from the peer protocol (requests, pins),
// from the engine client (loads, reports) and from the freshness rules (epochs).

// Event is an input of a holder. It is sealed.
type Event interface{ event() }

// Request asks for a batch slot for one request. Cost is its expected number of tokens; it must be dispatched by
// Deadline. Alone marks a request suspected of crashing upstreams: no other request may run beside it. Apart marks a
// request under weaker suspicion: only a few of these may run concurrently, so that the next crash narrows down the
// suspects.
type Request struct {
	ID          string
	Instance    string
	Incarnation string
	Workspace   string
	Weight      float64
	Model       model.Reference
	Cost        float64
	Deadline    time.Time
	Alone       bool
	Apart       bool
}

// Pin is a running request's claim on a batch slot and on its adapter version.
type Pin struct {
	ID          string
	RequestID   string
	Instance    string
	Incarnation string
	Workspace   string
	Model       model.Reference
}

// Cause is why a load failed.
type Cause string

// The causes of LoadFailed, as reported by engines.
const (
	// CauseStaleFence: the engine has seen a newer epoch, so this instance is no longer the holder.
	CauseStaleFence Cause = "stale_fence"
	// CauseNoSlot: the engine has no free adapter slot, as it holds versions unknown to the holder.
	CauseNoSlot Cause = "no_slot"
	// CauseInUse: the engine is still running a request on the version to be evicted.
	CauseInUse Cause = "in_use"
	// CauseWeightStore: the weight store refused or failed.
	CauseWeightStore Cause = "weight_store"
	// CauseUpstream: no response from the engine; whether the order took effect is unknown.
	CauseUpstream Cause = "upstream"
)

type (
	// Appointed reports that the head of revision Epoch names this instance the upstream's holder. Members are
	// the live members that have to report their pins, this instance included. Continued is true only if this
	// instance was certainly the holder in the previous epoch, so that no other instance can have granted or
	// ordered anything since. Its list of pins is then complete.
	Appointed struct {
		Epoch     int64
		Members   []string
		Continued bool
	}
	// EpochInForce reports that no member acts on an older epoch any more.
	EpochInForce struct{ Epoch int64 }
	// FenceNoted answers OrderFence: from now on the upstream refuses orders of older epochs.
	FenceNoted struct{ Fence int64 }
	// PinsReported lists all of a member's pins on the upstream. The member has recorded the epoch and no longer
	// accepts grants of older epochs.
	PinsReported struct {
		Instance string
		Epoch    int64
		Pins     []Pin
	}
	// InstanceStopped reports that this incarnation of the instance has certainly stopped, because its freshness
	// bound has expired since its last heartbeat. Its pins are void and its list of pins is not awaited.
	InstanceStopped struct {
		Instance    string
		Incarnation string
	}
	// Yielded reports that another instance is the upstream's holder from now on.
	Yielded struct{}
	// Arrived reports a new request for a batch slot.
	Arrived struct{ Request Request }
	// Cancelled reports that the caller of a waiting request has disconnected. A granted request ends with
	// Released.
	Cancelled struct{ RequestID string }
	// Released reports that a granted request ended. Tokens is the number of tokens that the upstream spent on it.
	// UpstreamFailed means that the upstream failed while the request ran, NotResident that the upstream
	// answered that the version is not loaded.
	Released struct {
		Pin            string
		Tokens         float64
		UpstreamFailed bool
		NotResident    bool
	}
	// PermitGranted answers RequestPermit: the load may be ordered within UseWithin.
	PermitGranted struct {
		Model     model.Reference
		UseWithin time.Duration
	}
	// PermitRefused answers RequestPermit: request the permit again after RetryAfter.
	PermitRefused struct {
		Model      model.Reference
		RetryAfter time.Duration
	}
	// LoadDone answers OrderLoad: the version is loaded, and the version to be evicted is unloaded.
	LoadDone struct{ Load model.Reference }
	// LoadFailed answers OrderLoad. Evicted is true if the eviction took effect before the failure.
	LoadFailed struct {
		Load    model.Reference
		Evicted bool
		Cause   Cause
	}
	// Reported is the upstream's report; Age is the report's age on arrival. Running lists the versions that have
	// running requests; nil from an upstream that does not report them.
	Reported struct {
		Incarnation string
		Resident    []model.Reference
		Running     []model.Reference
		Age         time.Duration
	}
	// UpstreamRestarted reports that the engine is a new process with nothing loaded.
	UpstreamRestarted struct{ Incarnation string }
	// UpstreamHealth reports whether the upstream answers.
	UpstreamHealth struct{ Healthy bool }
	// UpstreamLeaving starts or stops draining the upstream: while it drains it gets no new work.
	UpstreamLeaving struct{ Leaving bool }
	// Tick triggers time-dependent decisions; send one at least every 100 milliseconds.
	Tick struct{}
)

func (Appointed) event()         {}
func (EpochInForce) event()      {}
func (FenceNoted) event()        {}
func (PinsReported) event()      {}
func (InstanceStopped) event()   {}
func (Yielded) event()           {}
func (Arrived) event()           {}
func (Cancelled) event()         {}
func (Released) event()          {}
func (PermitGranted) event()     {}
func (PermitRefused) event()     {}
func (LoadDone) event()          {}
func (LoadFailed) event()        {}
func (Reported) event()          {}
func (UpstreamRestarted) event() {}
func (UpstreamHealth) event()    {}
func (UpstreamLeaving) event()   {}
func (Tick) event()              {}
