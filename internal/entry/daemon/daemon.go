// Package daemon runs an entry instance: it creates the components, connects them, listens, and stops them in order.
// The decisions are made in the packages of the components.
package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/oklog/run"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"

	"lacewingrock.example/lacewingrock/internal/admission/claim"
	"lacewingrock.example/lacewingrock/internal/admission/rate"
	"lacewingrock.example/lacewingrock/internal/caller/api"
	"lacewingrock.example/lacewingrock/internal/catalog/head"
	"lacewingrock.example/lacewingrock/internal/catalog/repository"
	"lacewingrock.example/lacewingrock/internal/entry/brokering"
	"lacewingrock.example/lacewingrock/internal/entry/holding"
	"lacewingrock.example/lacewingrock/internal/entry/pipeline"
	"lacewingrock.example/lacewingrock/internal/entry/settings"
	"lacewingrock.example/lacewingrock/internal/fleet/freshness"
	"lacewingrock.example/lacewingrock/internal/fleet/membership"
	"lacewingrock.example/lacewingrock/internal/fleet/peer"
	"lacewingrock.example/lacewingrock/internal/platform/listing"
	"lacewingrock.example/lacewingrock/internal/platform/store"
	"lacewingrock.example/lacewingrock/internal/report/burn"
	"lacewingrock.example/lacewingrock/internal/upstream/engine"
)

// Daemon is one entry instance. Set the exported fields before Run.
type Daemon struct {
	Settings settings.Settings
	Log      zerolog.Logger

	self       head.Member
	scope      tally.Scope
	store      *store.Client
	repository *repository.Repository
	sweeper    *repository.Sweeper
	listing    listing.Listing
	tracker    *freshness.Tracker
	ledger     *rate.Ledger
	claims     *claim.Registry
	peerRPC    *peer.Client
	holding    *holding.Runner
	brokering  *brokering.Runner
	pipeline   *pipeline.Pipeline
	burn       *burn.Recorder
	detector   detector

	callerServer   *api.Server
	operatorServer *http.Server
	peerServer     *grpc.Server
	listeners      listeners

	engines            engines
	leaving            leavingNames
	departures         departures
	inFlightHeartbeats addressSet
	heartbeatAllNow    chan struct{}
	settlement         settlement
	stopping           atomic.Bool
	drained            chan error
}

// listeners are the listeners of an instance, one each for callers, operators and peers.
type listeners struct {
	caller   net.Listener
	operator net.Listener
	peer     net.Listener
}

// Run serves until the context ends, and then makes a planned stop. It starts the tasks only after every step that
// can fail immediately has succeeded.
func (d *Daemon) Run(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "daemon") }()
	if err := d.listen(); err != nil {
		return err
	}
	defer d.listeners.close()
	d.self = head.Member{
		Name:        d.Settings.Instance.Name,
		Incarnation: uuid.NewString(),
		Address:     d.listeners.peer.Addr().String(),
		DataCentre:  d.Settings.Instance.DataCentre,
	}
	d.drained = make(chan error, 1)
	d.heartbeatAllNow = make(chan struct{}, 1)
	d.Log = d.Log.With().Str("Instance", d.self.Name).Logger()
	closeParts, err := d.assemble()
	if err != nil {
		return err
	}
	defer closeParts()
	d.Log.Info().
		Str("CallerAddress", d.listeners.caller.Addr().String()).
		Str("OperatorAddress", d.listeners.operator.Addr().String()).
		Str("PeerAddress", d.listeners.peer.Addr().String()).
		Str("Incarnation", d.self.Incarnation).
		Msg("listening")
	return d.runTasks(ctx)
}

func (d *Daemon) listen() (err error) {
	defer func() {
		if err != nil {
			d.listeners.close()
		}
	}()
	instance := d.Settings.Instance
	if d.listeners.caller, err = net.Listen("tcp", instance.CallerAddress); err != nil {
		return err
	}
	if d.listeners.operator, err = net.Listen("tcp", instance.OperatorAddress); err != nil {
		return err
	}
	d.listeners.peer, err = net.Listen("tcp", instance.PeerAddress)
	return err
}

