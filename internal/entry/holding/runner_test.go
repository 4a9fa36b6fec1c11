package holding_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"lacewingrock.example/lacewingrock/internal/catalog/head"
	"lacewingrock.example/lacewingrock/internal/catalog/resource"
	"lacewingrock.example/lacewingrock/internal/entry/holding"
	"lacewingrock.example/lacewingrock/internal/fleet/peer"
	"lacewingrock.example/lacewingrock/internal/placement/broker"
	"lacewingrock.example/lacewingrock/internal/placement/holder"
	"lacewingrock.example/lacewingrock/internal/placement/model"
	"lacewingrock.example/lacewingrock/internal/upstream/engine"
)

var (
	bids     = model.Reference{Adapter: "bids", Version: "1"}
	sites    = model.Reference{Adapter: "sites", Version: "1"}
	self     = head.Member{Name: "instance-1", Incarnation: "a"}
	other    = head.Member{Name: "instance-2", Incarnation: "b"}
	upstream = resource.Upstream{Meta: resource.Meta{Name: "engine-1"}, Address: "engine", Slots: 1, Batch: 2}
)

// backend is the engine and the peers of a runner, and records the calls to them.
type backend struct {
	mutex          sync.Mutex
	calls          []string
	freshnessError error
	pins           []holder.Pin
}

func (b *backend) recordCall(call string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.calls = append(b.calls, call)
}

func (b *backend) count(call string) (count int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, recorded := range b.calls {
		if recorded == call {
			count++
		}
	}
	return count
}

func (b *backend) setFreshnessError(err error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.freshnessError = err
}

func (b *backend) checkFreshness() error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.freshnessError
}

func (b *backend) Load(_ context.Context, order engine.Order) error {
	b.recordCall("load " + order.Adapter)
	return nil
}

func (b *backend) Unload(_ context.Context, order engine.Order) error {
	b.recordCall("unload " + order.Adapter)
	return nil
}

func (b *backend) SetRole(context.Context, string, int64) error { return nil }

func (b *backend) Report(context.Context) (engine.Report, error) {
	return engine.Report{Incarnation: "e", Age: time.Hour}, nil
}

func (b *backend) Cancel(_ context.Context, id string) error {
	b.recordCall("cancel " + id)
	return nil
}

func (b *backend) Pins(_ context.Context, member head.Member, _ string, _ int64) (peer.PinList, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	list := peer.PinList{Instance: member.Name, Incarnation: member.Incarnation, EpochInstalled: true}
	for _, pin := range b.pins {
		if pin.Instance == member.Name {
			list.Pins = append(list.Pins, pin)
		}
	}
	return list, nil
}

func (b *backend) PermitLoad(context.Context, broker.PermitRequested) (peer.LoadPermit, error) {
	return peer.LoadPermit{Granted: true, UseWithin: time.Second}, nil
}

func (b *backend) EndLoad(context.Context, broker.Load, bool) error { return nil }

// runHolder runs a test with a runner that holds the upstream, with its epoch in force.
func runHolder(t *testing.T, b *backend, test func(ctx context.Context, r *holding.Runner)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		r := &holding.Runner{
			Settings:       holder.DefaultSettings(),
			Peers:          b,
			Engine:         func(string) holding.Engine { return b },
			Source:         model.Reference.String,
			CheckFreshness: b.checkFreshness,
			Log:            zerolog.Nop(),
		}
		r.Prepare()
		go func() { _ = r.Run(ctx) }()
		r.SetAssignment(ctx, holding.Assignment{
			Epoch:     1,
			Members:   []head.Member{self, other},
			Upstreams: []resource.Upstream{upstream},
		})
		r.SetInForce(ctx, 1)
		time.Sleep(10 * time.Second) // the longest that an order of an earlier holder can take
		test(ctx, r)
		cancel()
		synctest.Wait()
	})
}

func request(id string, from head.Member, ref model.Reference) peer.PlaceRequest {
	return peer.PlaceRequest{Upstream: "engine-1", Epoch: 1, Request: holder.Request{
		ID: id, Instance: from.Name, Incarnation: from.Incarnation, Workspace: "w", Weight: 1,
		Model: ref, Cost: 100, Deadline: time.Now().Add(30 * time.Second),
	}}
}

