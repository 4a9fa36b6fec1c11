package pipeline_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"lacewingrock.example/lacewingrock/internal/admission/claim"
	"lacewingrock.example/lacewingrock/internal/admission/rate"
	"lacewingrock.example/lacewingrock/internal/caller/api"
	"lacewingrock.example/lacewingrock/internal/caller/completion"
	"lacewingrock.example/lacewingrock/internal/caller/refusal"
	"lacewingrock.example/lacewingrock/internal/caller/stream"
	"lacewingrock.example/lacewingrock/internal/catalog/configuration"
	"lacewingrock.example/lacewingrock/internal/catalog/head"
	"lacewingrock.example/lacewingrock/internal/catalog/repository"
	"lacewingrock.example/lacewingrock/internal/catalog/resource"
	"lacewingrock.example/lacewingrock/internal/entry/pipeline"
	"lacewingrock.example/lacewingrock/internal/fleet/freshness"
	"lacewingrock.example/lacewingrock/internal/fleet/peer"
	"lacewingrock.example/lacewingrock/internal/placement/retry"
	"lacewingrock.example/lacewingrock/internal/placement/route"
	"lacewingrock.example/lacewingrock/internal/placement/share"
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
	"lacewingrock.example/lacewingrock/internal/platform/store"
	"lacewingrock.example/lacewingrock/internal/report/burn"
	"lacewingrock.example/lacewingrock/internal/upstream/engine"
	"lacewingrock.example/lacewingrock/internal/upstream/service"
)

// This file assembles a pipeline from the real components, with fakes at its interfaces. The fakes record the calls
// that the pipeline makes.

const (
	burst           = 1000
	dispatchTimeout = 20 * time.Second
	serviceAddress  = "10.0.0.9:1"

	otherServiceAddress = "10.0.0.8:1"
)

var (
	self              = rate.Identity{Name: "i1", Incarnation: "a"}
	caller            = api.Identity{Workspace: "blue", Key: "blue-key"}
	upstreamByAddress = map[string]string{"10.0.0.1:1": "u1", "10.0.0.2:1": "u2"}
)

// fixture is one instance. Tests replace its functions to cause failures.
type fixture struct {
	*testing.T
	context    context.Context
	pipeline   *pipeline.Pipeline
	repository *repository.Repository
	tracker    *freshness.Tracker
	ledger     *rate.Ledger

	place    func(ctx context.Context, member head.Member, request peer.PlaceRequest) (peer.Placement, error)
	lend     func(ctx context.Context, member head.Member, request peer.TokenRequest) (rate.Loan, error)
	complete func(ctx context.Context, sink engine.Sink) engine.Outcome
	cancel   func() error
	do       func(ctx context.Context, call service.Call) service.Outcome

	leavingAddresses map[string]bool
	paused           atomic.Bool
	mutex            sync.Mutex
	pins             int
	placeRequests    []peer.PlaceRequest
	dispatches       []string
	calls            int
	crashNotices     atomic.Int32
	calledAddresses  []string
	released         []peer.ReleaseRequest
}

// newFixture creates an instance in a fleet of the given size, on the given store.
func newFixture(t *testing.T, kv store.Store, members int) *fixture {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	f := &fixture{
		T:          t,
		context:    ctx,
		repository: &repository.Repository{Store: kv, Writer: "i1/a"},
		tracker:    &freshness.Tracker{Self: freshness.Member{Name: self.Name, Incarnation: self.Incarnation}},
	}
	f.ledger = &rate.Ledger{Self: self, Freshness: f.tracker}
	f.place = f.grant
	f.complete = func(_ context.Context, sink engine.Sink) engine.Outcome { return completeStream(sink) }
	f.cancel = func() error { return nil }
	f.do = func(context.Context, service.Call) service.Outcome {
		return service.Ran{Response: service.Response{Status: 201, Body: []byte("booked")}}
	}
	claims := &claim.Registry{Store: kv}
	f.pipeline = &pipeline.Pipeline{
		Self: self, Current: f.repository.Current, Tracker: f.tracker, Ledger: f.ledger, Claims: claims,
		Fleet: f, Engine: func(address string) pipeline.Engine { return fakeEngine{f, upstreamByAddress[address]} },
		Services: f, IsLeaving: func(address string) bool { return f.leavingAddresses[address] },
		OnUpstreamCrash: func() { f.crashNotices.Add(1) }, Pins: &pipeline.Pins{}, RunningRequests: &pipeline.RunningRequests{}, Burn: &burn.Recorder{},
		State: &pipeline.SharedState{
			Router:   &route.Router{Settings: route.DefaultSettings()},
			Suspects: &suspect.Tracker{Settings: suspect.DefaultSettings()},
			Retries:  retry.New(1, 10),
			Shares:   &share.Tracker{},
		},
		DispatchTimeout: dispatchTimeout, Log: zerolog.Nop(), Scope: tally.NoopScope,
	}
	f.declareFleet(members)
	go func() { _ = claims.Run(ctx) }()
	go f.confirmPeriodically()
	return f
}

