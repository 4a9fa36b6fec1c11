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

// This file puts a pipeline together from the real deciding parts and fakes at its interfaces. The
// fakes keep a plain record of what left the instance.

const (
	burst        = 1000
	longPatience = 20 * time.Second
	serviceAt    = "10.0.0.9:1"

	otherServiceAt = "10.0.0.8:1"
)

var (
	self     = rate.Identity{Name: "i1", Incarnation: "a"}
	caller   = api.Identity{Workspace: "blue", Key: "blue-key"}
	upstream = map[string]string{"10.0.0.1:1": "u1", "10.0.0.2:1": "u2"}
)

// fixture is one instance. Replace its functions to bring a failure about.
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

	leaving  map[string]bool
	paused   atomic.Bool
	mutex    sync.Mutex
	pins     int
	placed   []peer.PlaceRequest
	sent     []string
	calls    int
	told     atomic.Int32
	called   []string
	released []peer.ReleaseRequest
}

// newFixture makes an instance that is one of the given number of members, on the given store.
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
	f.complete = func(_ context.Context, sink engine.Sink) engine.Outcome { return answer(sink) }
	f.cancel = func() error { return nil }
	f.do = func(context.Context, service.Call) service.Outcome {
		return service.Ran{Response: service.Response{Status: 201, Body: []byte("booked")}}
	}
	claims := &claim.Registry{Store: kv}
	f.pipeline = &pipeline.Pipeline{
		Self: self, Current: f.repository.Current, Tracker: f.tracker, Ledger: f.ledger, Claims: claims,
		Fleet: f, Engine: func(address string) pipeline.Engine { return engineAt{f, upstream[address]} },
		Services: f, IsLeaving: func(address string) bool { return f.leaving[address] },
		OnUpstreamCrash: func() { f.told.Add(1) }, Pins: &pipeline.Pins{}, RunningRequests: &pipeline.RunningRequests{}, Burn: &burn.Recorder{},
		State: &pipeline.SharedState{
			Router:   &route.Router{Settings: route.DefaultSettings()},
			Suspects: &suspect.Tracker{Settings: suspect.DefaultSettings()},
			Retries:  retry.New(1, 10),
			Shares:   &share.Tracker{},
		},
		DispatchTimeout: longPatience, Log: zerolog.Nop(), Scope: tally.NoopScope,
	}
	f.declare(members)
	go func() { _ = claims.Run(ctx) }()
	go f.loop()
	return f
}

func named(name string) resource.Meta { return resource.Meta{Name: name} }

func adapterVersion(version string) resource.AdapterVersion {
	return resource.AdapterVersion{
		Meta: named("bids@" + version), Adapter: "bids", Version: version, Source: "weights/bids/" + version,
	}
}

// declare makes the members first, so that the workspace appears while the instance runs and starts with
// its burst.
func (f *fixture) declare(members int) {
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
	f.accept(
		resource.BaseModel{Meta: named("base")},
		resource.Workspace{Meta: named("blue"), Rate: 1, Burst: burst, Weight: 1},
		resource.Key{Meta: named(caller.Key), Workspace: "blue", Hash: hex.EncodeToString(sum[:])},
		resource.Adapter{Meta: named("bids"), BaseModel: "base", Current: "1"},
		adapterVersion("1"), adapterVersion("2"),
		resource.Upstream{Meta: named("u1"), Address: "10.0.0.1:1", DataCentre: "south", BaseModel: "base", Slots: 4, Batch: 4},
		resource.Upstream{Meta: named("u2"), Address: "10.0.0.2:1", DataCentre: "south", BaseModel: "base", Slots: 4, Batch: 4},
		resource.Service{Meta: named("paint"), Addresses: []string{serviceAt, otherServiceAt}, Repeatable: []string{"GET"}},
	)
}

func (f *fixture) must(err error) {
	f.Helper()
	if err != nil {
		f.Fatal(err)
	}
}

