package daemon

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"lacewingrock.example/lacewingrock/internal/admission/claim"
	"lacewingrock.example/lacewingrock/internal/admission/rate"
	"lacewingrock.example/lacewingrock/internal/caller/api"
	"lacewingrock.example/lacewingrock/internal/entry/brokering"
	"lacewingrock.example/lacewingrock/internal/entry/holding"
	"lacewingrock.example/lacewingrock/internal/entry/pipeline"
	"lacewingrock.example/lacewingrock/internal/entry/settings"
	"lacewingrock.example/lacewingrock/internal/fleet/freshness"
	"lacewingrock.example/lacewingrock/internal/fleet/link"
	"lacewingrock.example/lacewingrock/internal/fleet/membership"
	"lacewingrock.example/lacewingrock/internal/fleet/peer"
	"lacewingrock.example/lacewingrock/internal/placement/deployment"
	"lacewingrock.example/lacewingrock/internal/placement/model"
	"lacewingrock.example/lacewingrock/internal/placement/retry"
	"lacewingrock.example/lacewingrock/internal/placement/route"
	"lacewingrock.example/lacewingrock/internal/placement/share"
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
	"lacewingrock.example/lacewingrock/internal/platform/listing"
	"lacewingrock.example/lacewingrock/internal/platform/store"
	"lacewingrock.example/lacewingrock/internal/report/burn"
	"lacewingrock.example/lacewingrock/internal/telemetry/metrics"
	"lacewingrock.example/lacewingrock/internal/upstream/engine"
	"lacewingrock.example/lacewingrock/internal/upstream/service"

	operatorapi "lacewingrock.example/lacewingrock/internal/operator/api"

	"lacewingrock.example/lacewingrock/internal/catalog/repository"
)

// assemble.go creates the components of an instance from its settings and connects them.

// peerSilenceTimeout is how long a member may acknowledge nothing before the connection to it is closed. The connections
// carry no responses of upstreams. Their calls are short or are made again, and some have no deadline, such as the
// request of a new holder for the pins of each member: they would wait for a connection that is dead.
const peerSilenceTimeout = time.Second

// assemble creates all components. The returned function closes the resources that they hold.
func (d *Daemon) assemble() (closeParts func(), err error) {
	serverCredentials, clientCredentials, err := peer.Credentials(d.Settings.Peers)
	if err != nil {
		return nil, err
	}
	scope, exposition, scopeCloser := metrics.New("lacewingd")
	d.scope = scope
	d.peers = &peer.Client{Links: link.Links{Credentials: clientCredentials, SilenceTimeout: peerSilenceTimeout}}
	d.assembleConfiguration()
	policy := d.policy()
	d.assemblePlacement(policy)
	d.assemblePipeline(policy)
	d.peerServer = link.NewServer(serverCredentials)
	peer.Register(d.peerServer, handler{daemon: d})
	d.callerServer = &api.Server{Listener: d.listeners.caller, Pipeline: d.pipeline, Limits: d.callerLimits()}
	d.callerServer.OnRequestDone = d.countRequest
	d.operatorServer = &http.Server{
		Handler:           d.operatorHandler(exposition),
		ReadHeaderTimeout: operatorHeaderTimeout,
		ReadTimeout:       operatorBodyTimeout,
	}
	return func() {
		d.peers.Close()
		_ = scopeCloser.Close()
	}, nil
}

// assembleConfiguration creates the components for the configuration, its freshness, the rates, the claims and the
// detection of failed members.
func (d *Daemon) assembleConfiguration() {
	platform := d.Settings.Platform
	d.store = &store.Client{Address: platform.StoreAddress, Timeout: platform.StoreTimeout}
	d.repository = &repository.Repository{
		Store:  d.store,
		Writer: d.self.Name + "/" + d.self.Incarnation,
		Log:    d.Log,
	}
	d.sweeper = &repository.Sweeper{Repository: d.repository, HasDuty: d.isBroker}
	d.listing = &listing.Client{Address: platform.ListAddress}
	d.tracker = &freshness.Tracker{Self: trackerMember(d.self), Bound: d.Settings.Freshness.Bound}
	d.ledger = &rate.Ledger{Self: d.identity(), Freshness: d.tracker}
	d.claims = &claim.Registry{Store: d.store}
	d.detector.detector = &membership.Detector{Self: d.self.Name}
}

// policy returns the placement policy of the preset that the settings name.
func (d *Daemon) policy() deployment.Policy {
	if d.Settings.Policy.Preset == settings.PresetEfficiency {
		return deployment.Hellenic()
	}
	return deployment.BlueMountain()
}

// assemblePlacement creates the event loops of the holders and of the load broker.
func (d *Daemon) assemblePlacement(policy deployment.Policy) {
	members := peerClient{daemon: d, local: handler{daemon: d}}
	d.holding = &holding.Runner{
		Settings:       policy.Holder,
		Peers:          members,
		Engine:         func(address string) holding.Engine { return d.engines.clientFor(address, d.engineLimits()) },
		Source:         d.weightSource,
		CheckFreshness: d.tracker.Fresh,
		Log:            d.Log,
	}
	d.holding.Prepare()
	d.brokering = &brokering.Runner{Settings: policy.Broker}
	d.brokering.Prepare()
}

