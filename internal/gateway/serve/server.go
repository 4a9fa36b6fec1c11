// Package serve takes callers' requests through their stages: decode, find the route, authenticate, read
// the body, admit, and then place, send and relay until there is an answer. The deciding packages have
// the rules; here they are asked in their order, and the calls they lead to are made.
package serve

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"lacewingrock.example/lacewingrock/internal/admission/quota"
	"lacewingrock.example/lacewingrock/internal/caller/refusal"
	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/gateway/call"
	"lacewingrock.example/lacewingrock/internal/gateway/forward"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
	"lacewingrock.example/lacewingrock/internal/placement/retry"
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
)

// Fleet is what the handler asks of the instance.
type Fleet interface {
	// Table is the configuration in force, nil while none is known.
	Table() *traffic.Table
	// ConfirmedAge is how long ago the store confirmed the configuration in force as its newest; negative if never.
	ConfirmedAge() time.Duration
	// MayBeStale reports whether changes of the configuration may be missing that operators expect to be in force.
	MayBeStale() bool
	// NewestVersion is the newest declared version of an adapter, 0 if none was declared. Required tells that
	// requests must not begin on an older one any more.
	NewestVersion(adapter traffic.Adapter) (version int64, required bool)
	// Prepare has an adapter loaded at an upstream and waits for it.
	Prepare(ctx context.Context, request mesh.PrepareRequest) mesh.PrepareResult
	// QueryHolder asks for what is loaded and under way at an upstream, for the next choice.
	QueryHolder(ctx context.Context, upstream string)
	// PublishSpent lets the other instances know at once what this one has admitted.
	PublishSpent()
	// NotifyHolder tells that this instance has begun or ended a send to an upstream.
	NotifyHolder(upstream string)
	// ReportBrokenResponse tells that an answer broke with its connection: the upstream may have crashed.
	ReportBrokenResponse(upstream traffic.Upstream, fingerprint suspect.Fingerprint)
}

// SharedState is what this instance has learnt and decides by. Its parts are not safe for several goroutines,
// so all of them are used under one lock; each use takes microseconds.
type SharedState struct {
	Pool     *pool.Pool
	Ledger   *quota.Ledger
	Suspects *suspect.Tracker
	Retries  *retry.Budgets

	mutex sync.Mutex
}

// WithLock gives the parts to one function at a time.
func (a *SharedState) WithLock(use func(a *SharedState)) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	use(a)
}

// Handler serves callers. Set the exported fields before the first request.
type Handler struct {
	Dialect call.Dialect
	Fleet   Fleet
	Forward *forward.Client
	State   *SharedState
	Log     zerolog.Logger
	Scope   tally.Scope

	leaving atomic.Bool
	closed  atomic.Bool
}

// StartDraining has callers told with each answer to use another connection from now on.
func (h *Handler) StartDraining() { h.leaving.Store(true) }

// RefuseRequests refuses all requests that come from now on; those that are being served go on. It has to be called
// before idle connections are closed. A connection counts as idle until the whole header of its next
// request was read, so one on which a request is just arriving can be closed under it: passed on to an
// upstream, that request would run and its answer go nowhere.
func (h *Handler) RefuseRequests() { h.closed.Store(true) }

// bodyBytesUnstated bounds a body where the configuration does not.
const bodyBytesUnstated = 4 << 20

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	j := &job{handler: h, writer: w, began: time.Now()}
	j.bound(longestRequest)
	if h.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	err := h.serve(r, j)
	if err != nil {
		j.refuse(err)
	}
	j.log(err)
	if err != nil && j.started {
		panic(http.ErrAbortHandler) // an answer that was begun and cannot be completed must not look complete
	}
}

