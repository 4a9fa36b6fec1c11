// Package node is an entry instance on the platform: it joins the deciding packages with the store, the
// other instances, the upstreams and the callers. Each duty is a goroutine of its own.
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

	"lacewingrock.example/lacewingrock/internal/admission/quota"
	"lacewingrock.example/lacewingrock/internal/fleet/coordination"
	"lacewingrock.example/lacewingrock/internal/fleet/link"
	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/fleet/roster"
	"lacewingrock.example/lacewingrock/internal/gateway/call"
	"lacewingrock.example/lacewingrock/internal/gateway/forward"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/gateway/socket"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
	"lacewingrock.example/lacewingrock/internal/placement/residence"
	"lacewingrock.example/lacewingrock/internal/placement/retry"
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
	"lacewingrock.example/lacewingrock/internal/telemetry/metrics"
	"lacewingrock.example/lacewingrock/internal/timing/pause"
)

// Decoder maps the store's items to what they declare.
type Decoder interface {
	// Decode gives the fact that an item declares, or nil if the key declares nothing.
	Decode(key string, value []byte) (traffic.Fact, error)
	// UpstreamID tells which upstream a key belongs to.
	UpstreamID(key string) (id string, ok bool)
	// EvacuatedDataCentre gives the data centre that a key evacuates as long as it is there, whatever its value.
	EvacuatedDataCentre(key string) (dataCentre string, ok bool)
}

// Orders gives orders to upstreams.
type Orders interface {
	Order(
		ctx context.Context, upstream traffic.Upstream, holder string, fence int64, order residence.Order,
	) (residence.Outcome, error)
	Report(ctx context.Context, upstream traffic.Upstream) (residence.Report, error)
}

// Node is one instance. Set the exported fields before Run.
type Node struct {
	Settings  Settings
	Store     coordination.Store
	Decoder   Decoder
	Dialect   call.Dialect
	Orders    Orders
	ReadyPath string
	Log       zerolog.Logger
	// Dropped tells how many log events were left out since it was last asked.
	Dropped func() int
	// Reread reads the settings again, and Apply hands changed ones to what the node does not own.
	Reread func() (Settings, error)
	Apply  func(Settings)

	// current is Settings as of the last reload.
	current   atomic.Pointer[Settings]
	losses    chan loss
	began     time.Time
	self      roster.Instance
	knowledge knowledge
	advice    *serve.Advice
	peers     *mesh.Peers
	overlay   overlay
	refreshed refresh
	reports   reports
	lease     lease
	holdings  holdings
	forward   *forward.Client
	// upstreamChanges is as of when connections to upstreams were last dropped; only runTicks uses it.
	upstreamChanges int

	scope    tally.Scope
	stopping atomic.Bool
	// storeUnreachable: the last read of the store failed; storeFailed is when one last did, in Unix nanoseconds.
	storeUnreachable atomic.Bool
	storeFailed      atomic.Int64

	handler    *serve.Handler
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

// Run serves until the context ends, and then stops without cutting a request.
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
	err = n.runDuties(ctx)
	n.Log.Info().Err(err).Msg("Stopped")
	return err
}

func (n *Node) listen(ctx context.Context) (err error) {
	config := socket.ListenConfig()
	addresses := n.Settings.Instance
	for _, door := range []struct {
		address  string
		listener *net.Listener
	}{
		{addresses.CallerAddress, &n.listeners.callers},
		{addresses.ReadyAddress, &n.listeners.ready},
		{addresses.MetricsAddress, &n.listeners.metrics},
		{addresses.PeerAddress, &n.listeners.mesh},
	} {
		if *door.listener, err = config.Listen(ctx, "tcp", door.address); err != nil {
			return err
		}
	}
	return nil
}