func meta(name string) resource.Meta { return resource.Meta{Name: name} }

func adapterVersion(version string) resource.AdapterVersion {
	return resource.AdapterVersion{
		Meta: meta("bids@" + version), Adapter: "bids", Version: version, Source: "weights/bids/" + version,
	}
}

// declareFleet adds the members before the resources, so that the workspace is declared while the instance runs and starts
// with its full burst.
func (f *fixture) declareFleet(members int) {
	f.Helper()
	_, err := f.repository.CommitHead(f.context, func(h head.Head) (head.Head, error) {
		for i := range members {
			name := fmt.Sprint("i", i+1)
			h = h.WithMember(head.Member{Name: name, Incarnation: "a", Address: "10.1.0.1:1", DataCentre: "south"})
		}
		return h, nil
	})
	f.must(err)
	f.install()
	sum := sha256.Sum256([]byte("secret"))
	f.declare(
		resource.BaseModel{Meta: meta("base")},
		resource.Workspace{Meta: meta("blue"), Rate: 1, Burst: burst, Weight: 1},
		resource.Key{Meta: meta(caller.Key), Workspace: "blue", Hash: hex.EncodeToString(sum[:])},
		resource.Adapter{Meta: meta("bids"), BaseModel: "base", Current: "1"},
		adapterVersion("1"), adapterVersion("2"),
		resource.Upstream{Meta: meta("u1"), Address: "10.0.0.1:1", DataCentre: "south", BaseModel: "base", Slots: 4, Batch: 4},
		resource.Upstream{Meta: meta("u2"), Address: "10.0.0.2:1", DataCentre: "south", BaseModel: "base", Slots: 4, Batch: 4},
		resource.Service{Meta: meta("paint"), Addresses: []string{serviceAddress, otherServiceAddress}, Repeatable: []string{"GET"}},
	)
}

func (f *fixture) must(err error) {
	f.Helper()
	if err != nil {
		f.Fatal(err)
	}
}

// declare declares resources and installs the new head.
func (f *fixture) declare(resources ...resource.Resource) {
	f.Helper()
	var change configuration.Change
	for _, r := range resources {
		change = append(change, configuration.Declare{Resource: r, Expected: configuration.AnyVersion})
	}
	f.change(change)
}

func (f *fixture) change(change configuration.Change) {
	f.Helper()
	_, err := f.repository.Apply(f.context, func(configuration.Configuration) (configuration.Change, error) {
		return change, nil
	})
	f.must(err)
	f.install()
}

// withdraw withdraws the caller's key and installs the change at this instance.
func (f *fixture) withdraw() {
	key, _ := f.repository.Current().Configuration.Key(caller.Key)
	key.Withdrawn = true
	f.declare(key)
}

// removeMember removes a member and installs the change at this instance.
func (f *fixture) removeMember(name string) {
	_, err := f.repository.CommitHead(f.context, func(h head.Head) (head.Head, error) {
		return h.WithoutMember(name), nil
	})
	f.must(err)
	f.install()
}

// install installs the current head in all components, as the daemon does.
func (f *fixture) install() {
	current := f.repository.Current()
	ledgerHead := rate.Head{Revision: current.Head.Revision}
	trackerHead := freshness.Head{Revision: current.Head.Revision, Epoch: current.Head.Epoch}
	for _, m := range current.Head.Members {
		ledgerHead.Members = append(ledgerHead.Members, rate.Identity{Name: m.Name, Incarnation: m.Incarnation})
		trackerHead.Members = append(trackerHead.Members, freshness.Member{Name: m.Name, Incarnation: m.Incarnation})
	}
	if workspace, found := current.Configuration.Workspace("blue"); found {
		limit := rate.Limit{Workspace: "blue", Rate: workspace.Rate, Burst: workspace.Burst}
		ledgerHead.Limits = append(ledgerHead.Limits, limit)
	}
	f.ledger.Install(ledgerHead)
	f.pipeline.RunningRequests.CancelWithdrawn(current.Configuration)
	f.pipeline.Pins.Install(current.Head)
	f.pipeline.State.WithLock(func(state *pipeline.SharedState) {
		state.Router.SetUpstreams(current.Configuration.Upstreams())
	})
	f.tracker.Install(trackerHead)
	f.confirm()
}

