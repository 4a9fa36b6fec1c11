package policy

import (
	"fmt"
	"math/rand/v2"
	"time"

	"lacewingrock.example/lacewingrock/internal/catalog/resource"
	"lacewingrock.example/lacewingrock/internal/placement/broker"
	"lacewingrock.example/lacewingrock/internal/placement/holder"
)

// simulation.go puts engines, holders, instances and the broker together and carries messages between
// them.

const (
	// hop is the time of a message between two instances, or between an instance and an upstream.
	hop = time.Millisecond
	// heartbeat is how often holders tell of their upstreams.
	heartbeat = 500 * time.Millisecond
	// reports is how often engines report, and reportAge how old a report is when it arrives.
	reports   = time.Second
	reportAge = 500 * time.Millisecond
	// tick is how often holders and the broker are told that time has passed.
	tick = 100 * time.Millisecond
	// drain is how long after the last arrival the steps go on.
	drain = 90 * time.Second
)

// simulation is one case played with one variant.
type simulation struct {
	clock   *clock
	load    Case
	variant variant
	rng     *rand.Rand
	entries []*entry
	engines []*engine
	broker  *broker.Broker
	calls   map[string]*call
	loading int
	tally   *tally
	rates   [workspaces]rateBucket
}

// play plays a case with a variant and returns what came out.
func play(load Case, v variant, seed int64) *tally {
	s := &simulation{
		clock:   newClock(),
		load:    load,
		variant: v,
		rng:     rand.New(rand.NewPCG(uint64(seed), 2)),
		broker:  &broker.Broker{Settings: v.policy.Broker},
		calls:   make(map[string]*call),
		tally:   newTally(),
		rates:   newBuckets(load, 1),
	}
	s.addEngines()
	s.addEntries()
	s.start()
	for _, r := range requests(load, seed) {
		s.clock.after(r.at, func() { s.entries[r.instance].arrive(r) })
	}
	s.clock.play()
	return s.tally
}

func (s *simulation) addEngines() {
	for i := range upstreams {
		declared := resource.Upstream{
			Meta:      resource.Meta{Name: fmt.Sprintf("u%d", i)},
			BaseModel: baseModel, Slots: slots, Batch: batch, ChecksFencing: true,
		}
		s.engines = append(s.engines, &engine{
			sim: s, number: i, declared: declared,
			holder:   &holder.Holder{Upstream: declared, Settings: s.variant.policy.Holder},
			resident: make(map[refKey]bool),
			running:  make(map[string]*run),
		})
	}
}

func (s *simulation) addEntries() {
	var declared []resource.Upstream
	for _, e := range s.engines {
		declared = append(declared, e.declared)
	}
	for i := range instances {
		s.entries = append(s.entries, newEntry(s, i, declared))
	}
}

// start brings the holders into force and schedules what repeats.
func (s *simulation) start() {
	until := length + drain
	for _, e := range s.engines {
		s.tell(e, holder.Appointed{Epoch: 1, Members: []string{"all"}})
		s.tell(e, holder.EpochInForce{Epoch: 1})
		s.tell(e, holder.PinsReported{Instance: "all", Epoch: 1})
		s.clock.every(tick, until, func() { s.tell(e, holder.Tick{}) })
		s.clock.every(reports, until, func() { s.report(e) })
		s.clock.every(heartbeat, until, func() { s.summarise(e) })
	}
	s.clock.every(tick, until, func() { s.askBroker(broker.Tick{}) })
	s.clock.every(heartbeat, until, s.shareSuspects)
	if s.load.Restart {
		s.clock.after(turn, func() { s.engines[0].crash(nil) })
	}
}

// ---------------------------------------------------------------------------------------------

// tell gives the engine's holder an event and carries out what it decides.
func (s *simulation) tell(e *engine, event holder.Event) {
	for _, action := range e.holder.Handle(s.clock.now, event) {
		s.carryOut(e, action)
	}
}