// place expects that a request is granted, refuse that it is not granted within a second.
func place(ctx context.Context, is *is.I, r *holding.Runner, id string, from head.Member, ref model.Reference) peer.Granted {
	is.Helper()
	granted, ok := r.Place(ctx, request(id, from, ref)).(peer.Granted)
	is.True(ok) // must be granted
	return granted
}

func refuse(ctx context.Context, is *is.I, r *holding.Runner, id string, from head.Member, ref model.Reference) {
	is.Helper()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	_, ok := r.Place(ctx, request(id, from, ref)).(peer.Refused)
	is.True(ok) // must not be granted
}

func TestRequestIsPlacedOnceItsVersionIsLoaded(t *testing.T) {
	b := &backend{}
	runHolder(t, b, func(ctx context.Context, r *holding.Runner) {
		is := is.New(t)
		place(ctx, is, r, "r1", self, bids)
		is.Equal(b.count("load bids"), 1)
		place(ctx, is, r, "r2", other, bids)
		is.Equal(b.count("load bids"), 1) // it was resident at the second request
	})
}

// Guards against grants of an instance that no longer holds the upstream. The instance was frozen, another one took over,
// and on resuming it finds requests in its inbox. A grant would run a request on an adapter version that the other
// instance is evicting, and the caller would get a truncated response.
func TestStaleInstanceGrantsNothing(t *testing.T) {
	b := &backend{}
	runHolder(t, b, func(ctx context.Context, r *holding.Runner) {
		is := is.New(t)
		first := place(ctx, is, r, "r1", self, bids)
		b.setFreshnessError(errors.New("stale"))
		// No time-out here: the response must come from the runner, not from the end of the wait.
		refused, ok := r.Place(ctx, request("r2", self, bids)).(peer.Refused)
		is.True(ok)
		is.Equal(refused.Reason, holder.ReasonNotHolder)
		b.setFreshnessError(nil)
		r.Release(ctx, "engine-1", holder.Released{Pin: first.Pin, Tokens: 1})
		place(ctx, is, r, "r3", self, bids) // the grant that was refused left no pin
	})
}

// Guards against evicting an adapter version that requests of a stopped instance still use. The engine does not know that
// the instance has stopped, and continues. If the holder removed the pin immediately, it would evict the version while the
// request runs; if it never did, the adapter slot and the batch slot would be lost.
func TestRequestsOfStoppedInstanceAreCancelledBeforeTheirVersionIsEvicted(t *testing.T) {
	b := &backend{}
	runHolder(t, b, func(ctx context.Context, r *holding.Runner) {
		is := is.New(t)
		place(ctx, is, r, "r1", other, bids)
		refuse(ctx, is, r, "r2", self, sites) // the only adapter slot is pinned
		is.Equal(b.count("unload bids"), 0)
		r.SetInstanceStopped(ctx, other.Name, other.Incarnation)
		place(ctx, is, r, "r3", self, sites)
		is.Equal(b.calls[1:], []string{"cancel r1", "unload bids", "load sites"})
	})
}

// Guards against pins whose release was lost. Without the comparison with the instances' lists, the batch slot and the
// adapter slot would stay occupied permanently, and the queues would grow longer and longer.
func TestLostReleaseIsDetected(t *testing.T) {
	b := &backend{}
	runHolder(t, b, func(ctx context.Context, r *holding.Runner) {
		is := is.New(t)
		kept := place(ctx, is, r, "r1", other, bids)
		place(ctx, is, r, "r2", other, bids)
		b.mutex.Lock()
		b.pins = []holder.Pin{{ID: kept.Pin, Instance: other.Name, Model: bids}}
		b.mutex.Unlock()
		time.Sleep(15 * time.Second)
		place(ctx, is, r, "r3", other, bids)  // one of the two batch slots is free again
		refuse(ctx, is, r, "r4", other, bids) // the other batch slot is still pinned
	})
}
