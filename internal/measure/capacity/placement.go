package capacity

import (
	"fmt"
	"time"

	"lacewingrock.example/lacewingrock/internal/catalog/resource"
	"lacewingrock.example/lacewingrock/internal/placement/holder"
	"lacewingrock.example/lacewingrock/internal/placement/model"
	"lacewingrock.example/lacewingrock/internal/placement/route"
)

// placement.go measures the packages that place requests on upstreams.

func upstreamName(i int) string { return fmt.Sprintf("upstream-%03d", i) }

func workspaceName(i int) string { return fmt.Sprintf("workspace-%03d", i) }

func reference(i int) model.Reference {
	return model.Reference{Adapter: fmt.Sprintf("adapter-%05d", i), Version: "v1"}
}

// references are generated in advance, so that formatting their names is not measured.
func references(n int) (list []model.Reference) {
	for i := range n {
		list = append(list, reference(i))
	}
	return list
}

// newRouter makes a router that has a summary of every upstream, each with different versions loaded.
func newRouter(size Size, now time.Time) *route.Router {
	r := &route.Router{Settings: route.DefaultSettings()}
	var declared []resource.Upstream
	for i := range size.Upstreams {
		declared = append(declared, resource.Upstream{Meta: resource.Meta{Name: upstreamName(i)}, BaseModel: "base", Slots: residentsPerUpstream, Batch: residentsPerUpstream})
	}
	r.SetUpstreams(declared)
	for i := range size.Upstreams {
		r.UpdateSummary(now, summary(i, now))
	}
	return r
}

func summary(i int, at time.Time) route.Summary {
	s := route.Summary{Upstream: upstreamName(i), Epoch: 1, FreePlaces: 4, Healthy: true, At: at}
	for j := range residentsPerUpstream {
		s.Resident = append(s.Resident, reference(i*residentsPerUpstream/2+j))
	}
	return s
}

// chooseTime measures choosing an upstream for all adapters in turn, both those that are loaded somewhere and
// those that are not. Each upstream's summary is at most half a second old.
func chooseTime(size Size) float64 {
	now := time.Unix(0, 0)
	r := newRouter(size, now)
	all := references(size.Adapters)
	return measureTime(func(i int) {
		now = now.Add(10 * time.Microsecond)
		query := route.Query{Model: all[i*7%len(all)], BaseModel: "base", Cost: 200, Deadline: now.Add(time.Second)}
		if _, err := r.Choose(now, query); err != nil {
			panic(fmt.Sprintf("capacity: no upstream was chosen: %v", err))
		}
	})
}

func updateSummaryTime(size Size) float64 {
	now := time.Unix(0, 0)
	r := newRouter(size, now)
	var summaries []route.Summary
	for i := range size.Upstreams {
		summaries = append(summaries, summary(i, now))
	}
	return measureTime(func(i int) {
		now = now.Add(time.Millisecond)
		s := summaries[i%len(summaries)]
		s.At = now
		if i%2 == 1 {
			s.Resident = summaries[(i+1)%len(summaries)].Resident
		}
		r.UpdateSummary(now, s)
	})
}

func routerBytes(size Size) float64 {
	return measureBytes(func() any { return newRouter(size, time.Unix(0, 0)) })
}

// ---------------------------------------------------------------------------------------------

// newHolder makes an active holder with some versions loaded and all batch slots free.
func newHolder(now time.Time) *holder.Holder {
	h := &holder.Holder{
		Upstream: resource.Upstream{Meta: resource.Meta{Name: "upstream"}, Slots: residentsPerUpstream, Batch: residentsPerUpstream, ChecksFencing: true},
		Settings: holder.DefaultSettings(),
	}
	h.Settings.MaxBacklog = time.Hour
	h.Handle(now, holder.Appointed{Epoch: 1, Members: []string{"i"}})
	h.Handle(now, holder.EpochInForce{Epoch: 1})
	h.Handle(now, holder.FenceNoted{Fence: 1})
	h.Handle(now, holder.PinsReported{Instance: "i", Epoch: 1})
	h.Handle(now, holder.Reported{Incarnation: "1", Resident: references(residentsPerUpstream)})
	return h
}

func arrival(now time.Time, i int) holder.Arrived {
	return holder.Arrived{Request: holder.Request{
		ID: fmt.Sprint("r", i), Instance: "i", Incarnation: "1", Workspace: workspaceName(i % 5), Weight: 1,
		Model: reference(i % residentsPerUpstream), Cost: 1, Deadline: now.Add(time.Hour),
	}}
}

// holderTime measures the arrival of a request and the release that makes room for the next, while the given
// number of requests wait.
func holderTime(waiting int) float64 {
	now := time.Unix(0, 0)
	h := newHolder(now)
	var pins []string
	handle := func(event holder.Event) {
		for _, action := range h.Handle(now, event) {
			if grant, ok := action.(holder.Grant); ok {
				pins = append(pins, grant.Pin.ID)
			}
		}
	}
	next := 0
	for ; next < waiting+residentsPerUpstream; next++ {
		handle(arrival(now, next))
	}
	return measureTime(func(int) {
		now = now.Add(time.Microsecond)
		handle(holder.Released{Pin: pins[0], Tokens: 1})
		pins = pins[1:]
		handle(arrival(now, next))
		next++
	})
}

// holderIdleBytes measures the memory that idle adapters take at a holder. Every adapter is requested once, all
// of them become idle, and 2,048 more requests follow.
func holderIdleBytes(size Size) float64 {
	return measureBytes(func() any {
		now := time.Unix(0, 0)
		h := newHolder(now)
		for i := range size.Adapters {
			request := arrival(now, i)
			request.Request.Model = reference(i)
			request.Request.Deadline = now.Add(time.Millisecond)
			h.Handle(now, request)
		}
		now = now.Add(time.Hour)
		for i := range 2048 {
			request := arrival(now, i)
			request.Request.Deadline = now.Add(time.Millisecond)
			h.Handle(now, request)
			h.Handle(now, holder.Cancelled{RequestID: request.Request.ID})
		}
		return h
	})
}