func (l listeners) close() {
	for _, listener := range []net.Listener{l.caller, l.operator, l.peer} {
		if listener != nil {
			_ = listener.Close() // in a planned stop its server has closed it already
		}
	}
}

// runTasks runs each task in its own goroutine until the first one returns; in a planned stop that is runStop.
func (d *Daemon) runTasks(ctx context.Context) error {
	tasksCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group run.Group
	add := func(task func(context.Context) error) {
		group.Add(func() error { return task(tasksCtx) }, func(error) { cancel() })
	}
	add(d.holding.Run)
	add(d.brokering.Run)
	add(d.claims.Run)
	add(d.runInstalls)
	add(d.runReads)
	add(d.runHeartbeats)
	add(d.runMembership)
	add(d.runInForce)
	add(d.runListing)
	add(d.sweeper.Run)
	add(d.runGauges)
	add(d.runRebalancing)
	group.Add(d.servePeers, func(error) { d.peerServer.Stop() })
	group.Add(d.serveOperators, func(error) { _ = d.operatorServer.Close() })
	add(func(tasksCtx context.Context) error { return d.serveCallers(ctx, tasksCtx) })
	add(func(tasksCtx context.Context) error { return d.runStop(ctx, tasksCtx) })
	return group.Run()
}

func (d *Daemon) servePeers() error {
	err := d.peerServer.Serve(d.listeners.peer)
	return errors.WithMessage(err, "serve peers")
}

func (d *Daemon) serveOperators() error {
	err := d.operatorServer.Serve(d.listeners.operator)
	if errors.Is(err, http.ErrServerClosed) {
		err = nil
	}
	return errors.WithMessage(err, "serve operators")
}

// serveCallers serves until a stop is requested, and then until the running requests have ended. After that it waits
// for tasksCtx to end before it returns, since its return would end the other tasks, which the rest of the stop
// needs.
func (d *Daemon) serveCallers(stopCtx, tasksCtx context.Context) error {
	serveCtx, cancel := context.WithCancel(stopCtx)
	defer cancel()
	defer context.AfterFunc(tasksCtx, cancel)()
	err := d.callerServer.Run(serveCtx)
	if stopCtx.Err() == nil {
		return errors.WithMessage(err, "serve callers")
	}
	d.drained <- err
	<-tasksCtx.Done()
	return nil
}

// identity returns this process as the rate ledger identifies it.
func (d *Daemon) identity() rate.Identity {
	return rate.Identity{Name: d.self.Name, Incarnation: d.self.Incarnation}
}

// trackerMember converts a member of a head to one of the freshness tracker.
func trackerMember(m head.Member) freshness.Member {
	return freshness.Member{Name: m.Name, Incarnation: m.Incarnation, Since: m.Since}
}

// detector is a membership.Detector with a lock, since several tasks use it. It also records when each member last
// answered a heartbeat or sent one, which the operators' API and the reading of the platform's list use.
type detector struct {
	mutex       sync.Mutex
	detector    *membership.Detector
	lastAnswers map[string]time.Time
}

func (d *detector) handle(event membership.Event) []membership.Action {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if answered, ok := event.(membership.HeartbeatAnswered); ok {
		if d.lastAnswers == nil {
			d.lastAnswers = map[string]time.Time{}
		}
		d.lastAnswers[answered.Name] = time.Now()
	}
	return d.detector.Handle(event)
}

// answeredWithin reports whether a heartbeat was exchanged with a member within the window.
func (d *detector) answeredWithin(name string, window time.Duration) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	at, found := d.lastAnswers[name]
	return found && time.Since(at) <= window
}

// engines caches one client for each engine.
type engines struct {
	mutex   sync.Mutex
	clients map[string]*engine.Client
}

func (e *engines) clientFor(address string, limits engine.Limits) *engine.Client {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.clients == nil {
		e.clients = map[string]*engine.Client{}
	}
	client, ok := e.clients[address]
	if !ok {
		client = &engine.Client{Address: address, Limits: limits}
		e.clients[address] = client
	}
	return client
}
