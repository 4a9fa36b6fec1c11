// Package pool knows the upstreams of all services and chooses one for each request. Its figures come
// from what upstreams declare, from this instance's own sends and from the other instances' heartbeats.
// It decides without sockets; the caller reads the runtime's clock and passes the time in.
package pool

import (
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// Settings of a Pool.
type Settings struct {
	// DataCentre of this instance: its own upstreams are preferred slightly.
	DataCentre string
	// Instances is how many instances share what an upstream takes of connections.
	Instances int
	// HeardEvery is how often each other instance is heard.
	HeardEvery time.Duration
	// HeldFor is how long a holder's word on the load at its upstreams counts.
	HeldFor time.Duration
	// PeerLoadFor is how long another instance's loads count: some heartbeats. One that is silent for longer
	// may be gone, and its requests with it.
	PeerLoadFor time.Duration
}

// DefaultSettings are those of a small fleet.
func DefaultSettings() Settings {
	return Settings{
		Instances:   10,
		HeardEvery:  250 * time.Millisecond,
		HeldFor:     250 * time.Millisecond,
		PeerLoadFor: 1500 * time.Millisecond,
	}
}

// ErrNone means that no upstream of the service can take the request now.
var ErrNone = errors.New("pool: no upstream")

// ErrFull means that each upstream of the service would refuse the request: their queues are full, or nearly. The choice
// is then the upstream with the least in flight.
var ErrFull = errors.New("pool: all upstreams are full")

// Query describes a request to place.
type Query struct {
	Service string
	// Adapter is empty for requests that no model answers.
	Adapter traffic.Adapter
	// Version that the upstream has to have; 0 for any.
	Version int64
	Tokens  int
	Output  int
	// OnTime is how long from now the first event is on time, Objective the same from the request's beginning; 0 if there
	// is none.
	OnTime    time.Duration
	Objective time.Duration
	// Exclude lists upstreams that have already been tried.
	Exclude []string
	// Among lists the upstreams to choose from; empty for all.
	Among []string
	// Alone asks for an upstream with nothing else running, as far as there is one.
	Alone bool
}

// Choice is where to send a request.
type Choice struct {
	Upstream traffic.Upstream
	// Loaded: the adapter is there in a version that will do. Else it has to be prepared first.
	Loaded bool
	// Expected is the time until the first event or the answer.
	Expected time.Duration
	// Idle is the same if nothing were under way there.
	Idle time.Duration
	// Wait is how long the adapter is expected to wait for a place, where it is not loaded.
	Wait time.Duration
	// Cold: the upstream has to be asked for through its holder, which bounds what it gets.
	Cold bool
	// Uncertain: so much can have changed at the upstream since its holder told the load that it is worth
	// asking before the request is sent.
	Uncertain bool
	// Inputs of the decision, for the log.
	Running int
	Waiting int
	Failing float64
	Slow    float64
}

// Residency is what the instance that orders at an upstream tells of it.
type Residency struct {
	Upstream string
	// Fence of the holder: what an earlier holder tells is dropped. Version rises under one fence: what comes through
	// relays may be older than the holder's answer to a report.
	Fence   int64
	Version int64
	Loaded  []Resident
	// Idle is how many adapter places are empty or can be emptied at once; Wait is how long another
	// adapter would wait for one.
	Idle int
	Wait time.Duration
	// LoadTime is what loading an adapter takes there, ReloadTime the same where it was loaded lately; 0 if the
	// holder has not seen any.
	LoadTime   time.Duration
	ReloadTime time.Duration
	// Away: the holder does not reach the upstream.
	Away bool
}

// Resident is a loaded adapter, or a base model. InTransit: ordered, but not there yet.
type Resident struct {
	Adapter   traffic.Adapter
	Version   int64
	InTransit bool
}

// Pool is all upstreams. Set Settings before use. It is not safe for use by several goroutines.
type Pool struct {
	Settings Settings

	upstreams map[string]*upstream
	// active are the declared upstreams at which this instance has something in flight, or has reported so to the holder.
	active map[*upstream]bool
	// changes counts changes of which upstreams are declared.
	changes int
	// services lists the upstreams of each service by their names; nil after a change until it is needed.
	services map[string][]*upstream
	engines  map[string]traffic.Engine
	// connections is what one upstream of a service takes of connections, if that is stated.
	connections map[string]int
	peers       map[source]peerLoads
	// paces is how long each service takes.
	paces map[string]*pace
	// coldStarts is what is stated of each service's cold upstreams.
	coldStarts map[string]coldStart
	// evacuated are the data centres that get no requests.
	evacuated map[string]bool
	turn      int
}

// Configure takes over which services are engines.
func (p *Pool) Configure(services map[string]traffic.Service) {
	p.prepare()
	p.engines = make(map[string]traffic.Engine)
	p.connections = make(map[string]int)
	p.coldStarts = make(map[string]coldStart)
	for name, service := range services {
		p.connections[name] = service.MaxConnections
		p.coldStarts[name] = coldStart{rate: service.ColdRate, length: service.ColdStart}
		if service.Engine != nil {
			p.engines[name] = *service.Engine
		}
	}
}

// Declare takes over what an upstream says of itself. One with another birth has forgotten everything.
func (p *Pool) Declare(now time.Time, declared traffic.Upstream) {
	p.prepare()
	u := p.upstreams[declared.ID]
	if u == nil || u.declared.Born != declared.Born || u.declared.Address != declared.Address {
		delete(p.active, u)
		u = newUpstream(now)
		p.upstreams[declared.ID] = u
		p.changes++
		p.services = nil
		for _, peer := range p.peers {
			u.beside = u.beside.plus(peer.loads[declared.ID])
		}
	}
	if u.declared.Service != declared.Service {
		p.services = nil
	}
	u.declared = declared
	u.cold.state(now, declared.ColdFor)
	if u.fence == 0 {
		u.setResident(residentOf(declared.Models))
	}
}

// Forget drops an upstream that is gone.
func (p *Pool) Forget(id string) {
	delete(p.active, p.upstreams[id])
	delete(p.upstreams, id)
	p.changes++
	p.services = nil
}

// NamesSince gives the names of all upstreams that are declared if any was added or dropped since a count of such changes,
// and the count now.
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

// Declared lists the selected ones of all upstreams that are declared. The selection must not change what it is given.
func (p *Pool) Declared(selected func(declared *traffic.Upstream) bool) (list []traffic.Upstream) {
	for _, u := range p.upstreams {
		if selected(&u.declared) {
			list = append(list, u.declared)
		}
	}
	return list
}

// Takes tells whether an upstream still is what a choice found and takes new requests. A choice can be some
// seconds old when it is used, if an adapter had to be loaded first.
func (p *Pool) Takes(chosen traffic.Upstream) bool {
	u := p.upstreams[chosen.ID]
	return u != nil && p.IsOpen(u.declared) && u.declared.Born == chosen.Born && u.declared.Address == chosen.Address
}

// Upstream gives one that is declared.
func (p *Pool) Upstream(id string) (traffic.Upstream, bool) {
	u := p.upstreams[id]
	if u == nil {
		return traffic.Upstream{}, false
	}
	return u.declared, true
}

// LearnWait takes note of how long another adapter would wait for a place at an upstream, by its holder's answer to one
// that found none. It counts until the holder's next report of its residents.
func (p *Pool) LearnWait(id string, wait time.Duration) {
	if u := p.upstreams[id]; u != nil {
		u.wait = max(u.wait, wait)
	}
}

// LearnResidency takes note of what a holder tells.
func (p *Pool) LearnResidency(now time.Time, residency Residency) {
	u := p.upstreams[residency.Upstream]
	if u == nil || residency.Fence < u.fence || residency.Fence == u.fence && residency.Version < u.version {
		return
	}
	u.fence = residency.Fence
	u.version = residency.Version
	u.idle = residency.Idle
	u.wait = residency.Wait
	if residency.LoadTime > 0 && residency.ReloadTime > 0 {
		u.loads = loadTimes{full: residency.LoadTime, reload: residency.ReloadTime}
		p.pace(u.declared.Service).loads = u.loads
	}
	if now.Before(u.awayUntil) && !residency.Away {
		u.cold.assume(now, p.coldStarts[u.declared.Service].length)
	}
	u.awayUntil = time.Time{}
	if residency.Away {
		u.awayUntil = now.Add(awayFor + p.Settings.HeardEvery)
	}
	u.setResident(residency.Loaded)
}

// awayFor is how long an upstream is taken to be away after its holder's last word on that, besides the time
// until the holder is due to be heard again: the holder itself may be gone.
const awayFor = 500 * time.Millisecond

// ---------------------------------------------------------------------------------------------

func (p *Pool) prepare() {
	if p.upstreams == nil {
		p.upstreams = make(map[string]*upstream)
		p.active = make(map[*upstream]bool)
		p.peers = make(map[source]peerLoads)
		p.paces = make(map[string]*pace)
		p.evacuated = make(map[string]bool)
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