func (d *Daemon) assemblePipeline(policy deployment.Policy) {
	d.burn = &burn.Recorder{}
	d.pipeline = &pipeline.Pipeline{
		Self:            d.identity(),
		Current:         d.repository.Current,
		Tracker:         d.tracker,
		Ledger:          d.ledger,
		Claims:          d.claims,
		Fleet:           peerClient{daemon: d, local: handler{daemon: d}},
		Engine:          func(address string) pipeline.Engine { return d.engines.clientFor(address, d.engineLimits()) },
		Services:        &service.Client{},
		IsLeaving:       d.leaving.isLeaving,
		Pins:            &pipeline.Pins{},
		RunningRequests: &pipeline.RunningRequests{},
		Burn:            d.burn,
		State: &pipeline.SharedState{
			Router:   &route.Router{Settings: policy.Route},
			Suspects: &suspect.Tracker{Settings: policy.Suspect},
			Retries:  retry.New(policy.RetryRatio, policy.MaxSavedRetries),
			Shares:   &share.Tracker{},
		},
		DispatchTimeout: d.Settings.Limits.Patience,
		OnUpstreamCrash: d.requestHeartbeatsToAll,
		Log:             d.Log,
		Scope:           d.scope,
	}
}

func (d *Daemon) callerLimits() api.Limits {
	limits := api.DefaultLimits()
	limits.Completion.BodyBytes = int(d.Settings.Limits.BodyBytes)
	limits.MaxServiceBodyBytes = int(d.Settings.Limits.BodyBytes)
	limits.DrainTimeout = d.Settings.Limits.StopWithin
	return limits
}

func (d *Daemon) engineLimits() engine.Limits {
	limits := engine.DefaultLimits()
	limits.FirstTokenTimeout = d.Settings.Limits.FirstToken
	limits.InterTokenTimeout = d.Settings.Limits.BetweenTokens
	return limits
}

// isBroker reports whether this instance is the load broker. The same member does the other work that one member of
// the fleet does for all.
func (d *Daemon) isBroker() bool {
	member, found := membership.Broker(d.repository.Current().Head)
	return found && member.Incarnation == d.self.Incarnation
}

// countRequest counts a caller's request by route and status.
func (d *Daemon) countRequest(record api.RequestRecord) {
	tags := map[string]string{"route": record.Route, "status": strconv.Itoa(record.Status)}
	d.scope.Tagged(tags).Counter("requests").Inc(1)
}

// weightSource returns the location of an adapter version in the weight store, or an empty text if the version is not
// declared.
func (d *Daemon) weightSource(ref model.Reference) string {
	version, found := d.repository.Current().Configuration.AdapterVersion(ref.Adapter, ref.Version)
	if !found {
		return ""
	}
	return version.Source
}

// ---------------------------------------------------------------------------------------------

// operatorHeaderTimeout bounds how long an operator's client may take to send its headers, and operatorBodyTimeout
// its whole request: a file with tens of thousands of resources has several megabytes.
const (
	operatorHeaderTimeout = 10 * time.Second
	operatorBodyTimeout   = time.Minute
)

// operatorHandler serves the operators' API, and the probes and metrics, which need no token.
func (d *Daemon) operatorHandler(exposition http.Handler) http.Handler {
	operators := &operatorapi.Server{
		Configurations: d.repository,
		Fleet:          operatorBackend{daemon: d},
		Reports:        operatorBackend{daemon: d},
		TokenHashes:    d.Settings.Operators.TokenHashes,
		Log:            d.Log,
	}
	mux := http.NewServeMux()
	mux.Handle("/", operators.Handler())
	mux.Handle("GET /metrics", exposition)
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /ready", d.ready)
	return mux
}

// ready is the readiness probe of the load balancer. It fails while the instance is stopping or its configuration is
// stale.
func (d *Daemon) ready(w http.ResponseWriter, _ *http.Request) {
	if d.stopping.Load() || d.tracker.Fresh() != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// operatorBackend gives the operators' API the state of the fleet.
type operatorBackend struct {
	daemon *Daemon
}

// unreachableAfter is how long no heartbeat may be exchanged with a member before operators see it as unreachable.
const unreachableAfter = 5 * time.Second

// Status returns the revision and reachability of each member.
func (b operatorBackend) Status() []operatorapi.InstanceStatus {
	d := b.daemon
	var list []operatorapi.InstanceStatus
	current := d.repository.Current().Head
	for _, status := range d.tracker.Status() {
		member, _ := current.Member(status.Member.Name)
		list = append(list, operatorapi.InstanceStatus{
			Name:         status.Member.Name,
			DataCentre:   member.DataCentre,
			Revision:     status.Revision,
			InForceSince: status.Since,
			Reachable:    member.Name == d.self.Name || d.detector.answeredWithin(member.Name, unreachableAfter),
		})
	}
	return list
}

// WaitInForce waits until a revision is in force everywhere.
func (b operatorBackend) WaitInForce(ctx context.Context, revision int64) error {
	return b.daemon.tracker.WaitInForce(ctx, revision)
}
