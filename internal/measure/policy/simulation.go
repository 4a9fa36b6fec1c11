package policy

import (
	"fmt"
	"math/rand/v2"
	"time"

	"lacewingrock.example/lacewingrock/internal/catalog/resource"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/broker"
	"lacewingrock.example/lacewingrock/internal/placement/holder"
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
)

// simulation.go connects engines, holders, instances and the broker, and delivers the messages between
// them.

const (
	// messageDelay is the latency of a message between two instances, or between an instance and an upstream.
	messageDelay = time.Millisecond
	// heartbeatInterval is how often holders send summaries of their upstreams.
	heartbeatInterval = 500 * time.Millisecond
	// reportInterval is how often engines report, and reportAge is the age of a report on arrival.
	reportInterval = time.Second
	reportAge      = 500 * time.Millisecond
	// tickInterval is how often holders and the broker get a Tick event.
	tickInterval = 100 * time.Millisecond
	// drainTime is how long after the last arrival the periodic events continue.
	drainTime = 90 * time.Second
)

// simulation is the state of one simulated case and variant.
type simulation struct {
	clock         *clock
	load          Case
	variant       variant
	rng           *rand.Rand
	entries       []*entry
	engines       []*engine
	broker        *broker.Broker
	calls         map[string]*call
	loadsInFlight int
	tally         *tally
	rates         [workspaces]rateBucket
}

// simulate simulates a case with a variant and returns the tally of its outcomes.
func simulate(load Case, v variant, seed int64) *tally {
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
		s.clock.after(r.at, func() { s.entries[r.instance].admit(r) })
	}
	s.clock.run()
	return s.tally
}

