// Package node runs an entry instance: it connects the packages that make decisions with the store, the other
// instances, the upstreams and the callers. Each task runs in its own goroutine.
package node

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/oklog/run"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"lacewingrock.example/lacewingrock/internal/admission/contention"
	"lacewingrock.example/lacewingrock/internal/admission/quota"
	"lacewingrock.example/lacewingrock/internal/fleet/coordination"
	"lacewingrock.example/lacewingrock/internal/fleet/link"
	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/fleet/roster"
	"lacewingrock.example/lacewingrock/internal/gateway/backlog"
	"lacewingrock.example/lacewingrock/internal/gateway/call"
	"lacewingrock.example/lacewingrock/internal/gateway/forward"
	"lacewingrock.example/lacewingrock/internal/gateway/memory"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/gateway/socket"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/demand"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
	"lacewingrock.example/lacewingrock/internal/placement/residence"
	"lacewingrock.example/lacewingrock/internal/placement/retry"
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
	"lacewingrock.example/lacewingrock/internal/telemetry/metrics"
	"lacewingrock.example/lacewingrock/internal/timing/pause"
)

// Decoder maps the items of the store to what they declare.
type Decoder interface {
	// Decode returns what an item declares, or nil if the key declares nothing.
	Decode(key string, value []byte) (traffic.Declaration, error)
	// UpstreamID returns the upstream that a key belongs to.
	UpstreamID(key string) (id string, ok bool)
	// EvacuatedDataCentre returns the data centre that a key evacuates while the key exists, whatever its value.
	EvacuatedDataCentre(key string) (dataCentre string, ok bool)
}

// Orders sends orders to upstreams.
type Orders interface {
	Order(
		ctx context.Context, upstream traffic.Upstream, holder string, fence int64, order residence.Order,
	) (residence.Response, error)
	Report(ctx context.Context, upstream traffic.Upstream) (residence.Report, error)
}

// Node is one instance. Set the exported fields before Run.
type Node struct {
	Settings Settings
	Store    coordination.Store
	Decoder  Decoder
	Dialect  call.Dialect
	Orders   Orders
	// DialUpstream opens a connection to the address of an upstream.
	DialUpstream func(ctx context.Context, address string) (net.Conn, error)
	ReadyPath    string
	Log          zerolog.Logger
	// DroppedLogEvents returns the number of log events that were dropped since the previous call.
	DroppedLogEvents func() int
	// ReloadSettings reads the settings again.
	ReloadSettings func() (Settings, error)
	// ApplySettings passes changed settings to components that the node does not own.
	ApplySettings func(Settings)

	// current is Settings as of the last reload.
	current         atomic.Pointer[Settings]
	crashChecks     crashChecks
	crashRecords    crashRecords
	startedAt       time.Time
	self            roster.Instance
	view            storeView
	sharedState     *serve.SharedState
	peers           *mesh.Peers
	overlay         overlay
	refreshed       refresh
	reports         reports
	lease           lease
	heldUpstreams   heldUpstreams
	forward         *forward.Client
	links           links
	origins         streamOrigins
	coordinators    rateCoordinators
	softwareRecords softwareRecords
	storedOrigins   storedOrigins
	replicas        replicaOrders
	// upstreamChanges is the count of upstream changes when stale connections were last closed. Only runPeriodic uses
	// it.
	upstreamChanges int
	// pacesShown are the held upstreams whose pace the metrics show. Only runPeriodic uses it.
	pacesShown map[string]bool
	// memoryShown are the upstreams whose memory the metrics show. Only the periodic tasks use it.
	memoryShown map[string]float64

	scope    tally.Scope
	stopping atomic.Bool
	// storeUnreachable: the last read of the store failed. storeFailedAt is the time of the last failed read, in Unix
	// nanoseconds.
	storeUnreachable atomic.Bool
	storeFailedAt    atomic.Int64
	// clearStatementPending is set while a clearStatement waits.
	clearStatementPending atomic.Bool

	handler    *serve.Handler
	backlogs   *backlog.Backlogs
	callers    *http.Server
	ready      *http.Server
	metrics    *http.Server
	mesh       *grpc.Server
	listeners  listeners
	closeScope func()
}

type listeners struct {
	callers, ready, metrics, mesh net.Listener
}