// assemble makes the parts and joins them.
func (n *Node) assemble() {
	n.began = time.Now()
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
	n.forward = &forward.Client{Dialect: n.Dialect}
	n.losses = make(chan loss, lossesKept)
	n.current.Store(&n.Settings)
	n.knowledge.wake = make(chan struct{}, 1)
	n.lease.suspended = timeSuspended
	n.holdings = newHoldings()
	n.overlay.prepare(n.self.Name)
	n.assembleAdvice()
	n.handler = &serve.Handler{
		Dialect: n.Dialect, Fleet: n, Forward: n.forward, Advice: n.advice, Log: n.Log, Scope: scope,
	}
	n.callers = &http.Server{
		Handler:           n.handler,
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

func (n *Node) assembleAdvice() {
	settings := pool.DefaultSettings()
	settings.DataCentre = n.self.DataCentre
	n.advice = &serve.Advice{
		Pool:     &pool.Pool{Settings: settings},
		Ledger:   &quota.Ledger{Self: n.self.Name},
		Suspects: &suspect.Tracker{Settings: suspect.DefaultSettings()},
		Retries:  retryBudgets(n.Settings.Retries),
	}
}

// retryBudgets is this instance's part of the fleet's retries.
func retryBudgets(settings RetrySettings) *retry.Budgets {
	return &retry.Budgets{Ratio: settings.Ratio * retryRatioUsed, MaxUnused: settings.Slack / roster.Parts(0)}
}

// retryRatioUsed leaves a part of the fleet's retries for requests that are counted at another instance or in
// another window than their retries.
const retryRatioUsed = 0.8

// runDuties runs one goroutine for each duty until the first ends; in a planned stop that is stop.
func (n *Node) runDuties(ctx context.Context) error {
	working, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group run.Group
	add := func(duty func(context.Context) error) {
		group.Add(func() error { return duty(working) }, func(error) { cancel() })
	}
	add(n.runReading)
	add(n.runLease)
	add(n.runGossip)
	add(n.runReports)
	add(n.runHoldings)
	add(n.runTicks)
	add(n.runReload)
	add(n.runLosses)
	group.Add(func() error { return n.mesh.Serve(n.listeners.mesh) }, func(error) { n.mesh.Stop() })
	group.Add(func() error { return serving(n.ready, n.listeners.ready) }, func(error) { _ = n.ready.Close() })
	group.Add(func() error { return serving(n.metrics, n.listeners.metrics) }, func(error) { _ = n.metrics.Close() })
	add(func(working context.Context) error {
		err := serving(n.callers, n.listeners.callers)
		if n.stopping.Load() {
			<-working.Done()
		}
		return err
	})
	add(func(working context.Context) error { return n.runStop(ctx, working) })
	err := group.Run()
	n.peers.Close()
	return err
}

func serving(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// serveReady tells the balancer whether to send callers here.
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
	// leaveAfter is how long callers still come after the balancer was told that the instance leaves: it
	// asks every second and believes the second answer.
	leaveAfter = 2600 * time.Millisecond
	// idleLinger is the pause between the end of the last request and the end of the process, for
	// answers that are still on their way.
	idleLinger = 100 * time.Millisecond
)

// runStop waits for the order to stop, and then stops without cutting a request: the balancer is told,
// callers are served until it has understood, what is held is given away, and running requests end.
func (n *Node) runStop(ordered, working context.Context) error {
	select {
	case <-ordered.Done():
	case <-working.Done():
		return nil
	}
	began := time.Now()
	n.stopping.Store(true)
	n.Log.Info().Msg("Stopping")
	n.handler.Leave()
	n.endLease()
	pause.For(working, leaveAfter-time.Since(began))
	n.handler.Close()
	closing, cancel := context.WithDeadline(context.Background(), began.Add(n.current.Load().Callers.StopWithin))
	defer cancel()
	err := n.callers.Shutdown(closing)
	pause.For(working, idleLinger)
	if err != nil {
		n.Log.Warn().Err(err).Msg("StoppedWithRequestsRunning")
	}
	return nil
}
