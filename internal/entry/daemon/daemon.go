// Package daemon puts one entry instance together: it makes the parts, joins them, listens, and stops
// them in order. What the parts decide stands in their own packages.
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
	directory  *peer.Client
	holding    *holding.Runner
	brokering  *brokering.Runner
	pipeline   *pipeline.Pipeline
	burn       *burn.Recorder
	detector   detector

	callers   *api.Server
	operators *http.Server
	peers     *grpc.Server
	listeners listeners

	engines    engines
	leaving    leavingNames
	departures departures
	pinging    pinging
	urgent     chan struct{}
	settlement settlement
	stopping   atomic.Bool
	drained    chan error
}

// listeners are the three doors of an instance.
type listeners struct {
	caller   net.Listener
	operator net.Listener
	peer     net.Listener
}

// Run serves until the context ends, and then stops without cutting a request. Nothing is started
// before everything that can fail at once has succeeded.
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
	d.urgent = make(chan struct{}, 1)
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
	return d.runDuties(ctx)
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
			_ = listener.Close() // closed before by its server in a planned stop
		}
	}
}

// runDuties runs one goroutine for each duty until the first ends: in a planned stop that is stop.
func (d *Daemon) runDuties(ctx context.Context) error {
	working, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group run.Group
	add := func(duty func(context.Context) error) {
		group.Add(func() error { return duty(working) }, func(error) { cancel() })
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
	add(d.runTopUps)
	group.Add(d.servePeers, func(error) { d.peers.Stop() })
	group.Add(d.serveOperators, func(error) { _ = d.operators.Close() })
	add(func(working context.Context) error { return d.serveCallers(ctx, working) })
	add(func(working context.Context) error { return d.runStop(ctx, working) })
	return group.Run()
}

func (d *Daemon) servePeers() error {
	err := d.peers.Serve(d.listeners.peer)
	return errors.WithMessage(err, "serve peers")
}

func (d *Daemon) serveOperators() error {
	err := d.operators.Serve(d.listeners.operator)
	if errors.Is(err, http.ErrServerClosed) {
		err = nil
	}
	return errors.WithMessage(err, "serve operators")
}

// serveCallers serves until the order to stop, and then until the running requests have ended. It stays
// until the other duties end, which have to go on meanwhile.
func (d *Daemon) serveCallers(ordered, working context.Context) error {
	serving, cancel := context.WithCancel(ordered)
	defer cancel()
	defer context.AfterFunc(working, cancel)()
	err := d.callers.Run(serving)
	if ordered.Err() == nil {
		return errors.WithMessage(err, "serve callers")
	}
	d.drained <- err
	<-working.Done()
	return nil
}

// identity of this process in the ledger.
func (d *Daemon) identity() rate.Identity {
	return rate.Identity{Name: d.self.Name, Incarnation: d.self.Incarnation}
}

// trackerMember is a head's member as freshness knows it.
func trackerMember(m head.Member) freshness.Member {
	return freshness.Member{Name: m.Name, Incarnation: m.Incarnation, Since: m.Since}
}

// detector is the membership.Detector with the lock that several duties need. It also remembers when
// each member was last heard, for operators.
type detector struct {
	mutex    sync.Mutex
	detector *membership.Detector
	heard    map[string]time.Time
}

func (d *detector) handle(event membership.Event) []membership.Action {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if heard, ok := event.(membership.HeartbeatAnswered); ok {
		if d.heard == nil {
			d.heard = map[string]time.Time{}
		}
		d.heard[heard.Name] = time.Now()
	}
	return d.detector.Handle(event)
}

// heardWithin tells whether a member was heard lately.
func (d *detector) heardWithin(name string, within time.Duration) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	at, found := d.heard[name]
	return found && time.Since(at) <= within
}

// engines keeps one client for each engine.
type engines struct {
	mutex   sync.Mutex
	clients map[string]*engine.Client
}

func (e *engines) at(address string, limits engine.Limits) *engine.Client {
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
