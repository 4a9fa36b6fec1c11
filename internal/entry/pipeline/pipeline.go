// Package pipeline takes a caller's request through its stages on this instance: authenticate, admit,
// queue and place, forward, settle. The deciding packages have the rules; here they are asked in their
// order, at the moment their answer is used, and the calls they lead to are made.
package pipeline

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"lacewingrock.example/lacewingrock/internal/admission/claim"
	"lacewingrock.example/lacewingrock/internal/admission/rate"
	"lacewingrock.example/lacewingrock/internal/caller/api"
	"lacewingrock.example/lacewingrock/internal/caller/refusal"
	"lacewingrock.example/lacewingrock/internal/catalog/configuration"
	"lacewingrock.example/lacewingrock/internal/catalog/head"
	"lacewingrock.example/lacewingrock/internal/catalog/repository"
	"lacewingrock.example/lacewingrock/internal/catalog/resource"
	"lacewingrock.example/lacewingrock/internal/fleet/freshness"
	"lacewingrock.example/lacewingrock/internal/fleet/peer"
	"lacewingrock.example/lacewingrock/internal/placement/holder"
	"lacewingrock.example/lacewingrock/internal/placement/retry"
	"lacewingrock.example/lacewingrock/internal/placement/route"
	"lacewingrock.example/lacewingrock/internal/placement/share"
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
	"lacewingrock.example/lacewingrock/internal/report/burn"
	"lacewingrock.example/lacewingrock/internal/upstream/engine"
	"lacewingrock.example/lacewingrock/internal/upstream/service"
)

// Fleet is the calls to other members, this instance included.
type Fleet interface {
	Place(ctx context.Context, member head.Member, request peer.PlaceRequest) (peer.Placement, error)
	Release(ctx context.Context, member head.Member, request peer.ReleaseRequest) error
	BorrowTokens(ctx context.Context, member head.Member, request peer.TokenRequest) (rate.Loan, error)
}

// Engine runs completions on one upstream. Cancel answers nil once the engine has confirmed that it does
// not run the dispatch.
type Engine interface {
	Complete(ctx context.Context, dispatch engine.Dispatch, sink engine.Sink) engine.Outcome
	Cancel(ctx context.Context, id string) error
}

// Services calls plain services.
type Services interface {
	Do(ctx context.Context, address string, call service.Call) service.Outcome
}

// ObjectiveRecorder counts what went well and badly for the burn report.
type ObjectiveRecorder interface {
	Record(workspace string, objective burn.Objective, good bool)
}

// Pipeline serves callers. Set the exported fields before the first call.
type Pipeline struct {
	Self     rate.Identity
	Current  func() repository.Snapshot
	Tracker  *freshness.Tracker
	Ledger   *rate.Ledger
	Claims   *claim.Registry
	Fleet    Fleet
	Engine   func(address string) Engine
	Services Services
	// IsLeaving tells whether the machine at an address is said to be leaving.
	IsLeaving       func(address string) bool
	Pins            *Pins
	RunningRequests *RunningRequests
	Burn            ObjectiveRecorder
	State           *SharedState
	// DispatchTimeout is the longest a request may wait before it is dispatched.
	DispatchTimeout time.Duration
	// OnUpstreamCrash, when set, is told that a request was in flight when an upstream was lost, so that the other
	// instances hear of it before its caller sends it to one of them.
	OnUpstreamCrash func()
	Log             zerolog.Logger
	Scope           tally.Scope
}

// SharedState is what this instance has learnt about upstreams and requests: where to send the next one,
// which requests crash upstreams, and how many retries are left. Its parts are not safe for several
// goroutines, so all of them are used under one lock; each use takes microseconds.
type SharedState struct {
	Router   *route.Router
	Suspects *suspect.Tracker
	Retries  *retry.Budget
	Shares   *share.Tracker

	mutex sync.Mutex
}

// WithLock gives the parts to one function at a time.
func (a *SharedState) WithLock(use func(a *SharedState)) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	use(a)
}

// ---------------------------------------------------------------------------------------------

// Authenticate finds whom a key speaks for, as of now.
func (p *Pipeline) Authenticate(secret string) (identity api.Identity, err error) {
	if err := p.fresh(); err != nil {
		return api.Identity{}, err
	}
	sum := sha256.Sum256([]byte(secret))
	key, found := p.Current().Configuration.KeyByHash(hex.EncodeToString(sum[:]))
	if !found {
		return api.Identity{}, refusal.New(refusal.InvalidKey, "the key is not known")
	}
	if key.Withdrawn {
		return api.Identity{}, withdrawn()
	}
	return api.Identity{Workspace: key.Workspace, Key: key.Meta.Name}, nil
}

// Models lists the adapters, and their versions, that a workspace may use.
func (p *Pipeline) Models(identity api.Identity) (models []api.Model, err error) {
	if err := p.fresh(); err != nil {
		return nil, err
	}
	current := p.Current().Configuration
	for _, one := range current.Resources(resource.KindAdapter) {
		adapter, ok := one.(resource.Adapter)
		if ok && allowed(adapter.Workspaces, identity.Workspace) {
			models = append(models, api.Model{Name: adapter.Meta.Name, Owner: adapter.BaseModel})
		}
	}
	for _, one := range current.Resources(resource.KindAdapterVersion) {
		version, ok := one.(resource.AdapterVersion)
		if !ok {
			continue
		}
		adapter, found := current.Adapter(version.Adapter)
		if found && allowed(adapter.Workspaces, identity.Workspace) {
			models = append(models, api.Model{Name: version.Meta.Name, Owner: adapter.BaseModel})
		}
	}
	return models, nil
}

// fresh refuses while this instance can't know whether keys, rates and adapters are still in force.
func (p *Pipeline) fresh() error {
	err := p.Tracker.Fresh()
	if err == nil {
		return nil
	}
	p.Scope.Counter("refused_not_fresh").Inc(1)
	return refusal.New(refusal.NotFresh, "this instance cannot confirm its configuration; nothing was run").
		WithRetryAfter(time.Second)
}

// stillServed checks, right before something goes out for a caller, that its key and workspace are
// still in force. The request may have waited since it was authenticated, and the process may have
// been paused: without this check a withdrawn key would work for as long as that took.
func (p *Pipeline) stillServed(identity api.Identity) (current configuration.Configuration, err error) {
	current = p.Current().Configuration
	if err := p.fresh(); err != nil {
		return current, err
	}
	key, found := current.Key(identity.Key)
	if !found || key.Withdrawn || key.Workspace != identity.Workspace {
		return current, withdrawn()
	}
	return current, nil
}

func withdrawn() refusal.Refusal {
	return refusal.New(refusal.KeyWithdrawn, "the key was withdrawn")
}

// allowed tells whether a workspace is among those listed; an empty list means all.
func allowed(workspaces []string, workspace string) bool {
	return len(workspaces) == 0 || slices.Contains(workspaces, workspace)
}

// reasonRefusal turns a holder's refusal into what the caller is told.
func reasonRefusal(refused peer.Refused) refusal.Refusal {
	code, message := refusal.Busy, "the upstreams are busy"
	if refused.Reason == holder.ReasonLoadFailed {
		code, message = refusal.LoadFailed, "the adapter version could not be loaded"
	}
	return refusal.New(code, message).WithRetryAfter(refused.RetryAfter)
}
