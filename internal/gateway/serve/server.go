// Package serve runs callers' requests through the stages decode, route, authenticate, read the body, admit, choose an
// upstream, send, and relay the response. The rules are in the admission and placement packages; this package calls
// them in order and makes the network calls that follow.
package serve

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"lacewingrock.example/lacewingrock/internal/admission/contention"
	"lacewingrock.example/lacewingrock/internal/admission/quota"
	"lacewingrock.example/lacewingrock/internal/caller/refusal"
	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/gateway/call"
	"lacewingrock.example/lacewingrock/internal/gateway/forward"
	"lacewingrock.example/lacewingrock/internal/gateway/memory"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/demand"
	"lacewingrock.example/lacewingrock/internal/placement/origin"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
	"lacewingrock.example/lacewingrock/internal/placement/retry"
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
)

// Fleet is the interface to the rest of the instance.
type Fleet interface {
	// Table returns the configuration in force, or nil if none is known yet.
	Table() *traffic.Table
	// ConfirmedAge returns how long ago the store confirmed that the configuration in force is its newest; negative if
	// it never did.
	ConfirmedAge() time.Duration
	// MayBeStale reports whether changes of the configuration may be missing that operators expect to be in force.
	MayBeStale() bool
	// NewestVersion returns the newest declared version of an adapter, 0 if none was declared, and until when requests may
	// begin to run on an older one.
	NewestVersion(adapter traffic.Adapter) (version int64, olderUntil time.Time)
	// Prepare asks for an adapter to be loaded at an upstream and waits for the result.
	Prepare(ctx context.Context, request mesh.PrepareRequest) mesh.PrepareResult
	// QueryHolder asks the holder of an upstream for the loaded adapters and the requests in flight there, for the next
	// choice.
	QueryHolder(ctx context.Context, upstream string)
	// RateCoordinator returns the instance that decides about the rate of a workspace, nil if there is none.
	RateCoordinator(workspace string) quota.Coordinator
	// ChargeCoordinator asks a coordinator for its verdict on a charge. The context bounds the wait.
	ChargeCoordinator(ctx context.Context, coordinator quota.Peer, charge quota.Charge) quota.Verdict
	// PublishSpent sends the totals that this instance has admitted to the other instances at once.
	PublishSpent()
	// NotifyHolder reports to the holder that the load of this instance at the upstream has changed (preparation,
	// attempt or first event).
	NotifyHolder(upstream string)
	// ReportUnfinished reports an attempt that may have run without proof that the request ran to completion: the upstream
	// may have crashed, or may do so yet. broken: its response broke off.
	ReportUnfinished(upstream traffic.Upstream, attempt suspect.Attempt, broken bool)
	// VerifyLink reports that an upstream has not responded: the link of this instance to it may be lost.
	VerifyLink(upstream traffic.Upstream)
	// RecordOrigin keeps where a stream has begun, just before its caller gets the first event. callerTimeout is how long
	// the caller waits from its request on, 0 if it has not stated that.
	RecordOrigin(stream origin.Stream, began origin.Origin, callerTimeout time.Duration)
	// FindOrigin returns where a stream began that a caller resumes, here or at another instance. service is the only one
	// that the stream can belong to, empty if there are several.
	FindOrigin(ctx context.Context, stream origin.Stream, service string) origin.Finding
}

// SharedState is the state that decisions about requests are based on. Its parts are not safe for concurrent use, so one
// mutex guards all of them; each use takes microseconds.
type SharedState struct {
	Pool     *pool.Pool
	Ledger   *quota.Ledger
	Suspects *suspect.Tracker
	Retries  *retry.Budgets
	// Demand counts the requests for each adapter, nil if they are not counted. ReplicatePopular: popular adapters of
	// all services get replicas, and not only where the upstreams state their pace.
	Demand           *demand.Tracker
	ReplicatePopular bool

	mutex sync.Mutex
}

// WithLock calls a function with the mutex locked.
func (s *SharedState) WithLock(use func(s *SharedState)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	use(s)
}

