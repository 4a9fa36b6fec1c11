// Package proxy injects network faults between two processes of a test. It runs the toxiproxy library
// inside the test process, with a custom toxic for connections that go silent while new ones work.
package proxy

import (
	"cmp"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/Shopify/toxiproxy"
	"github.com/Shopify/toxiproxy/toxics"
	"github.com/pkg/errors"
)

// gate controls which connections of a proxy carry data. The test sets it, and the toxic of every
// connection reads it. It is separate from the toxic because the library reads a toxic's own attributes
// without a lock.
type gate struct {
	// silentBefore: connections opened before this time (Unix nanoseconds) carry no more data.
	silentBefore atomic.Int64
	// silentAll: no connection carries data.
	silentAll atomic.Bool
	// silentUp and silentDown: no data is carried to the process, or from it.
	silentUp, silentDown atomic.Bool
}

func (g *gate) isSilent(openedAt time.Time, upstream bool) bool {
	oneWay := g.silentDown.Load()
	if upstream {
		oneWay = g.silentUp.Load()
	}
	return oneWay || g.silentAll.Load() || openedAt.UnixNano() < g.silentBefore.Load()
}

// gates maps gate names to gates. The library creates toxics from JSON, which cannot contain a pointer to
// a gate.
var gates sync.Map

// gateToxic drops all data on a silent connection, including its close, so that the other end does not
// learn that the connection is closed.
type gateToxic struct {
	Gate     string `json:"gate"`
	Upstream bool   `json:"upstream"`
}

type gateState struct{ openedAt time.Time }

// NewState records when the connection was opened.
func (t *gateToxic) NewState() any { return &gateState{openedAt: time.Now()} }

// Pipe forwards data while the connection is not silent.
func (t *gateToxic) Pipe(stub *toxics.ToxicStub) {
	found, _ := gates.Load(t.Gate)
	gate := found.(*gate)
	state := stub.State.(*gateState)
	for {
		select {
		case <-stub.Interrupt:
			return
		case chunk := <-stub.Input:
			if chunk == nil && gate.isSilent(state.openedAt, t.Upstream) {
				<-stub.Interrupt
				return
			}
			if chunk == nil {
				stub.Close()
				return
			}
			if !gate.isSilent(state.openedAt, t.Upstream) {
				stub.Output <- chunk
			}
		}
	}
}

func init() { toxics.Register("gate", new(gateToxic)) }

// -----------------------------------------------------------------------------------------------

// Direction is the direction of data through a proxy.
type Direction string

// The directions.
const (
	// Up is towards the process behind the proxy, Down is from it.
	Up   Direction = "upstream"
	Down Direction = "downstream"
)

// Names of the toxics that are added and removed.
const (
	toxicCut   = "cut"
	toxicDelay = "delay"
)

// Proxy forwards connections to the process at Upstream. Set the exported fields before Start.
type Proxy struct {
	Name string
	// Upstream is the address of the process behind the proxy.
	Upstream string
	// Listen is the address at which the proxy listens; empty for any free port of the loopback address. A proxy that is to
	// be resumed needs a port that no outgoing connection can take meanwhile.
	Listen string

	gate  *gate
	inner *toxiproxy.Proxy
}

// proxyCount counts the proxies. It makes their names unique, so that two with the same name do not share a
// gate.
var proxyCount atomic.Int64

// Start listens.
func (p *Proxy) Start() (err error) {
	defer func() { err = errors.WithMessagef(err, "proxy %s", p.Name) }()
	p.gate = &gate{}
	p.inner = toxiproxy.NewProxy()
	p.inner.Name = fmt.Sprintf("%s#%d", p.Name, proxyCount.Add(1))
	p.inner.Listen = cmp.Or(p.Listen, "127.0.0.1:0")
	p.inner.Upstream = p.Upstream
	gates.Store(p.inner.Name, p.gate)
	for _, direction := range []Direction{Up, Down} {
		err := p.add(fmt.Sprintf(`{"type":"gate","stream":"%s","attributes":{"gate":"%s","upstream":%t}}`,
			direction, p.inner.Name, direction == Up))
		if err != nil {
			return err
		}
	}
	return p.inner.Start()
}

// Stop closes every connection and refuses new ones, as if the process had ended. No process may be forked meanwhile: it
// would have a copy of the listener until it runs its program, and the proxy could not be resumed.
func (p *Proxy) Stop() {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	p.inner.Stop()
}

// Resume accepts connections again after Stop, at the same address.
func (p *Proxy) Resume() error { return p.inner.Start() }

// Address returns the address at which the proxy listens.
func (p *Proxy) Address() string { return p.inner.Listen }

// SilenceOpen permanently drops all data on the connections that are open now. New connections work.
func (p *Proxy) SilenceOpen() { p.gate.silentBefore.Store(time.Now().UnixNano()) }

// Partition sets whether all data on old and new connections is dropped without closing them.
func (p *Proxy) Partition(cut bool) { p.gate.silentAll.Store(cut) }

// PartitionOneWay sets whether all data in one direction is dropped.
func (p *Proxy) PartitionOneWay(direction Direction, cut bool) {
	if direction == Up {
		p.gate.silentUp.Store(cut)
		return
	}
	p.gate.silentDown.Store(cut)
}

// CutAfter closes each connection after the given number of bytes in a direction, until EndCut.
func (p *Proxy) CutAfter(direction Direction, bytes int) error {
	return p.add(fmt.Sprintf(`{"name":"%s","type":"limit_data","stream":"%s","attributes":{"bytes":%d}}`,
		toxicCut, direction, bytes))
}

// EndCut ends CutAfter.
func (p *Proxy) EndCut() error { return p.inner.Toxics.RemoveToxic(toxicCut) }

// Delay delays the data from the process, until EndDelay.
func (p *Proxy) Delay(wait time.Duration) error {
	return p.add(fmt.Sprintf(`{"name":"%s","type":"latency","stream":"%s","attributes":{"latency":%d}}`,
		toxicDelay, Down, wait.Milliseconds()))
}

// EndDelay ends Delay.
func (p *Proxy) EndDelay() error { return p.inner.Toxics.RemoveToxic(toxicDelay) }

func (p *Proxy) add(toxic string) error {
	_, err := p.inner.Toxics.AddToxicJson(strings.NewReader(toxic))
	return err
}
