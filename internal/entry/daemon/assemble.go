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

// assemble.go makes the parts of an instance from its settings and joins them.

// assemble makes all parts. The function it returns closes what they hold open.
func (d *Daemon) assemble() (closeParts func(), err error) {
	serverCredentials, clientCredentials, err := peer.Credentials(d.Settings.Peers)
	if err != nil {
		return nil, err
	}
	scope, exposition, scopeCloser := metrics.New("lacewingd")
	d.scope = scope
	d.directory = &peer.Client{Links: link.Links{Credentials: clientCredentials}}
	d.assembleKnowledge()
	policy := d.policy()
	d.assemblePlacement(policy)
	d.assemblePipeline(policy)
	d.peers = link.NewServer(serverCredentials)
	peer.Register(d.peers, handler{daemon: d})
	d.callers = &api.Server{Listener: d.listeners.caller, Pipeline: d.pipeline, Limits: d.callerLimits()}
	d.callers.OnRequestDone = d.observe
	d.operators = &http.Server{
		Handler:           d.operatorHandler(exposition),
		ReadHeaderTimeout: headerWithin,
		ReadTimeout:       operatorBodyWithin,
	}
	return func() {
		d.directory.Close()
		_ = scopeCloser.Close()
	}, nil
}

// assembleKnowledge makes what the instance knows, and for how long it may use it.
func (d *Daemon) assembleKnowledge() {
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

// policy is the one that the settings name.
func (d *Daemon) policy() deployment.Policy {
	if d.Settings.Policy.Preset == settings.PresetEfficiency {
		return deployment.Hellenic()
	}
	return deployment.BlueMountain()
}

// assemblePlacement makes the holders' and the load broker's loops.
func (d *Daemon) assemblePlacement(policy deployment.Policy) {
	calls := fleet{daemon: d, own: handler{daemon: d}}
	d.holding = &holding.Runner{
		Settings:       policy.Holder,
		Peers:          calls,
		Engine:         func(address string) holding.Engine { return d.engines.at(address, d.engineLimits()) },
		Source:         d.source,
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
		Fleet:           fleet{daemon: d, own: handler{daemon: d}},
		Engine:          func(address string) pipeline.Engine { return d.engines.at(address, d.engineLimits()) },
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
		OnUpstreamCrash: d.tellAll,
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

// isBroker tells whether this instance has the duties that one member of the fleet has.
func (d *Daemon) isBroker() bool {
	member, found := membership.Broker(d.repository.Current().Head)
	return found && member.Incarnation == d.self.Incarnation
}

// observe counts each caller's request by its status.
func (d *Daemon) observe(seen api.RequestRecord) {
	tags := map[string]string{"route": seen.Route, "status": strconv.Itoa(seen.Status)}
	d.scope.Tagged(tags).Counter("requests").Inc(1)
}

// source gives where the weight store keeps an adapter version.
func (d *Daemon) source(ref model.Reference) string {
	version, found := d.repository.Current().Configuration.AdapterVersion(ref.Adapter, ref.Version)
	if !found {
		return ""
	}
	return version.Source
}

// ---------------------------------------------------------------------------------------------

// headerWithin bounds how long an operator's client may take to send its headers, and
// operatorBodyWithin its whole request: a file of tens of thousands of resources has some megabytes.
const (
	headerWithin       = 10 * time.Second
	operatorBodyWithin = time.Minute
)

// operatorHandler serves operators, and without a token the probes and metrics.
func (d *Daemon) operatorHandler(exposition http.Handler) http.Handler {
	operators := &operatorapi.Server{
		Configurations: d.repository,
		Fleet:          views{daemon: d},
		Reports:        views{daemon: d},
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

// ready tells the balancer whether to send requests here.
func (d *Daemon) ready(w http.ResponseWriter, _ *http.Request) {
	if d.stopping.Load() || d.tracker.Fresh() != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// views shows operators what the fleet knows.
type views struct {
	daemon *Daemon
}

// unheardFor is how long a member may be silent before operators are shown that it is.
const unheardFor = 5 * time.Second

// Status tells how far each member is.
func (v views) Status() []operatorapi.InstanceStatus {
	d := v.daemon
	var list []operatorapi.InstanceStatus
	current := d.repository.Current().Head
	for _, status := range d.tracker.Status() {
		member, _ := current.Member(status.Member.Name)
		list = append(list, operatorapi.InstanceStatus{
			Name:         status.Member.Name,
			DataCentre:   member.DataCentre,
			Revision:     status.Revision,
			InForceSince: status.Since,
			Reachable:    member.Name == d.self.Name || d.detector.heardWithin(member.Name, unheardFor),
		})
	}
	return list
}

// WaitInForce waits until a revision is in force everywhere.
func (v views) WaitInForce(ctx context.Context, revision int64) error {
	return v.daemon.tracker.WaitInForce(ctx, revision)
}
