package integration

// The fault-injecting proxy between two processes: toxiproxy's library inside the test's own process,
// with a toxic of our own for connections that go silent while new ones work.

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy"
	"github.com/Shopify/toxiproxy/toxics"
)

// gate says which of a proxy's connections carry data. It is read by every connection's toxic and set
// by the test, so it stands beside the toxic, whose own attributes the library reads without a lock.
type gate struct {
	// silentBefore: connections born before this moment (Unix nanoseconds) carry nothing any more.
	silentBefore atomic.Int64
	// silentAll: no connection carries anything.
	silentAll atomic.Bool
}

func (g *gate) silences(born time.Time) bool {
	return g.silentAll.Load() || born.UnixNano() < g.silentBefore.Load()
}

// gates finds the gate that a toxic names; the library makes toxics from JSON and cannot be given one.
var gates sync.Map

// gateToxic drops what arrives on a silent connection, its end included: the other end is never told
// that this connection is gone.
type gateToxic struct {
	Gate string `json:"gate"`
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
			if chunk == nil && held.silences(state.born) {
				<-stub.Interrupt
				return
			}
			if chunk == nil {
				stub.Close()
				return
			}
			if !held.silences(state.born) {
				stub.Output <- chunk
			}
		}
	}
}

func init() { toxics.Register("gate", new(gateToxic)) }

// -----------------------------------------------------------------------------------------------

// proxy stands between a client and a process.
type proxy struct {
	t     *testing.T
	name  string
	gate  *gate
	inner *toxiproxy.Proxy
}

var proxies atomic.Int64

func newProxy(t *testing.T, name, upstream string) *proxy {
	t.Helper()
	p := &proxy{t: t, name: fmt.Sprintf("%s#%d", name, proxies.Add(1)), gate: &gate{}, inner: toxiproxy.NewProxy()}
	gates.Store(p.name, p.gate)
	p.inner.Name = p.name
	p.inner.Listen = "127.0.0.1:0"
	p.inner.Upstream = upstream
	for _, direction := range []string{"upstream", "downstream"} {
		p.add(fmt.Sprintf(`{"type":"gate","stream":"%s","attributes":{"gate":"%s"}}`, direction, p.name))
	}
	if err := p.inner.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.inner.Stop)
	return p
}

func (p *proxy) address() string { return p.inner.Listen }

func (p *proxy) add(toxic string) {
	p.t.Helper()
	if _, err := p.inner.Toxics.AddToxicJson(strings.NewReader(toxic)); err != nil {
		p.t.Fatal(err)
	}
}

func (p *proxy) remove(name string) {
	p.t.Helper()
	if err := p.inner.Toxics.RemoveToxic(name); err != nil {
		p.t.Fatal(err)
	}
}

// silenceOpen makes the connections now open silent for good; new ones work.
func (p *proxy) silenceOpen() { p.gate.silentBefore.Store(time.Now().UnixNano()) }

// partition lets nothing through, on old connections or new, and tells nobody.
func (p *proxy) partition(cut bool) { p.gate.silentAll.Store(cut) }

// refuse closes every connection and refuses new ones, as a process that is gone would.
func (p *proxy) refuse() { p.inner.Stop() }

// accept ends refuse.
func (p *proxy) accept() {
	p.t.Helper()
	if err := p.inner.Start(); err != nil {
		p.t.Fatal(err)
	}
}

// cutAfter cuts each connection once so many bytes went in a direction ("upstream" to the process,
// "downstream" from it), until mend is called.
func (p *proxy) cutAfter(direction string, bytes int) {
	p.t.Helper()
	p.add(fmt.Sprintf(`{"name":"cut","type":"limit_data","stream":"%s","attributes":{"bytes":%d}}`, direction, bytes))
}

func (p *proxy) mend() {
	p.t.Helper()
	p.remove("cut")
}