// Run serves until the context ends, and then drains: it lets running requests finish before it returns.
func (n *Node) Run(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "node") }()
	if err := n.listen(ctx); err != nil {
		return err
	}
	n.assemble()
	defer n.closeScope()
	n.Log.Info().Str("Name", n.self.Name).Str("DataCentre", n.self.DataCentre).
		Str("Incarnation", n.self.Incarnation).
		Stringer("CallerAddress", n.listeners.callers.Addr()).
		Stringer("ReadyAddress", n.listeners.ready.Addr()).
		Stringer("MetricsAddress", n.listeners.metrics.Addr()).
		Str("PeerAddress", n.self.Address).Msg("Started")
	err = n.runTasks(ctx)
	n.Log.Info().Err(err).Msg("Stopped")
	return err
}

func (n *Node) listen(ctx context.Context) (err error) {
	addresses := n.Settings.Instance
	for _, endpoint := range []struct {
		address  string
		listener *net.Listener
	}{
		{addresses.CallerAddress, &n.listeners.callers},
		{addresses.ReadyAddress, &n.listeners.ready},
		{addresses.MetricsAddress, &n.listeners.metrics},
	} {
		if *endpoint.listener, err = socket.Listen(ctx, endpoint.address); err != nil {
			return err
		}
	}
	n.listeners.mesh, err = socket.ListenConfig().Listen(ctx, "tcp", addresses.PeerAddress)
	return err
}

// assemble creates the components and connects them.
func (n *Node) assemble() {
	n.startedAt = time.Now()
	n.self = roster.Instance{
		Name:        n.Settings.Instance.Name,
		Incarnation: uuid.NewString(),
		DataCentre:  n.Settings.Instance.DataCentre,
		Address:     n.listeners.mesh.Addr().String(),
	}
	scope, exposition, closer := metrics.New("lacewingd")
	n.scope = scope
	n.closeScope = func() { _ = closer.Close() }
	n.peers = &mesh.Peers{Links: link.Links{Credentials: insecure.NewCredentials()}}
	n.forward = &forward.Client{Dialect: n.Dialect, Dial: n.connect, KeepsConnections: n.isDirect}
	n.current.Store(&n.Settings)
	n.view.wake = make(chan struct{}, 1)
	n.lease.suspended = timeSuspended
	n.heldUpstreams = newHeldUpstreams()
	n.overlay.initialise(n.self.Name)
	n.crashRecords.requested = make(chan struct{}, 1)
	n.links.tracker.Self = n.self.Name
	n.links.tracker.DataCentre = n.self.DataCentre
	n.assembleSharedState()
	n.handler = &serve.Handler{
		Dialect: n.Dialect, Fleet: n, Forward: n.forward, State: n.sharedState, Log: n.Log, Scope: scope,
		Contention: n.Settings.Admission.Contention.IsOn(),
		Memory:     &memory.Account{Limit: memory.LimitOf(n.Settings.Memory.accountedMB()), Scope: scope},
	}
	if n.Settings.Admission.Contention.IsOn() {
		n.handler.Admission = &contention.Controller{}
	}
	n.keepBacklogs()
	connections := newCallerConnections(maxFiles())
	n.callers = &http.Server{
		Handler:           connections.serve(n.handler),
		ConnState:         connections.setState,
		ConnContext:       serve.WithConnection,
		ReadHeaderTimeout: n.Settings.Callers.HeaderTimeout,
		IdleTimeout:       n.Settings.Callers.IdleTimeout,
		MaxHeaderBytes:    int(n.Settings.Callers.HeaderBytes),
		ErrorLog:          nil,
	}
	n.ready = &http.Server{Handler: http.HandlerFunc(n.serveReady), ReadHeaderTimeout: n.Settings.Callers.HeaderTimeout}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", exposition)
	n.metrics = &http.Server{Handler: mux, ReadHeaderTimeout: n.Settings.Callers.HeaderTimeout}
	n.mesh = mesh.NewServer(n)
}

// keepBacklogs lets callers read slowly while their upstreams are read without delay. If the memory for it is not
// bounded, no response is kept, and the upstreams are read as slowly as the callers read.
func (n *Node) keepBacklogs() {
	n.backlogs = &backlog.Backlogs{Account: n.handler.Memory, Log: n.Log, Scope: n.scope}
	if n.handler.Memory.IsBounded() {
		n.listeners.callers = n.backlogs.Listener(n.listeners.callers)
	}
}

