// Package holder decides for one upstream: which waiting request runs next, which adapter versions
// are loaded and which is evicted. It is an aggregate: Handle takes one event and returns the actions
// that the daemon has to carry out. It decides without sockets; the caller reads the runtime's clock
// and passes the time in, so that the measuring program can drive the same code on a simulated clock.
package holder

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/placement/model"
)

// events.go lists the facts a holder is told. They come from the peers' protocol (requests, pins),
// from the engine client (loads, reports) and from the freshness rules (epochs).

// Event is a fact told to a holder. It is sealed.
type Event interface{ event() }

// Request asks for a batch place for one request. Cost is its expected tokens; it must be dispatched
// by Deadline. Alone marks a suspect of crashing upstreams: nothing else may run beside it. Apart marks
// one that is less suspect: few of its kind may run beside each other, so that the next crash tells
// more.
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

// Pin is a running request's claim on a batch place and on its adapter version.
type Pin struct {
	ID          string
	RequestID   string
	Instance    string
	Incarnation string
	Workspace   string
	Model       model.Reference
}

// Cause tells why a load failed.
type Cause string

// The causes of LoadFailed, as engines answer them.
const (
	// CauseStaleFence: the engine has seen a newer epoch, so this instance is the holder no more.
	CauseStaleFence Cause = "stale_fence"
	// CauseNoSlot: the engine's slots are full of versions that the holder does not know of.
	CauseNoSlot Cause = "no_slot"
	// CauseInUse: the engine still runs a request on the version to be evicted.
	CauseInUse Cause = "in_use"
	// CauseWeightStore: the weight store refused or failed.
	CauseWeightStore Cause = "weight_store"
	// CauseUpstream: no answer from the engine; whether the order took effect is unknown.
	CauseUpstream Cause = "upstream"
)

type (
	// Appointed tells that the head of revision Epoch names this instance the upstream's holder. Members are
	// the live members whose pins have to be told, itself included. Continued is true only when this
	// instance is certain to have been the holder in the epoch directly before, so that no other
	// instance can have granted or ordered anything since; the pins it knows are then complete.
	Appointed struct {
		Epoch     int64
		Members   []string
		Continued bool
	}
	// EpochInForce tells that no member acts on an epoch older than this one any more.
	EpochInForce struct{ Epoch int64 }
	// FenceNoted answers OrderFence: the upstream refuses orders of older epochs from now on.
	FenceNoted struct{ Fence int64 }
	// PinsTold tells that a member has noted the epoch, takes no grant of an older one any more, and
	// has listed all the pins it has on the upstream.
	PinsTold struct {
		Instance string
		Epoch    int64
		Pins     []Pin
	}
	// InstanceGone tells that this incarnation of the instance certainly runs no more (its bound has run out
	// since it was heard of), so its pins are over and its list is not waited for.
	InstanceGone struct {
		Instance    string
		Incarnation string
	}
	// Yielded tells that another instance holds the upstream from now on.
	Yielded struct{}
	// Arrived tells that a request asks for a place.
	Arrived struct{ Request Request }
	// Cancelled tells that the caller of a waiting request has gone. A granted one is ended by Released.
	Cancelled struct{ RequestID string }
	// Released tells that a granted request ended. Tokens is what the upstream spent on it.
	// UpstreamFailed means that the upstream was lost meanwhile, NotResident that the upstream said
	// that the version is not loaded.
	Released struct {
		Pin            string
		Tokens         float64
		UpstreamFailed bool
		NotResident    bool
	}
	// PermitGranted answers AskPermit: the load may be ordered within UseWithin.
	PermitGranted struct {
		Model     model.Reference
		UseWithin time.Duration
	}
	// PermitRefused answers AskPermit: ask again after RetryAfter.
	PermitRefused struct {
		Model      model.Reference
		RetryAfter time.Duration
	}
	// LoadDone answers OrderLoad: the version is resident, and what was to be evicted is gone.
	LoadDone struct{ Load model.Reference }
	// LoadFailed answers OrderLoad. Evicted tells whether the eviction took effect before the failure.
	LoadFailed struct {
		Load    model.Reference
		Evicted bool
		Cause   Cause
	}
	// Reported is the upstream's own report; Age is how old it was when it arrived. Running are the
	// versions it ran requests on; nil from an upstream that does not tell them.
	Reported struct {
		Incarnation string
		Resident    []model.Reference
		Running     []model.Reference
		Age         time.Duration
	}
	// UpstreamRestarted tells that the engine is another process than before, with nothing loaded.
	UpstreamRestarted struct{ Incarnation string }
	// UpstreamHealth tells that the upstream answers, or has stopped answering.
	UpstreamHealth struct{ Healthy bool }
	// UpstreamLeaving tells that the upstream is to get no new work (or stays after all).
	UpstreamLeaving struct{ Leaving bool }
	// Tick lets time pass; send one at least every 100 milliseconds.
	Tick struct{}
)

func (Appointed) event()         {}
func (EpochInForce) event()      {}
func (FenceNoted) event()        {}
func (PinsTold) event()          {}
func (InstanceGone) event()      {}
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
