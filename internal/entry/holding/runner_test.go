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

// scene is the engine and the peers of a runner, as one record.
type scene struct {
	mutex  sync.Mutex
	record []string
	stale  error
	pins   []holder.Pin
}

func (s *scene) note(what string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.record = append(s.record, what)
}

func (s *scene) count(what string) (count int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, one := range s.record {
		if one == what {
			count++
		}
	}
	return count
}

func (s *scene) setStale(err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stale = err
}

func (s *scene) fresh() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stale
}

func (s *scene) Load(_ context.Context, order engine.Order) error {
	s.note("load " + order.Adapter)
	return nil
}

func (s *scene) Unload(_ context.Context, order engine.Order) error {
	s.note("unload " + order.Adapter)
	return nil
}

func (s *scene) SetRole(context.Context, string, int64) error { return nil }

func (s *scene) Report(context.Context) (engine.Report, error) {
	return engine.Report{Incarnation: "e", Age: time.Hour}, nil
}

func (s *scene) Cancel(_ context.Context, id string) error {
	s.note("cancel " + id)
	return nil
}

func (s *scene) Pins(_ context.Context, member head.Member, _ string, _ int64) (peer.PinList, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	list := peer.PinList{Instance: member.Name, Incarnation: member.Incarnation, EpochInstalled: true}
	for _, pin := range s.pins {
		if pin.Instance == member.Name {
			list.Pins = append(list.Pins, pin)
		}
	}
	return list, nil
}

func (s *scene) PermitLoad(context.Context, broker.PermitRequested) (peer.LoadPermit, error) {
	return peer.LoadPermit{Granted: true, UseWithin: time.Second}, nil
}

func (s *scene) EndLoad(context.Context, broker.Load, bool) error { return nil }

// hold runs a runner that holds the upstream, with everything in force, for one test.
func hold(t *testing.T, s *scene, test func(ctx context.Context, r *holding.Runner)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		r := &holding.Runner{
			Settings:       holder.DefaultSettings(),
			Peers:          s,
			Engine:         func(string) holding.Engine { return s },
			Source:         model.Reference.String,
			CheckFreshness: s.fresh,
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
		time.Sleep(10 * time.Second) // the longest order of an older holder
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

// place asks for a place that must be granted, refuse for one that must not be, within a second.
func place(ctx context.Context, is *is.I, r *holding.Runner, id string, from head.Member, ref model.Reference) peer.Granted {
	is.Helper()
	granted, ok := r.Place(ctx, request(id, from, ref)).(peer.Granted)
	is.True(ok) // not granted
	return granted
}

func refuse(ctx context.Context, is *is.I, r *holding.Runner, id string, from head.Member, ref model.Reference) {
	is.Helper()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	_, ok := r.Place(ctx, request(id, from, ref)).(peer.Refused)
	is.True(ok) // granted
}

func TestRequestIsPlacedOnceItsVersionIsLoaded(t *testing.T) {
	s := &scene{}
	hold(t, s, func(ctx context.Context, r *holding.Runner) {
		is := is.New(t)
		place(ctx, is, r, "r1", self, bids)
		is.Equal(s.count("load bids"), 1)
		place(ctx, is, r, "r2", other, bids)
		is.Equal(s.count("load bids"), 1) // the second found it resident
	})
}

// An instance is frozen while it holds an upstream, and another takes over. When it wakes up it finds
// requests in its inbox. Granting them would run a request on an adapter version that the other is
// evicting: the caller would see its answer cut.
func TestStaleInstanceGrantsNothing(t *testing.T) {
	s := &scene{}
	hold(t, s, func(ctx context.Context, r *holding.Runner) {
		is := is.New(t)
		first := place(ctx, is, r, "r1", self, bids)
		s.setStale(errors.New("stale"))
		// Without a limit of its own: the answer must be the runner's, not the end of the wait.
		refused, ok := r.Place(ctx, request("r2", self, bids)).(peer.Refused)
		is.True(ok)
		is.Equal(refused.Reason, holder.ReasonNotHolder)
		s.setStale(nil)
		r.Release(ctx, "engine-1", holder.Released{Pin: first.Pin, Tokens: 1})
		place(ctx, is, r, "r3", self, bids) // the refused grant left no pin behind
	})
}

// An instance dies while its request runs. The engine does not know and goes on. If the holder forgot
// the pin at once, it would evict the version under a running request; if it never did, the slot and
// the batch place would be lost.
func TestRequestsOfGoneInstanceAreCancelledBeforeTheirVersionIsEvicted(t *testing.T) {
	s := &scene{}
	hold(t, s, func(ctx context.Context, r *holding.Runner) {
		is := is.New(t)
		place(ctx, is, r, "r1", other, bids)
		refuse(ctx, is, r, "r2", self, sites) // the only slot is pinned
		is.Equal(s.count("unload bids"), 0)
		r.SetInstanceStopped(ctx, other.Name, other.Incarnation)
		place(ctx, is, r, "r3", self, sites)
		is.Equal(s.record[1:], []string{"cancel r1", "unload bids", "load sites"})
	})
}

// The message that releases a pin is lost. Without a comparison with what the instances know, the
// batch place and the slot would be taken for good; users would notice ever longer queues.
func TestLostReleaseIsFound(t *testing.T) {
	s := &scene{}
	hold(t, s, func(ctx context.Context, r *holding.Runner) {
		is := is.New(t)
		kept := place(ctx, is, r, "r1", other, bids)
		place(ctx, is, r, "r2", other, bids)
		s.mutex.Lock()
		s.pins = []holder.Pin{{ID: kept.Pin, Instance: other.Name, Model: bids}}
		s.mutex.Unlock()
		time.Sleep(15 * time.Second)
		place(ctx, is, r, "r3", other, bids)  // one of the two batch places is free again
		refuse(ctx, is, r, "r4", other, bids) // the other one is still pinned
	})
}