func (h *Handler) serve(r *http.Request, j *job) (err error) {
	if h.closed.Load() {
		return refusal.New(refusal.Stopping, "the instance is stopping").WithRetryAfter(stoppingRetryAfter)
	}
	j.table = h.Fleet.Table()
	if j.table == nil {
		return refusal.New(refusal.NotFresh, "no configuration is known yet").WithRetryAfter(startingRetryAfter)
	}
	j.call, err = h.Dialect.Decode(r)
	j.call.Received = j.began
	if err != nil {
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
	if err := j.admit(); err != nil {
		return err
	}
	err = j.run(ctx)
	if !j.mayHaveRun {
		h.State.WithLock(func(a *SharedState) { a.Ledger.Refund(j.workspace.Name, j.cost) })
	}
	return err
}

// longestRequest bounds a request until its route is known.
const longestRequest = 30 * time.Second

// bound keeps a caller that sends or reads too slowly from holding a connection, and what waits behind it,
// for ever. An error means that the connection cannot be bounded, and then the caller's own pace holds.
func (j *job) bound(within time.Duration) {
	control := http.NewResponseController(j.writer)
	until := j.began.Add(within)
	if err := control.SetReadDeadline(until); err != nil {
		j.handler.Log.Debug().Err(err).Msg("NoReadDeadline")
	}
	if err := control.SetWriteDeadline(until.Add(writeGrace)); err != nil {
		j.handler.Log.Debug().Err(err).Msg("NoWriteDeadline")
	}
}

// endReading lifts the bound on reading once the body is there. The library goes on reading to notice a caller
// that leaves; a deadline that passes there looks like one, and a request that is answered right then would
// be taken for given up by its caller.
func (j *job) endReading() {
	if err := http.NewResponseController(j.writer).SetReadDeadline(time.Time{}); err != nil {
		j.handler.Log.Debug().Err(err).Msg("NoReadDeadline")
	}
}

// writeGrace is the time for the last bytes of an answer that ends with the request's time.
const writeGrace = time.Second

// stoppingRetryAfter: any other instance serves at once.
const stoppingRetryAfter = 50 * time.Millisecond

// startingRetryAfter is about what an instance needs to learn a configuration.
const startingRetryAfter = 300 * time.Millisecond

// resolve finds the route and whom the request is for.
func (j *job) resolve() error {
	route, found := j.table.Route(j.call.Host, j.call.Path)
	if !found {
		return j.unknown(refusal.NotFound, "no route matches the host and path")
	}
	j.route = route
	j.service = route.PickService()
	j.priority = route.Priority
	j.deadline = j.began.Add(route.Timeout)
	if j.call.CallerTimeout > 0 && j.call.CallerTimeout < route.Timeout {
		j.deadline = j.began.Add(j.call.CallerTimeout)
	}
	j.bound(time.Until(j.deadline) + time.Since(j.began))
	if !j.table.RequiresKey(route) {
		return nil
	}
	if j.call.Key == "" {
		return j.unknown(refusal.MissingKey, "the route needs a key")
	}
	workspace, found := j.table.Workspace(j.call.Key)
	if !found {
		return j.unknown(refusal.InvalidKey, "the key is not known")
	}
	j.workspace = workspace
	if workspace.HasPriority {
		j.priority = workspace.Priority
	}
	return nil
}

// unknown refuses a request for which the configuration has no route or key. Callers take that for final, so it is not
// said by a configuration that may be out of date: the route or key may have been added.
func (j *job) unknown(code refusal.Code, reason string) error {
	j.refusedByTable = true
	if j.handler.Fleet.MayBeStale() {
		return refusal.New(refusal.NotFresh, "the configuration may be out of date: "+reason).WithRetryAfter(startingRetryAfter)
	}
	return refusal.New(code, reason)
}

// readBody reads the whole body: a request that is sent again needs it, and an upstream that a slow
// caller holds is lost to others.
func (j *job) readBody(r *http.Request) error {
	most := j.table.Configuration.Limits.BodyBytes
	if most <= 0 {
		most = bodyBytesUnstated
	}
	if r.ContentLength > most {
		return refusal.New(refusal.BodyTooLarge, "the body is longer than the limit")
	}
	body, err := io.ReadAll(http.MaxBytesReader(j.writer, r.Body, most))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refusal.New(refusal.BodyTooLarge, "the body is longer than the limit")
	case err != nil:
		return refusal.New(refusal.BadRequest, "the body could not be read")
	}
	j.call.Body = body
	j.endReading()
	return nil
}

// admit takes the request's cost from its workspace's rate, and stops what crashes upstreams.
func (j *job) admit() error {
	now := time.Now()
	j.cost = j.call.Cost(j.workspace)
	j.fingerprint = suspect.FingerprintOf(j.workspace.Name, j.call.Method+" "+j.call.Host+j.call.Target, j.call.Body)
	var retryAfter time.Duration
	admitted := false
	shareSpent := false
	verdict := suspect.Free
	j.handler.State.WithLock(func(a *SharedState) {
		verdict, retryAfter = a.Suspects.Judge(now, j.fingerprint)
		if verdict != suspect.Refused {
			retryAfter, admitted = a.Ledger.Admit(now, j.workspace.Name, j.cost)
		}
		if admitted {
			shareSpent = len(a.Ledger.TakeUrgentRecipients(now)) > 0
		}
	})
	if shareSpent {
		j.handler.Fleet.PublishSpent()
	}
	j.alone = verdict == suspect.Alone
	switch {
	case verdict == suspect.Refused:
		return refusal.New(refusal.ServiceUnavailable, "the request was in flight at several crashes of upstreams").
			WithRetryAfter(retryAfter)
	case !admitted:
		return refusal.New(refusal.RateLimited, "the workspace is over its rate").WithRetryAfter(retryAfter)
	}
	return nil
}