// Handler serves callers. Set the exported fields before the first request.
type Handler struct {
	Dialect call.Dialect
	Fleet   Fleet
	Forward *forward.Client
	State   *SharedState
	Log     zerolog.Logger
	Scope   tally.Scope
	// Contention: requests compete for adapter slots by class, and few holders are asked for one.
	Contention bool
	// Admission decides by priority and workspace which requests are refused under contention; nil if that is off. It
	// is guarded by the mutex of State.
	Admission *contention.Controller
	// Memory is the account of what is held for requests and responses. Without one, nothing is refused for its size
	// alone.
	Memory *memory.Account

	draining atomic.Bool
	refusing atomic.Bool
	stop     stop
	running  atomic.Int64
	unframed atomic.Int64
}

// Running returns the number of requests that run, and how many of them have a response in progress that ends with its
// connection.
func (h *Handler) Running() (requests, unframed int64) { return h.running.Load(), h.unframed.Load() }

// StartDraining adds Connection: close to all further responses, so that callers move to another connection.
func (h *Handler) StartDraining() { h.draining.Store(true) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	j := &job{handler: h, writer: w, caller: r.Context(), startedAt: time.Now(), acceptsChunks: r.ProtoAtLeast(1, 1)}
	defer j.releaseMemory()
	h.running.Add(1)
	defer h.running.Add(-1)
	defer j.endUnframed()
	j.setDeadlines(maxRequestTime)
	if h.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	err := h.serve(r, j)
	if err != nil && !j.started && j.failure != nil {
		err = j.forwardFailure()
	}
	if err != nil {
		j.refuse(err)
	}
	j.log(err)
	switch {
	case j.refusedBody != nil:
		j.discardBody()
	case err != nil && j.started:
		j.abort()
	case j.endsWithConnection:
		j.closeInOrder()
	}
}

func (h *Handler) serve(r *http.Request, j *job) (err error) {
	if h.refusing.Load() {
		return refusal.New(refusal.Stopping, "the instance is stopping").WithRetryAfter(stoppingRetryAfter)
	}
	j.table = h.Fleet.Table()
	if j.table == nil {
		return refusal.New(refusal.NotFresh, "no configuration is known yet").WithRetryAfter(startingRetryAfter)
	}
	j.call, err = h.Dialect.Decode(r)
	j.call.Received = j.startedAt
	if err != nil {
		return refusal.New(refusal.BadRequest, err.Error())
	}
	if err := forward.CheckTarget(j.call.Target); err != nil {
		return refusal.New(refusal.BadRequest, err.Error())
	}
	if err := j.resolve(); err != nil {
		return err
	}
	if err := j.readBody(r); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(r.Context(), j.deadline)
	defer cancel()
	if err := j.admit(ctx); err != nil {
		return err
	}
	chargedAt := time.Now()
	err = j.run(ctx)
	if !j.mayHaveRun {
		h.State.WithLock(func(state *SharedState) { state.Ledger.Refund(j.workspace.Name, j.cost, chargedAt) })
	}
	return err
}

// maxRequestTime bounds a request until its route is known.
const maxRequestTime = 30 * time.Second

// setDeadlines bounds how long a caller that sends or reads too slowly can hold a connection and the resources behind
// it. If setting a deadline fails, the caller's speed is not bounded.
func (j *job) setDeadlines(within time.Duration) {
	control := http.NewResponseController(j.writer)
	until := j.startedAt.Add(within)
	if err := control.SetReadDeadline(until); err != nil {
		j.handler.Log.Debug().Err(err).Msg("NoReadDeadline")
	}
	if err := control.SetWriteDeadline(until.Add(writeGrace)); err != nil {
		j.handler.Log.Debug().Err(err).Msg("NoWriteDeadline")
	}
}

