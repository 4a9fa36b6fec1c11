// Package pool tracks the upstreams of all services and chooses one for each request. It uses what upstreams
// declare, the results of this instance's own requests, and the heartbeats of the other instances. It does no I/O;
// the caller reads the clock and passes the time in.
package pool

import (
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// Settings are the settings of a Pool.
type Settings struct {
	// DataCentre of this instance: upstreams in it are preferred slightly.
	DataCentre string
	// Instances is the number of instances that share the connection limit of an upstream, with a reserve for those that
	// are not known yet. LiveInstances is the number that is known.
	Instances     int
	LiveInstances int
	// HeartbeatInterval is the interval between the heartbeats of another instance.
	HeartbeatInterval time.Duration
	// HolderLoadTTL is how long the load that a holder reports for its upstreams is valid.
	HolderLoadTTL time.Duration
	// PeerLoadTTL is how long the loads of another instance are valid: some heartbeats. An instance that is silent
	// for longer may be gone, and its requests with it.
	PeerLoadTTL time.Duration
	// MaxBackpressure is the longest time for which an upstream that asks for it gets no requests.
	MaxBackpressure time.Duration
	// StreamLifetime is the longest time from the first event of a stream until its caller resumes it, over all
	// configurations under which one that is still resumable may have begun.
	StreamLifetime time.Duration
	// BoundMemory: requests are kept within the memory of engines.
	BoundMemory bool
}

// DefaultSettings are those of a small fleet.
func DefaultSettings() Settings {
	return Settings{
		Instances:         10,
		LiveInstances:     1,
		HeartbeatInterval: 250 * time.Millisecond,
		HolderLoadTTL:     250 * time.Millisecond,
		PeerLoadTTL:       1500 * time.Millisecond,
		MaxBackpressure:   5 * time.Minute,
	}
}

// ErrNoUpstream means that no upstream of the service can take the request now.
var ErrNoUpstream = errors.New("pool: no upstream can take the request")

// ErrFull means that each upstream of the service would refuse the request, because its queue is full or nearly
// full. The choice is then the upstream with the fewest requests in flight.
var ErrFull = errors.New("pool: all upstreams are full")

// Query describes a request for which an upstream is to be chosen.
type Query struct {
	Service string
	// Adapter is empty for requests that are not answered by a model.
	Adapter traffic.Adapter
	// Version is the minimum version of the adapter; 0 for any.
	Version int64
	// Newest is the newest version of the adapter, 0 if none was declared. While Version is lower, the request may begin to run
	// on an older one before OlderUntil.
	Newest     int64
	OlderUntil time.Time
	// Software is the only software version of the upstream that may run the request, as it resumes a stream that this
	// version began; empty for any.
	Software string
	Tokens   int
	Output   int
	// OnTime is how long from now the first event is on time. Objective is the same from the start of the request;
	// 0 if there is none.
	OnTime    time.Duration
	Objective time.Duration
	// Exclude lists upstreams that have already been tried.
	Exclude []string
	// Candidates lists the upstreams to choose from; empty for all.
	Candidates []string
	// MaxSilence, if not 0, excludes upstreams that have sent this instance nothing for longer while they had requests of it.
	MaxSilence time.Duration
	// Alone asks for an upstream without other running requests, if there is one.
	Alone bool
	// Slots bounds the upstreams that lack the adapter; nil if they are not bounded.
	Slots *SlotBounds
}

// Choice is where to send a request.
type Choice struct {
	Upstream traffic.Upstream
	// Loaded: the adapter is loaded there in a sufficient version. If not, it has to be prepared first.
	Loaded bool
	// Expected is the time until the first event or the response, without a wait for memory.
	Expected time.Duration
	// ExpectedIdle is the same for an upstream with nothing in flight.
	ExpectedIdle time.Duration
	// SlotWait is the expected wait for an adapter slot if the adapter is not loaded.
	SlotWait time.Duration
	// NeedsSlot: the adapter is neither loaded nor in transit.
	NeedsSlot bool
	// Cold: the upstream is cold, and its holder has to admit the request first, to limit the rate.
	Cold bool
	// Brittle: the upstream is brittle, and its holder has to admit the request first, so that it has room.
	Brittle bool
	// Limited: the upstream states how many requests it takes, and its holder has to admit the request first.
	Limited bool
	// MightNotFit: the tokens of the request might not fit into the memory of the upstream, and its holder has to
	// admit it.
	MightNotFit bool
	// Memory is the question to the holder, zero if none was asked.
	Memory MemoryRequest
	// Version is the minimum version of the adapter for the request there; 0 for any.
	Version int64
	// Older: the adapter is loaded there in a version that is older than the newest one.
	Older bool
	// LoadStale: the load that the holder reported is so old that it is worth asking the holder again before the
	// request is sent.
	LoadStale bool
	// Inputs of the decision, for the log.
	Running     int
	Waiting     int
	FailureRate float64
	Slowdown    float64
	// weighed is the part of the cost that depends on the load and the speed of the upstream.
	weighed time.Duration
}

// Residency is the report of an upstream's holder about it.
type Residency struct {
	Upstream string
	// StartedMillis is the start of the life of the upstream that the report is of; 0 if it is unknown.
	StartedMillis int64
	// Fence is the fencing token of the holder: reports of an earlier holder are dropped. Version rises under one
	// fencing token: a report that arrives through relays may be older than the holder's response to a report.
	Fence   int64
	Version int64
	Loaded  []Resident
	// FreeSlots is how many adapter slots are empty or can be emptied at once. SlotWait is how long another adapter
	// would wait for one.
	FreeSlots int
	SlotWait  time.Duration
	// LoadTime is how long an adapter takes to load there, ReloadTime the same for one that was loaded recently; 0
	// if the holder has not measured any.
	LoadTime   time.Duration
	ReloadTime time.Duration
	// Unreachable: the holder cannot reach the upstream.
	Unreachable bool
}

// Resident is a loaded adapter or base model. InTransit: its load was ordered, but is not complete.
type Resident struct {
	Adapter   traffic.Adapter
	Version   int64
	InTransit bool
}

// Pool tracks all upstreams. Set Settings before use. It is not safe for concurrent use.
type Pool struct {
	Settings Settings

	upstreams map[string]*upstream
	// active are the declared upstreams at which this instance has something in flight, or has reported so to the
	// holder.
	active map[*upstream]bool
	// changes counts the changes to the set of declared upstreams.
	changes int
	// services lists the upstreams of each service by name. It is nil after a change, and rebuilt when it is
	// needed.
	services map[string][]*upstream
	engines  map[string]traffic.Engine
	// connectionLimits are the connection limits of one upstream of each service, if stated.
	connectionLimits map[string]int
	// held are the upstreams that this instance holds.
	held  map[string]bool
	peers map[source]peerLoads
	// stats are the measurements of each service's upstreams.
	stats map[string]*serviceStats
	// coldStarts are the stated limits of each service's cold upstreams.
	coldStarts map[string]coldStart
	// evacuated are the data centres that get no requests.
	evacuated map[string]bool
	// statements are what lives of upstreams have stated about themselves.
	statements map[traffic.Life]*statement
	// software is the history of the software versions of each service, and knownSince is when the first upstream was
	// declared.
	software   map[string]*softwareHistory
	knownSince time.Time
	// replicas are the replicas of popular adapters.
	replicas replicas
	// rotation is the index at which the next choice starts, so that equal upstreams take turns.
	rotation int
	// clock is the latest time that was passed in.
	clock time.Time
	// pacesUnsent are the upstreams of whose pace this instance knows more than it has reported.
	pacesUnsent map[string]bool
	// ratioChanges counts the changes of the lasting ratios of upstreams, paceAnnouncements those at held upstreams.
	ratioChanges      int
	paceAnnouncements int
	// memory is what is known about the memory of engines.
	memory poolMemory
}

// Configure sets the limits of the services, and which of them are engines.
func (p *Pool) Configure(services map[string]traffic.Service) {
	p.prepare()
	p.engines = make(map[string]traffic.Engine)
	p.connectionLimits = make(map[string]int)
	p.coldStarts = make(map[string]coldStart)
	for name, service := range services {
		p.connectionLimits[name] = service.MaxConnections
		p.coldStarts[name] = coldStart{rate: service.ColdRate, length: service.ColdStart}
		if service.Engine != nil {
			p.engines[name] = *service.Engine
		}
	}
}

// Declare records the entry of an upstream. A new incarnation, or one at a new address, starts without the
// state of the old one. An entry that still names a life which has ended is dropped.
func (p *Pool) Declare(now time.Time, entry traffic.Upstream) {
	p.prepare()
	if !p.upstreams[entry.ID].hasOutlived(entry) {
		p.declare(now, entry)
		p.upstreams[entry.ID].entryStartedMillis = entry.StartedMillis
	}
}

func (p *Pool) declare(now time.Time, declared traffic.Upstream) {
	if p.knownSince.IsZero() {
		p.knownSince = now
	}
	u := p.upstreams[declared.ID]
	p.trackSoftware(now, u.declaration(), &declared)
	if u == nil || u.declared.StartedMillis != declared.StartedMillis || u.declared.Address != declared.Address {
		next := newUpstream(now)
		if u != nil {
			next.replacedStartedMillis = u.declared.StartedMillis
		}
		delete(p.active, u)
		u = next
		p.upstreams[declared.ID] = u
		p.changes++
		p.services = nil
		p.restoreMemory(u, declared.Life())
		for _, peer := range p.peers {
			u.peerLoad = u.peerLoad.plus(peer.loads[declared.ID])
		}
	}
	if u.declared.Service != declared.Service {
		p.services = nil
	}
	u.declared = declared
	u.stated = p.statements[declared.Life()]
	u.cold.recordStated(now, declared.ColdRemaining)
	if u.fence == 0 {
		u.setResident(residentOf(declared.Models))
	}
}

// Remove removes an upstream that is gone.
func (p *Pool) Remove(now time.Time, id string) {
	p.prepare()
	p.trackSoftware(now, p.upstreams[id].declaration(), nil)
	p.keepMemory(p.upstreams[id])
	delete(p.active, p.upstreams[id])
	delete(p.upstreams, id)
	delete(p.pacesUnsent, id)
	p.changes++
	p.services = nil
}

// NamesSince returns the names of all declared upstreams if any was added or removed since the given count of such
// changes, and the current count.
func (p *Pool) NamesSince(changes int) (names map[string]bool, now int) {
	if changes == p.changes {
		return nil, changes
	}
	names = make(map[string]bool, len(p.upstreams))
	for id := range p.upstreams {
		names[id] = true
	}
	return names, p.changes
}

// Declared lists the declared upstreams that are selected. selected must not modify its argument.
func (p *Pool) Declared(selected func(declared *traffic.Upstream) bool) (list []traffic.Upstream) {
	for _, u := range p.upstreams {
		if selected(&u.declared) {
			list = append(list, u.declared)
		}
	}
	return list
}

// IsChoiceValid reports whether an upstream is still the incarnation that was chosen, with the software that it had, and
// takes new requests of this instance. A choice can be some seconds old when it is used, if an adapter had to be loaded first.
func (p *Pool) IsChoiceValid(now time.Time, chosen traffic.Upstream) bool {
	u := p.upstreams[chosen.ID]
	if u == nil || !p.accepts(u) || u.isUnderBackpressure(now) {
		return false
	}
	return u.declared.StartedMillis == chosen.StartedMillis && u.declared.Address == chosen.Address &&
		u.declared.Software == chosen.Software
}

// Upstream returns the declaration of an upstream.
func (p *Pool) Upstream(id string) (traffic.Upstream, bool) {
	u := p.upstreams[id]
	if u == nil {
		return traffic.Upstream{}, false
	}
	return u.declared, true
}

// RecordSlotWait records how long another adapter would wait for an adapter slot at an upstream, from the holder's
// response to a request that got none. It is valid until the holder's next report of its residents.
func (p *Pool) RecordSlotWait(id string, wait time.Duration) {
	if u := p.upstreams[id]; u != nil {
		u.slotWait = max(u.slotWait, wait)
	}
}

// RecordResidency records a holder's report. ended is the life that the report shows to have ended unannounced, if any.
func (p *Pool) RecordResidency(now time.Time, residency Residency) (ended traffic.Life) {
	u := p.upstreams[residency.Upstream]
	if u == nil || residency.Fence < u.fence || residency.Fence == u.fence && residency.Version < u.version {
		return ended
	}
	if started := residency.StartedMillis; u.isOtherLife(started) {
		ended = p.recordLife(now, u, started)
		u = p.upstreams[residency.Upstream]
		if u.declared.StartedMillis != started {
			return ended // what a life had that has ended
		}
	}
	u.fence = residency.Fence
	u.version = residency.Version
	u.idleSlots = residency.FreeSlots
	u.slotWait = residency.SlotWait
	u.dropClassWaits(p.engines[u.declared.Service].AdapterSlots)
	if residency.LoadTime > 0 && residency.ReloadTime > 0 {
		u.loads = loadTimes{full: residency.LoadTime, reload: residency.ReloadTime}
		p.statsOf(u.declared.Service).loads = u.loads
	}
	if now.Before(u.unreachableUntil) && !residency.Unreachable {
		u.cold.assume(now, p.coldStarts[u.declared.Service].length)
	}
	u.unreachableUntil = time.Time{}
	if residency.Unreachable {
		u.unreachableUntil = now.Add(unreachableFor + p.Settings.HeartbeatInterval)
	}
	u.setResident(residency.Loaded)
	return ended
}

// unreachableFor is how long an upstream counts as unreachable after its holder last reported so, in addition to
// the time until the holder's next report is due: the holder itself may be gone.
const unreachableFor = 500 * time.Millisecond

// ---------------------------------------------------------------------------------------------

func (p *Pool) prepare() {
	if p.upstreams == nil {
		p.upstreams = make(map[string]*upstream)
		p.active = make(map[*upstream]bool)
		p.peers = make(map[source]peerLoads)
		p.held = make(map[string]bool)
		p.stats = make(map[string]*serviceStats)
		p.evacuated = make(map[string]bool)
		p.statements = make(map[traffic.Life]*statement)
		p.software = make(map[string]*softwareHistory)
	}
}

func residentOf(models []traffic.LoadedModel) (list []Resident) {
	for _, model := range models {
		list = append(list, Resident{Adapter: traffic.Adapter{Model: model.Name}, Version: model.Version})
		for _, adapter := range model.Adapters {
			list = append(list, Resident{
				Adapter: traffic.Adapter{Model: model.Name, Name: adapter.Name},
				Version: adapter.Version,
			})
		}
	}
	return list
}
