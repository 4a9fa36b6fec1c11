// Package pipeline runs a caller's request through its stages on this instance: authentication, admission,
// queueing and placement, forwarding, settlement. Other packages decide by their rules; this package calls them in
// order, immediately before it acts on each decision, and makes the resulting calls.
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

// Fleet calls members of the fleet, including this instance.
type Fleet interface {
	Place(ctx context.Context, member head.Member, request peer.PlaceRequest) (peer.Placement, error)
	Release(ctx context.Context, member head.Member, request peer.ReleaseRequest) error
	BorrowTokens(ctx context.Context, member head.Member, request peer.TokenRequest) (rate.Loan, error)
}

// Engine runs completions on one upstream. Cancel returns nil once the engine has confirmed that it does not run
// the dispatch.
type Engine interface {
	Complete(ctx context.Context, dispatch engine.Dispatch, sink engine.Sink) engine.Outcome
	Cancel(ctx context.Context, id string) error
}

// Services calls plain services.
type Services interface {
	Do(ctx context.Context, address string, call service.Call) service.Outcome
}

// ObjectiveRecorder counts good and bad events per objective for the burn report.
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
	// IsLeaving reports whether the machine at an address is listed as leaving, that is, being drained.
	IsLeaving       func(address string) bool
	Pins            *Pins
	RunningRequests *RunningRequests
	Burn            ObjectiveRecorder
	State           *SharedState
	// DispatchTimeout is the maximum time that a request may wait before it is dispatched.
	DispatchTimeout time.Duration
	// OnUpstreamCrash, if set, is called when an upstream was lost while it ran a request. It notifies the other
	// instances before the caller repeats the request at one of them.
	OnUpstreamCrash func()
	Log             zerolog.Logger
	Scope           tally.Scope
}

// SharedState is the state that all requests of this instance share: the router, the requests suspected of crashing
// upstreams, the retry budget and the workspaces' shares. Its parts are not safe for concurrent use, so one lock guards
// all of them; each use takes microseconds.
type SharedState struct {
	Router   *route.Router
	Suspects *suspect.Tracker
	Retries  *retry.Budget
	Shares   *share.Tracker

	mutex sync.Mutex
}

// WithLock calls use with the lock held.
func (s *SharedState) WithLock(use func(s *SharedState)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	use(s)
}

// ---------------------------------------------------------------------------------------------

// Authenticate returns the identity of a key's secret in the current configuration.
func (p *Pipeline) Authenticate(secret string) (identity api.Identity, err error) {
	if err := p.checkFreshness(); err != nil {
		return api.Identity{}, err
	}
	sum := sha256.Sum256([]byte(secret))
	key, found := p.Current().Configuration.KeyByHash(hex.EncodeToString(sum[:]))
	if !found {
		return api.Identity{}, refusal.New(refusal.InvalidKey, "the key is not known")
	}
	if key.Withdrawn {
		return api.Identity{}, keyWithdrawn()
	}
	return api.Identity{Workspace: key.Workspace, Key: key.Meta.Name}, nil
}

// Models lists the adapters and adapter versions that a workspace may use.
func (p *Pipeline) Models(identity api.Identity) (models []api.Model, err error) {
	if err := p.checkFreshness(); err != nil {
		return nil, err
	}
	current := p.Current().Configuration
	for _, declared := range current.Resources(resource.KindAdapter) {
		adapter, ok := declared.(resource.Adapter)
		if ok && workspaceAllowed(adapter.Workspaces, identity.Workspace) {
			models = append(models, api.Model{Name: adapter.Meta.Name, Owner: adapter.BaseModel})
		}
	}
	for _, declared := range current.Resources(resource.KindAdapterVersion) {
		version, ok := declared.(resource.AdapterVersion)
		if !ok {
			continue
		}
		adapter, found := current.Adapter(version.Adapter)
		if found && workspaceAllowed(adapter.Workspaces, identity.Workspace) {
			models = append(models, api.Model{Name: version.Meta.Name, Owner: adapter.BaseModel})
		}
	}
	return models, nil
}

// checkFreshness refuses while this instance cannot confirm that keys, rates and adapters are still in force.
func (p *Pipeline) checkFreshness() error {
	err := p.Tracker.Fresh()
	if err == nil {
		return nil
	}
	p.Scope.Counter("refused_not_fresh").Inc(1)
	return refusal.New(refusal.NotFresh, "this instance cannot confirm its configuration; nothing was run").
		WithRetryAfter(time.Second)
}

// checkIdentity checks that the caller's key and workspace are still in force. It is called immediately before
// anything is sent for the caller. The request may have waited since it was authenticated, or the process may have
// been paused; without this check a withdrawn key would remain usable for that time.
func (p *Pipeline) checkIdentity(identity api.Identity) (current configuration.Configuration, err error) {
	current = p.Current().Configuration
	if err := p.checkFreshness(); err != nil {
		return current, err
	}
	key, found := current.Key(identity.Key)
	if !found || key.Withdrawn || key.Workspace != identity.Workspace {
		return current, keyWithdrawn()
	}
	return current, nil
}

func keyWithdrawn() refusal.Refusal {
	return refusal.New(refusal.KeyWithdrawn, "the key was withdrawn")
}

// workspaceAllowed reports whether a workspace is listed; an empty list allows all.
func workspaceAllowed(workspaces []string, workspace string) bool {
	return len(workspaces) == 0 || slices.Contains(workspaces, workspace)
}

// placementRefusal converts a holder's refusal into the refusal for the caller.
func placementRefusal(refused peer.Refused) refusal.Refusal {
	code, message := refusal.Busy, "the upstreams are busy"
	if refused.Reason == holder.ReasonLoadFailed {
		code, message = refusal.LoadFailed, "the adapter version could not be loaded"
	}
	return refusal.New(code, message).WithRetryAfter(refused.RetryAfter)
}