func (n *Node) assembleSharedState() {
	settings := pool.DefaultSettings()
	settings.DataCentre = n.self.DataCentre
	settings.MaxBackpressure = n.Settings.Upstreams.MaxBackpressure
	settings.BoundMemory = n.Settings.Memory.UpstreamBound.IsOn()
	n.sharedState = &serve.SharedState{
		Pool:     &pool.Pool{Settings: settings},
		Ledger:   &quota.Ledger{Self: n.self.Name},
		Suspects: &suspect.Tracker{Settings: suspect.DefaultSettings()},
		Retries:  retryBudgets(n.Settings.Retries),
		Demand:   &demand.Tracker{},

		ReplicatePopular: n.Settings.Admission.Contention.IsOn(),
	}
}

// retryBudgets returns the share of this instance in the retry budget of the fleet.
func retryBudgets(settings RetrySettings) *retry.Budgets {
	return &retry.Budgets{Ratio: settings.Ratio * retryRatioUsed, MaxUnused: settings.Slack / roster.LimitParts(0)}
}

// retryRatioUsed leaves a part of the retry budget of the fleet for requests that are counted at another instance or in
// another window than their retries.
const retryRatioUsed = 0.8

// runTasks runs each task in a goroutine until the first one ends. In a planned stop that is runStop.
func (n *Node) runTasks(ctx context.Context) error {
	tasksCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group run.Group
	add := func(task func(context.Context) error) {
		group.Add(func() error { return task(tasksCtx) }, func(error) { cancel() })
	}
	add(n.runStoreReading)
	add(n.runLease)
	add(n.runGossip)
	add(n.runReports)
	add(n.runReplicas)
	add(n.runOwnership)
	add(n.runPeriodic)
	add(n.runReload)
	add(n.runCrashRecords)
	add(n.runSoftwareRecords)
	add(n.runStoredOrigins)
	group.Add(func() error { return n.mesh.Serve(n.listeners.mesh) }, func(error) { n.mesh.Stop() })
	group.Add(func() error { return serveUntilClosed(n.ready, n.listeners.ready) }, func(error) { _ = n.ready.Close() })
	group.Add(func() error { return serveUntilClosed(n.metrics, n.listeners.metrics) }, func(error) { _ = n.metrics.Close() })
	add(func(tasksCtx context.Context) error {
		err := serveUntilClosed(n.callers, n.listeners.callers)
		if n.stopping.Load() {
			<-tasksCtx.Done()
		}
		return err
	})
	add(func(tasksCtx context.Context) error { return n.runStop(ctx, tasksCtx) })
	err := group.Run()
	n.peers.Close()
	return err
}

func serveUntilClosed(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// serveReady responds to the readiness check of the load balancer.
func (n *Node) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != n.ReadyPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if n.stopping.Load() || n.Table() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

const (
	// readinessDelay is how long callers still arrive after the readiness check starts to fail: the balancer checks
	// every second and acts on the second response.
	readinessDelay = 2600 * time.Millisecond
	// responseFlushDelay is the pause between the end of the last request and the end of the process, for responses
	// that are still in transit.
	responseFlushDelay = 100 * time.Millisecond
	// lastAnswerTime is the time before the end of the process in which requests that were not sent to a further upstream are
	// answered.
	lastAnswerTime = 500 * time.Millisecond
)

// runStop waits for the stop signal and then drains the instance. The readiness check fails, callers are served until
// the balancer has reacted, the held upstreams are released, and running requests finish. Those that still wait for an
// upstream then are refused.
func (n *Node) runStop(stopRequested, tasksCtx context.Context) error {
	select {
	case <-stopRequested.Done():
	case <-tasksCtx.Done():
		return nil
	}
	start := time.Now()
	n.stopping.Store(true)
	n.Log.Info().Msg("Stopping")
	n.handler.StartDraining()
	stopTime := n.current.Load().Callers.StopTime()
	end := start.Add(stopTime)
	shutdownCtx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	release := &release{node: n, done: make(chan struct{})}
	go release.run(shutdownCtx)
	pause.For(tasksCtx, min(readinessDelay, stopTime/2)-time.Since(start))
	n.handler.RefuseRequests()
	waits := time.AfterFunc(time.Until(end)-lastAnswerTime, n.handler.EndWaits)
	defer waits.Stop()
	err := n.callers.Shutdown(shutdownCtx)
	n.awaitPeerConnections(shutdownCtx)
	n.handOverOrigins(shutdownCtx)
	<-release.done
	n.backlogs.Await(shutdownCtx) // last, because slow callers may take all the time that is left
	pause.For(tasksCtx, responseFlushDelay)
	if err != nil {
		running, unframed := n.handler.Running()
		n.Log.Warn().Err(err).Int64("Running", running).Int64("Unframed", unframed).Msg("StoppedWithRequestsRunning")
	}
	return nil
}
