package holder_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/catalog/resource"
	"lacewingrock.example/lacewingrock/internal/placement/holder"
	"lacewingrock.example/lacewingrock/internal/placement/model"
)

var (
	bids  = model.Reference{Adapter: "bids", Version: "v1"}
	lawns = model.Reference{Adapter: "lawns", Version: "v1"}
	sites = model.Reference{Adapter: "sites", Version: "v1"}
)

// newHolder returns the holder of an upstream with two adapter slots and four batch slots.
func newHolder(checksFencing bool) *holder.Holder {
	return &holder.Holder{
		Upstream: resource.Upstream{
			Meta: resource.Meta{Name: "u1"}, Slots: 2, Batch: 4, ChecksFencing: checksFencing,
		},
		Settings: holder.DefaultSettings(),
	}
}

// takeOver completes a holder's takeover, so that it may order and evict.
func takeOver(h *holder.Holder) {
	h.Handle(time.Now(), holder.Appointed{Epoch: 5, Members: []string{"i1"}})
	h.Handle(time.Now(), holder.EpochInForce{Epoch: 5})
	h.Handle(time.Now(), holder.FenceNoted{Fence: 5})
	h.Handle(time.Now(), holder.PinsReported{Instance: "i1", Epoch: 5})
	h.Handle(time.Now(), holder.Reported{Incarnation: "a"})
}

func request(id string, ref model.Reference, patience time.Duration) holder.Request {
	return holder.Request{
		ID: id, Instance: "i1", Incarnation: "x", Workspace: "w", Weight: 1, Model: ref,
		Cost: 100, Deadline: time.Now().Add(patience),
	}
}

func find[A holder.Action](actions []holder.Action) (found []A) {
	for _, action := range actions {
		if a, ok := action.(A); ok {
			found = append(found, a)
		}
	}
	return found
}

// load loads a version for a new request and returns the load order and the request's grant.
func load(t *testing.T, h *holder.Holder, id string, ref model.Reference) (holder.OrderLoad, holder.Grant) {
	t.Helper()
	is := is.New(t)
	asks := find[holder.RequestPermit](h.Handle(time.Now(), holder.Arrived{Request: request(id, ref, 10*time.Second)}))
	is.Equal(len(asks), 1)
	orders := find[holder.OrderLoad](h.Handle(time.Now(), holder.PermitGranted{Model: ref, UseWithin: time.Second}))
	is.Equal(len(orders), 1)
	grants := find[holder.Grant](h.Handle(time.Now(), holder.LoadDone{Load: ref}))
	is.Equal(len(grants), 1)
	return orders[0], grants[0]
}

// Two callers use two adapters on an engine with two slots, and a third adapter is requested. If one of the two were
// evicted, its caller would get a truncated answer, or an answer by the wrong adapter.
func TestPinnedVersionIsNotEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHolder(true)
		takeOver(h)
		load(t, h, "r1", bids)
		_, second := load(t, h, "r2", lawns)
		actions := h.Handle(time.Now(), holder.Arrived{Request: request("r3", sites, 10*time.Second)})
		is.Equal(len(find[holder.RequestPermit](actions)), 0)
		actions = h.Handle(time.Now(), holder.Released{Pin: second.Pin.ID, Tokens: 100})
		is.Equal(len(find[holder.RequestPermit](actions)), 1)
		actions = h.Handle(time.Now(), holder.PermitGranted{Model: sites, UseWithin: time.Second})
		is.Equal(find[holder.OrderLoad](actions), []holder.OrderLoad{{Load: sites, Evict: lawns, Fence: 5}})
	})
}

// An instance takes over an upstream while the previous holder is paused with an order in flight. If the new holder
// granted at once, that order could evict the version of a request that was just granted.
func TestNewHolderWaitsForEarlierOrders(t *testing.T) {
	tests := []struct {
		name          string
		checksFencing bool
		note          bool
		wait          time.Duration
		granted       bool
	}{
		{"fence noted", true, true, 0, true},
		{"fence not answered", true, false, time.Second, false},
		{"fence not answered, order timed out", true, false, 6 * time.Second, true},
		{"engine ignores fencing", false, false, time.Second, false},
		{"engine ignores fencing, order timed out", false, false, 6 * time.Second, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				h := newHolder(tt.checksFencing)
				is.Equal(len(find[holder.RequestPins](h.Handle(time.Now(), holder.Appointed{Epoch: 5, Members: []string{"i1"}}))), 1)
				is.Equal(len(h.Handle(time.Now(), holder.Arrived{Request: request("r1", bids, time.Minute)})), 0)
				h.Handle(time.Now(), holder.EpochInForce{Epoch: 5})
				if tt.note {
					h.Handle(time.Now(), holder.FenceNoted{Fence: 5})
				}
				time.Sleep(tt.wait)
				actions := h.Handle(time.Now(), holder.Reported{Incarnation: "a", Resident: []model.Reference{bids}})
				is.Equal(len(find[holder.Grant](actions)) == 1, tt.granted)
			})
		})
	}
}