// confirm simulates a successful read of the store, and heartbeats that report the upstreams.
func (f *fixture) confirm() {
	now := time.Now()
	f.tracker.RecordRead(now, f.repository.Current().Head.Revision)
	f.pipeline.State.WithLock(func(state *pipeline.SharedState) {
		for _, name := range upstreamByAddress {
			state.Router.UpdateSummary(now, route.Summary{Upstream: name, Epoch: 1, FreePlaces: 4, Healthy: true, At: now})
		}
	})
}

func (f *fixture) confirmPeriodically() {
	for f.context.Err() == nil {
		if !f.paused.Load() {
			f.confirm()
		}
		select {
		case <-time.After(500 * time.Millisecond):
		case <-f.context.Done():
		}
	}
}

// pause simulates a pause of the process that exceeds the freshness bound. It returns before the next read of the store.
func (f *fixture) pause() {
	f.paused.Store(true)
	time.Sleep(freshness.Bound + time.Second)
}

// ---------------------------------------------------------------------------------------------
// Fakes.

func (f *fixture) Place(ctx context.Context, member head.Member, request peer.PlaceRequest) (peer.Placement, error) {
	f.mutex.Lock()
	f.placeRequests = append(f.placeRequests, request)
	f.mutex.Unlock()
	return f.place(ctx, member, request)
}

// grant grants a pin to every request immediately.
func (f *fixture) grant(_ context.Context, _ head.Member, request peer.PlaceRequest) (peer.Placement, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.pins++
	return peer.Granted{Pin: fmt.Sprintf("%s/1/%d", request.Upstream, f.pins)}, nil
}

func (f *fixture) Release(_ context.Context, _ head.Member, request peer.ReleaseRequest) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.released = append(f.released, request)
	return nil
}

func (f *fixture) BorrowTokens(ctx context.Context, member head.Member, request peer.TokenRequest) (rate.Loan, error) {
	return f.lend(ctx, member, request)
}

func (f *fixture) Do(ctx context.Context, address string, call service.Call) service.Outcome {
	f.mutex.Lock()
	f.calls++
	f.calledAddresses = append(f.calledAddresses, address)
	f.mutex.Unlock()
	return f.do(ctx, call)
}

// fakeEngine is one upstream of the fixture.
type fakeEngine struct {
	*fixture
	name string
}

func (e fakeEngine) Complete(ctx context.Context, _ engine.Dispatch, sink engine.Sink) engine.Outcome {
	e.mutex.Lock()
	e.dispatches = append(e.dispatches, e.name)
	e.mutex.Unlock()
	return e.complete(ctx, sink)
}

func (e fakeEngine) Cancel(context.Context, string) error { return e.cancel() }

// completeStream sends a complete stream of one token.
func completeStream(sink engine.Sink) engine.Outcome {
	if startStream(sink) != nil {
		return engine.Cancelled{StopConfirmed: true}
	}
	return engine.Completed{Tokens: 1}
}

func startStream(sink engine.Sink) error {
	if err := sink.Begin("bids@1"); err != nil {
		return err
	}
	return sink.Event(stream.Event{Data: []byte("{}")}, 1)
}

// discardSink is a caller that discards the stream.
type discardSink struct{}

func (discardSink) Begin(api.Served) error        { return nil }
func (discardSink) Event(stream.Event, int) error { return nil }

// ---------------------------------------------------------------------------------------------
// Requests and checks.

// requestCompletion runs a completion with the given limit of generated tokens.
func (f *fixture) requestCompletion(model string, tokens int) error {
	body := fmt.Sprintf(`{"model":%q,"prompt":"a","max_tokens":%d}`, model, tokens)
	request, err := completion.Parse(completion.Text, []byte(body), completion.DefaultLimits())
	f.must(err)
	return f.pipeline.Complete(f.context, caller, request.WithID("r"), discardSink{})
}

// callService calls the plain service with an idempotency key.
func (f *fixture) callService(ctx context.Context, method, key string) (service.Response, error) {
	call := service.Call{ID: "r", Method: method, Path: "/orders", IdempotencyKey: key}
	return f.pipeline.Call(ctx, caller, api.ServiceCall{Service: "paint", Call: call})
}

// checkRefused checks the code and the run state of a refusal.
func checkRefused(t *testing.T, err error, code refusal.Code, run refusal.Run) {
	t.Helper()
	is := is.New(t)
	is.True(err != nil)
	got := refusal.From(err)
	is.Equal(got.Code(), code)
	is.Equal(got.Run(), run)
}

// dispatchedUpstreams lists the upstreams to which requests were sent, in order.
func (f *fixture) dispatchedUpstreams() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]string(nil), f.dispatches...)
}

// releasedPins returns the released pins, each with its last release request.
func (f *fixture) releasedPins() map[string]peer.ReleaseRequest {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	pins := map[string]peer.ReleaseRequest{}
	for _, request := range f.released {
		pins[request.Released.Pin] = request
	}
	return pins
}