func (s *simulation) addEngines() {
	for i := range upstreams {
		declared := resource.Upstream{
			Meta:      resource.Meta{Name: fmt.Sprintf("u%d", i)},
			BaseModel: baseModel, Slots: adapterSlots, Batch: batchSlots, ChecksFencing: true,
		}
		s.engines = append(s.engines, &engine{
			sim: s, number: i, declared: declared,
			holder:   &holder.Holder{Upstream: declared, Settings: s.variant.policy.Holder},
			resident: make(map[refKey]bool),
			running:  make(map[string]*execution),
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

// start activates the holders and schedules the periodic events.
func (s *simulation) start() {
	until := caseLength + drainTime
	for _, e := range s.engines {
		s.deliver(e, holder.Appointed{Epoch: 1, Members: []string{"all"}})
		s.deliver(e, holder.EpochInForce{Epoch: 1})
		s.deliver(e, holder.PinsReported{Instance: "all", Epoch: 1})
		s.clock.every(tickInterval, until, func() { s.deliver(e, holder.Tick{}) })
		s.clock.every(reportInterval, until, func() { s.sendReport(e) })
		s.clock.every(heartbeatInterval, until, func() { s.broadcastSummary(e) })
	}
	s.clock.every(tickInterval, until, func() { s.deliverToBroker(broker.Tick{}) })
	s.clock.every(heartbeatInterval, until, s.exchangeSuspects)
	if s.load.Restart {
		s.clock.after(disturbanceStart, func() { s.engines[0].crash(nil) })
	}
}

// ---------------------------------------------------------------------------------------------

// deliver delivers an event to the engine's holder and executes the resulting actions.
func (s *simulation) deliver(e *engine, event holder.Event) {
	for _, action := range e.holder.Handle(s.clock.now, event) {
		s.execute(e, action)
	}
}

func (s *simulation) execute(e *engine, action holder.Action) {
	switch a := action.(type) {
	case holder.Grant:
		c := s.calls[a.Pin.RequestID]
		c.waitedLoad += a.WaitedLoad
		s.clock.after(2*messageDelay, func() { e.startRequest(c, a.Pin) })
	case holder.Refuse:
		c := s.calls[a.RequestID]
		c.waitedLoad += a.WaitedLoad
		s.clock.after(messageDelay, func() { c.entry.handleRefusal(c, e) })
	case holder.OrderFence:
		s.clock.after(2*messageDelay, func() { s.deliver(e, holder.FenceNoted(a)) })
	case holder.RequestPermit:
		s.clock.after(messageDelay, func() { s.deliverToBroker(permitRequest(e, a)) })
	case holder.ReturnPermit:
		load := broker.Load{Upstream: e.name(), Model: a.Model}
		s.clock.after(messageDelay, func() { s.deliverToBroker(broker.Withdrawn{Load: load}) })
	case holder.OrderLoad:
		s.clock.after(messageDelay, func() { e.startLoad(a) })
	case holder.RequestPins:
	}
}

func permitRequest(e *engine, a holder.RequestPermit) broker.PermitRequested {
	return broker.PermitRequested{
		Load:      broker.Load{Upstream: e.name(), Model: a.Model},
		Workspace: a.Workspace,
		Demand:    a.Demand,
		Waited:    a.Waited,
		Patience:  a.Patience,
	}
}

func (s *simulation) deliverToBroker(event broker.Event) {
	for _, action := range s.broker.Handle(s.clock.now, event) {
		switch a := action.(type) {
		case broker.Permit:
			s.replyToHolder(a.Load, holder.PermitGranted{Model: a.Load.Model, UseWithin: a.UseWithin})
		case broker.Refuse:
			s.replyToHolder(a.Load, holder.PermitRefused{Model: a.Load.Model, RetryAfter: a.RetryAfter})
		}
	}
}

func (s *simulation) replyToHolder(load broker.Load, event holder.Event) {
	for _, e := range s.engines {
		if e.name() == load.Upstream {
			s.clock.after(messageDelay, func() { s.deliver(e, event) })
		}
	}
}

// loadDuration returns the duration of a load that starts now.
func (s *simulation) loadDuration() time.Duration {
	duration := float64(loadTime) * max(1, float64(s.loadsInFlight)/uncongestedLoads)
	if s.load.SlowStore > 0 && s.clock.elapsed() >= disturbanceStart {
		duration *= s.load.SlowStore
	}
	return time.Duration(duration)
}

func (s *simulation) sendReport(e *engine) {
	if e.down {
		return
	}
	report := holder.Reported{Incarnation: e.incarnationID(), Resident: e.residentModels(), Age: reportAge}
	s.clock.after(reportAge, func() { s.deliver(e, report) })
}

func (s *simulation) broadcastSummary(e *engine) {
	summary := e.holder.Summary(s.clock.now)
	at := s.clock.now
	s.clock.after(messageDelay, func() {
		for _, entry := range s.entries {
			entry.updateSummary(summary, at)
		}
	})
}

func (s *simulation) exchangeSuspects() {
	for _, from := range s.entries {
		records := from.suspects.Records(s.clock.now)
		for _, to := range s.entries {
			if to != from {
				to.suspects.Merge(s.clock.now, records)
			}
		}
	}
}

// notifyEnd notifies the holder and the instance that a granted request has ended.
func (s *simulation) notifyEnd(e *engine, c *call, released holder.Released, took time.Duration) {
	s.clock.after(messageDelay, func() { s.deliver(e, released) })
	s.clock.after(messageDelay, func() { c.entry.handleEnd(c, e.name(), released, took) })
}

// notifyCrash notifies the instances of a crash, and the holder and the instances of the lost requests.
func (s *simulation) notifyCrash(e *engine, lost []*execution) {
	crash := suspect.CrashOf(traffic.Life{Upstream: e.name(), StartedMillis: s.clock.now.UnixMilli()})
	for _, entry := range s.entries {
		entry.recordCrash(crash, lost)
	}
	for _, r := range lost {
		s.notifyEnd(e, r.call, holder.Released{Pin: r.pin.ID, UpstreamFailed: true}, 0)
	}
}