func (s *simulation) carryOut(e *engine, action holder.Action) {
	switch a := action.(type) {
	case holder.Grant:
		c := s.calls[a.Pin.RequestID]
		c.waitedLoad += a.WaitedLoad
		s.clock.after(2*hop, func() { e.begin(c, a.Pin) })
	case holder.Refuse:
		c := s.calls[a.RequestID]
		c.waitedLoad += a.WaitedLoad
		s.clock.after(hop, func() { c.entry.refused(c, e) })
	case holder.OrderFence:
		s.clock.after(2*hop, func() { s.tell(e, holder.FenceNoted(a)) })
	case holder.RequestPermit:
		s.clock.after(hop, func() { s.askBroker(asked(e, a)) })
	case holder.ReturnPermit:
		load := broker.Load{Upstream: e.name(), Model: a.Model}
		s.clock.after(hop, func() { s.askBroker(broker.Withdrawn{Load: load}) })
	case holder.OrderLoad:
		s.clock.after(hop, func() { e.order(a) })
	case holder.RequestPins:
	}
}

func asked(e *engine, a holder.RequestPermit) broker.PermitRequested {
	return broker.PermitRequested{
		Load:      broker.Load{Upstream: e.name(), Model: a.Model},
		Workspace: a.Workspace,
		Demand:    a.Demand,
		Waited:    a.Waited,
		Patience:  a.Patience,
	}
}

func (s *simulation) askBroker(event broker.Event) {
	for _, action := range s.broker.Handle(s.clock.now, event) {
		switch a := action.(type) {
		case broker.Permit:
			s.answer(a.Load, holder.PermitGranted{Model: a.Load.Model, UseWithin: a.UseWithin})
		case broker.Refuse:
			s.answer(a.Load, holder.PermitRefused{Model: a.Load.Model, RetryAfter: a.RetryAfter})
		}
	}
}

func (s *simulation) answer(load broker.Load, event holder.Event) {
	for _, e := range s.engines {
		if e.name() == load.Upstream {
			s.clock.after(hop, func() { s.tell(e, event) })
		}
	}
}

// loadTakes is how long a load takes that begins now.
func (s *simulation) loadTakes() time.Duration {
	takes := float64(loadTime) * max(1, float64(s.loading)/crowd)
	if s.load.SlowStore > 0 && s.clock.since() >= turn {
		takes *= s.load.SlowStore
	}
	return time.Duration(takes)
}

func (s *simulation) report(e *engine) {
	if e.down {
		return
	}
	report := holder.Reported{Incarnation: e.life(), Resident: e.list(), Age: reportAge}
	s.clock.after(reportAge, func() { s.tell(e, report) })
}

func (s *simulation) summarise(e *engine) {
	told := e.holder.Summary(s.clock.now)
	at := s.clock.now
	s.clock.after(hop, func() {
		for _, entry := range s.entries {
			entry.learn(told, at)
		}
	})
}

func (s *simulation) shareSuspects() {
	for _, from := range s.entries {
		counts := from.suspects.LocalCounts(s.clock.now)
		for _, to := range s.entries {
			if to != from {
				to.suspects.SetPeerCounts(s.clock.now, from.name, counts)
			}
		}
	}
}

// ended tells the holder and the instance that a granted request is over.
func (s *simulation) ended(e *engine, c *call, released holder.Released, took time.Duration) {
	s.clock.after(hop, func() { s.tell(e, released) })
	s.clock.after(hop, func() { c.entry.ended(c, e.name(), released, took) })
}

// crashed tells the instances what they lost.
func (s *simulation) crashed(e *engine, lost []*run) {
	for _, entry := range s.entries {
		entry.crashed(lost)
	}
	for _, r := range lost {
		s.ended(e, r.call, holder.Released{Pin: r.pin.ID, UpstreamFailed: true}, 0)
	}
}