// An instance that forwards a long stream has not yet reported its pin to the upstream's new holder. If the holder
// evicted a version meanwhile, that stream could be aborted.
func TestNothingIsEvictedUntilPinsAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHolder(true)
		h.Handle(time.Now(), holder.Appointed{Epoch: 5, Members: []string{"i1", "i2"}})
		h.Handle(time.Now(), holder.EpochInForce{Epoch: 5})
		h.Handle(time.Now(), holder.FenceNoted{Fence: 5})
		h.Handle(time.Now(), holder.PinsReported{Instance: "i1", Epoch: 5})
		h.Handle(time.Now(), holder.Reported{Incarnation: "a", Resident: []model.Reference{bids, lawns}})
		actions := h.Handle(time.Now(), holder.Arrived{Request: request("r1", sites, 10*time.Second)})
		is.Equal(len(find[holder.RequestPermit](actions)), 0)
		pin := holder.Pin{ID: "old", Instance: "i2", Incarnation: "y", Model: bids}
		actions = h.Handle(time.Now(), holder.PinsReported{Instance: "i2", Epoch: 5, Pins: []holder.Pin{pin}})
		is.Equal(len(find[holder.RequestPermit](actions)), 1)
		actions = h.Handle(time.Now(), holder.PermitGranted{Model: sites, UseWithin: time.Second})
		is.Equal(find[holder.OrderLoad](actions)[0].Evict, lawns)
		h.Handle(time.Now(), holder.InstanceStopped{Instance: "i2", Incarnation: "y"})
		is.Equal(len(h.Pins()), 0)
	})
}

// A request needs an adapter that cannot be loaded before its caller gives up. A load for it would use
// the weight store's capacity without serving any request.
func TestNoLoadForWorkThatMissesItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHolder(true)
		takeOver(h)
		actions := h.Handle(time.Now(), holder.Arrived{Request: request("r1", bids, 50*time.Millisecond)})
		is.Equal(find[holder.Refuse](actions)[0].Reason, holder.ReasonBusy)
		h.Handle(time.Now(), holder.Arrived{Request: request("r2", bids, time.Second)})
		time.Sleep(900 * time.Millisecond)
		actions = h.Handle(time.Now(), holder.PermitGranted{Model: bids, UseWithin: time.Second})
		is.Equal(len(find[holder.OrderLoad](actions)), 0)
		is.Equal(len(find[holder.Refuse](actions)), 1)
		is.Equal(len(find[holder.ReturnPermit](actions)), 1)
	})
}

// A request was in flight at two crashes. If it ran beside other requests again, the next crash would fail them too.
func TestSuspectRunsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHolder(true)
		takeOver(h)
		_, first := load(t, h, "r1", bids)
		alone := request("r2", bids, 10*time.Second)
		alone.Alone = true
		is.Equal(len(find[holder.Grant](h.Handle(time.Now(), holder.Arrived{Request: alone}))), 0)
		is.Equal(len(find[holder.Grant](h.Handle(time.Now(), holder.Arrived{Request: request("r3", bids, 10*time.Second)}))), 0)
		grants := find[holder.Grant](h.Handle(time.Now(), holder.Released{Pin: first.Pin.ID, Tokens: 100}))
		is.Equal(len(grants), 1)
		is.Equal(grants[0].Pin.RequestID, "r2")
		grants = find[holder.Grant](h.Handle(time.Now(), holder.Released{Pin: grants[0].Pin.ID, Tokens: 100}))
		is.Equal(grants[0].Pin.RequestID, "r3")
	})
}

// Eight requests shared a batch with one that crashes engines. If they were all dispatched together again, all of them
// would be in flight at the next crash too, and each would have to run alone after that.
func TestSuspectsOfOneCrashAreKeptApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHolder(true)
		takeOver(h)
		_, first := load(t, h, "r1", bids)
		granted := 0
		for _, id := range []string{"r2", "r3", "r4"} {
			apart := request(id, bids, 10*time.Second)
			apart.Apart = true
			granted += len(find[holder.Grant](h.Handle(time.Now(), holder.Arrived{Request: apart})))
		}
		is.Equal(granted, 2)
		other := request("r5", bids, 10*time.Second)
		is.Equal(len(find[holder.Grant](h.Handle(time.Now(), holder.Arrived{Request: other}))), 1)
		is.Equal(len(find[holder.Grant](h.Handle(time.Now(), holder.Released{Pin: first.Pin.ID, Tokens: 100}))), 0)
	})
}

// An engine restarts with nothing loaded between placement and dispatch, or has evicted a version by itself. If the
// holder did not correct its residency, every request would be sent to an engine that cannot run it.
func TestResidencyIsCorrected(t *testing.T) {
	tests := []struct {
		name  string
		event func(pin string) holder.Event
	}{
		{"restart", func(string) holder.Event { return holder.UpstreamRestarted{Incarnation: "b"} }},
		{"restart seen in a report", func(string) holder.Event { return holder.Reported{Incarnation: "b"} }},
		{"not resident", func(pin string) holder.Event { return holder.Released{Pin: pin, NotResident: true} }},
		{"report without it", func(string) holder.Event { return holder.Reported{Incarnation: "a"} }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				h := newHolder(true)
				takeOver(h)
				_, grant := load(t, h, "r1", bids)
				h.Handle(time.Now(), holder.Reported{Incarnation: "a", Age: 2 * time.Second})
				is.Equal(h.Summary(time.Now()).Resident, []model.Reference{bids}) // a report older than the load is ignored
				time.Sleep(time.Second)
				h.Handle(time.Now(), tt.event(grant.Pin.ID))
				is.Equal(len(h.Summary(time.Now()).Resident), 0)
			})
		})
	}
}