// accept declares resources and installs the head.
func (f *fixture) accept(resources ...resource.Resource) {
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

// withdraw withdraws the caller's key, as seen by this instance.
func (f *fixture) withdraw() {
	key, _ := f.repository.Current().Configuration.Key(caller.Key)
	key.Withdrawn = true
	f.accept(key)
}

// leaveFleet takes a member out, as seen by this instance.
func (f *fixture) leaveFleet(name string) {
	_, err := f.repository.CommitHead(f.context, func(h head.Head) (head.Head, error) {
		return h.WithoutMember(name), nil
	})
	f.must(err)
	f.install()
}

// install brings the current head to the parts, as the daemon does.
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
	f.pipeline.State.WithLock(func(a *pipeline.SharedState) {
		a.Router.SetUpstreams(current.Configuration.Upstreams())
	})
	f.tracker.Install(trackerHead)
	f.confirm()
}

// confirm is what a read of the store brings, and what heartbeats tell of the upstreams.
func (f *fixture) confirm() {
	now := time.Now()
	f.tracker.RecordRead(now, f.repository.Current().Head.Revision)
	f.pipeline.State.WithLock(func(a *pipeline.SharedState) {
		for _, name := range upstream {
			a.Router.UpdateSummary(now, route.Summary{Upstream: name, Epoch: 1, FreePlaces: 4, Healthy: true, At: now})
		}
	})
}

func (f *fixture) loop() {
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

// pause stops the instance for longer than its knowledge may be used. It runs on before it reads again.
func (f *fixture) pause() {
	f.paused.Store(true)
	time.Sleep(freshness.Bound + time.Second)
}

// ---------------------------------------------------------------------------------------------
// The fakes.

func (f *fixture) Place(ctx context.Context, member head.Member, request peer.PlaceRequest) (peer.Placement, error) {
	f.mutex.Lock()
	f.placed = append(f.placed, request)
	f.mutex.Unlock()
	return f.place(ctx, member, request)
}

// grant gives every request a pin at once.
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
	f.called = append(f.called, address)
	f.mutex.Unlock()
	return f.do(ctx, call)
}

// engineAt is one upstream of the fixture.
type engineAt struct {
	*fixture
	name string
}

func (e engineAt) Complete(ctx context.Context, _ engine.Dispatch, sink engine.Sink) engine.Outcome {
	e.mutex.Lock()
	e.sent = append(e.sent, e.name)
	e.mutex.Unlock()
	return e.complete(ctx, sink)
}

func (e engineAt) Cancel(context.Context, string) error { return e.cancel() }

// answer sends a whole stream of one token.
func answer(sink engine.Sink) engine.Outcome {
	if begin(sink) != nil {
		return engine.Cancelled{StopConfirmed: true}
	}
	return engine.Completed{Tokens: 1}
}

func begin(sink engine.Sink) error {
	if err := sink.Begin("bids@1"); err != nil {
		return err
	}
	return sink.Event(stream.Event{Data: []byte("{}")}, 1)
}

// nobody is a caller that takes everything and looks at nothing.
type nobody struct{}

func (nobody) Begin(api.Served) error        { return nil }
func (nobody) Event(stream.Event, int) error { return nil }

// ---------------------------------------------------------------------------------------------
// What is asked and looked at.

// ask runs a completion that may generate as many tokens.
func (f *fixture) ask(model string, tokens int) error {
	body := fmt.Sprintf(`{"model":%q,"prompt":"a","max_tokens":%d}`, model, tokens)
	request, err := completion.Parse(completion.Text, []byte(body), completion.DefaultLimits())
	f.must(err)
	return f.pipeline.Complete(f.context, caller, request.WithID("r"), nobody{})
}

// callService calls the plain service.
func (f *fixture) callService(ctx context.Context, method, key string) (service.Response, error) {
	call := service.Call{ID: "r", Method: method, Path: "/orders", IdempotencyKey: key}
	return f.pipeline.Call(ctx, caller, api.ServiceCall{Service: "paint", Call: call})
}

// refused checks the code and the run state that a caller is told.
func refused(t *testing.T, err error, code refusal.Code, run refusal.Run) {
	t.Helper()
	is := is.New(t)
	is.True(err != nil)
	got := refusal.From(err)
	is.Equal(got.Code(), code)
	is.Equal(got.Run(), run)
}

// dispatched lists the upstreams that were sent a request.
func (f *fixture) dispatched() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]string(nil), f.sent...)
}

// given lists the pins given back, once for each pin.
func (f *fixture) given() map[string]peer.ReleaseRequest {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	pins := map[string]peer.ReleaseRequest{}
	for _, request := range f.released {
		pins[request.Released.Pin] = request
	}
	return pins
}