// clearReadDeadline removes the read deadline once the body is complete. net/http keeps reading to detect a caller that
// disconnects. A read deadline that expires there looks like a disconnect, and a request that is being answered at that
// moment would be treated as cancelled by its caller.
func (j *job) clearReadDeadline() {
	if err := http.NewResponseController(j.writer).SetReadDeadline(time.Time{}); err != nil {
		j.handler.Log.Debug().Err(err).Msg("NoReadDeadline")
	}
}

// writeGrace is the time for the last bytes of a response that ends at the request's deadline.
const writeGrace = time.Second

// stoppingRetryAfter is short because any other instance can serve the request at once.
const stoppingRetryAfter = 50 * time.Millisecond

// startingRetryAfter is about the time that an instance needs to receive a configuration.
const startingRetryAfter = 300 * time.Millisecond

// resolve finds the route and the workspace of the request.
func (j *job) resolve() error {
	route, found := j.table.Route(j.call.Host, j.call.Path)
	if !found {
		return j.refuseUnknown(refusal.NotFound, "no route matches the host and path")
	}
	j.route = route
	j.service = route.PickService()
	j.priority = route.Priority
	j.deadline = j.startedAt.Add(route.Timeout)
	if j.call.CallerTimeout > 0 && j.call.CallerTimeout < route.Timeout {
		j.deadline = j.startedAt.Add(j.call.CallerTimeout)
	}
	j.setDeadlines(time.Until(j.deadline) + time.Since(j.startedAt))
	if !j.table.RequiresKey(route) {
		return nil
	}
	if j.call.Key == "" {
		return j.refuseUnknown(refusal.MissingKey, "the route needs a key")
	}
	workspace, found := j.table.Workspace(j.call.Key)
	if !found {
		return j.refuseUnknown(refusal.InvalidKey, "the key is not known")
	}
	j.workspace = workspace
	if workspace.HasPriority {
		j.priority = workspace.Priority
	}
	return nil
}

// refuseUnknown refuses a request for which the configuration has no route or key. Callers treat that refusal as final,
// so it is not sent if the configuration may be out of date: the route or key may have been added since.
func (j *job) refuseUnknown(code refusal.Code, reason string) error {
	j.refusedByTable = true
	if j.handler.Fleet.MayBeStale() {
		return refusal.New(refusal.NotFresh, "the configuration may be out of date: "+reason).WithRetryAfter(startingRetryAfter)
	}
	return refusal.New(code, reason)
}

// admit charges the request's cost to its workspace's rate limit, and refuses requests that are suspected of crashing
// upstreams.
func (j *job) admit(ctx context.Context) error {
	j.cost = j.call.Cost(j.workspace)
	j.fingerprint = suspect.FingerprintOf(j.workspace.Name, j.call.Target, j.call.Body)
	for _, part := range j.call.Generation.SharedParts() {
		j.promptParts = append(j.promptParts, suspect.FingerprintOfPart(part.ID))
	}
	if err := j.refuseSuspect(); err != nil {
		return err
	}
	return j.chargeRate(ctx)
}

// refuseSuspect refuses a request that has crashed several upstreams. It is asked again before each attempt: other instances
// may have recorded a crash while the request waited or ran.
func (j *job) refuseSuspect() error {
	var judged suspect.Judgement
	j.handler.State.WithLock(func(state *SharedState) {
		judged = state.Suspects.Judge(time.Now(), j.fingerprint, j.promptParts...)
		j.crashes = state.Suspects.Crashes(j.fingerprint)
	})
	j.alone = judged.Verdict == suspect.Alone
	if len(judged.Parts) > 0 {
		j.step("suspect").Str("Verdict", string(judged.Verdict)).Str("Parts", suspect.Join(judged.Parts)).
			Int("Crashes", judged.Crashes).Msg("Decision")
	}
	if judged.Verdict != suspect.Refused {
		return nil
	}
	reason := "the request was in flight at several crashes of upstreams"
	if len(judged.Parts) > 0 {
		reason = "requests with a part of its prompt were in flight at several crashes of upstreams"
	}
	return refusal.New(refusal.ServiceUnavailable, reason).WithRetryAfter(judged.RetryAfter)
}
