// Package proxy stands between two processes of a trial and fails on demand: toxiproxy's library inside
// the process that watches the trial, with a toxic of our own for connections that go silent while new
// ones work.
package proxy

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/Shopify/toxiproxy"
	"github.com/Shopify/toxiproxy/toxics"
	"github.com/pkg/errors"
)

// gate says which of a proxy's connections carry data. It is read by every connection's toxic and set
// by the trial, so it stands beside the toxic, whose own attributes the library reads without a lock.
type gate struct {
	// silentBefore: connections born before this moment (Unix nanoseconds) carry nothing any more.
	silentBefore atomic.Int64
	// silentAll: no connection carries anything.
	silentAll atomic.Bool
	// silentUp and silentDown: nothing is carried in one direction, to the process or from it.
	silentUp, silentDown atomic.Bool
}

func (g *gate) silences(born time.Time, upstream bool) bool {
	oneWay := g.silentDown.Load()
	if upstream {
		oneWay = g.silentUp.Load()
	}
	return oneWay || g.silentAll.Load() || born.UnixNano() < g.silentBefore.Load()
}

// gates finds the gate that a toxic names; the library makes toxics from JSON and cannot be given one.
var gates sync.Map

// gateToxic drops what arrives on a silent connection, its end included: the other end is never told
// that this connection is gone.
type gateToxic struct {
	Gate     string `json:"gate"`
	Upstream bool   `json:"upstream"`
}

type gateState struct{ born time.Time }

// NewState notes when the connection was opened.
func (t *gateToxic) NewState() any { return &gateState{born: time.Now()} }

// Pipe carries data while the connection is not silent.
func (t *gateToxic) Pipe(stub *toxics.ToxicStub) {
	found, _ := gates.Load(t.Gate)
	held := found.(*gate)
	state := stub.State.(*gateState)
	for {
		select {
		case <-stub.Interrupt:
			return
		case chunk := <-stub.Input:
			if chunk == nil && held.silences(state.born, t.Upstream) {
				<-stub.Interrupt
				return
			}
			if chunk == nil {
				stub.Close()
				return
			}
			if !held.silences(state.born, t.Upstream) {
				stub.Output <- chunk
			}
		}
	}
}

func init() { toxics.Register("gate", new(gateToxic)) }

// -----------------------------------------------------------------------------------------------

// Direction of what passes a proxy.
type Direction string

// The directions.
const (
	// Up is to the process behind the proxy, Down is from it.
	Up   Direction = "upstream"
	Down Direction = "downstream"
)

// Names of the toxics that are added and removed.
const (
	toxicCut   = "cut"
	toxicDelay = "delay"
)

// Proxy stands before the process at Upstream. Set the exported fields before Start.
type Proxy struct {
	Name string
	// Upstream is the address of the process behind it.
	Upstream string

	gate  *gate
	inner *toxiproxy.Proxy
}

// started counts the proxies, so that two of one name do not share a gate.
var started atomic.Int64

// Start listens on a free port of the loopback address.
func (p *Proxy) Start() (err error) {
	defer func() { err = errors.WithMessagef(err, "proxy %s", p.Name) }()
	p.gate = &gate{}
	p.inner = toxiproxy.NewProxy()
	p.inner.Name = fmt.Sprintf("%s#%d", p.Name, started.Add(1))
	p.inner.Listen = "127.0.0.1:0"
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

// Stop closes every connection and refuses new ones, as a process that is gone would.
func (p *Proxy) Stop() { p.inner.Stop() }

// Resume ends Stop, at the same address.
func (p *Proxy) Resume() error { return p.inner.Start() }

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.inner.Listen }

// SilenceOpen makes the connections now open silent for good; new ones work.
func (p *Proxy) SilenceOpen() { p.gate.silentBefore.Store(time.Now().UnixNano()) }

// Partition lets nothing through, on old connections or new, and tells nobody.
func (p *Proxy) Partition(cut bool) { p.gate.silentAll.Store(cut) }

// PartitionOneWay lets nothing through in one direction.
func (p *Proxy) PartitionOneWay(direction Direction, cut bool) {
	if direction == Up {
		p.gate.silentUp.Store(cut)
		return
	}
	p.gate.silentDown.Store(cut)
}

// CutAfter cuts each connection once so many bytes went in a direction, until EndCut.
func (p *Proxy) CutAfter(direction Direction, bytes int) error {
	return p.add(fmt.Sprintf(`{"name":"%s","type":"limit_data","stream":"%s","attributes":{"bytes":%d}}`,
		toxicCut, direction, bytes))
}

// EndCut ends CutAfter.
func (p *Proxy) EndCut() error { return p.inner.Toxics.RemoveToxic(toxicCut) }

// Delay holds what comes from the process back for a time, until EndDelay.
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
