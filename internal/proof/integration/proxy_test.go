package integration

// The fault-injecting proxy between two processes. If setting up the proxy fails, the test fails.

import (
	"testing"

	"lacewingrock.example/lacewingrock/internal/standin/proxy"
)

// testProxy is a proxy owned by one test.
type testProxy struct {
	t     *testing.T
	inner *proxy.Proxy
}

func newProxy(t *testing.T, name, upstream string) *testProxy {
	t.Helper()
	p := &testProxy{t: t, inner: &proxy.Proxy{Name: name, Upstream: upstream}}
	p.requireNoError(p.inner.Start())
	t.Cleanup(p.inner.Stop)
	return p
}

func (p *testProxy) requireNoError(err error) {
	p.t.Helper()
	if err != nil {
		p.t.Fatal(err)
	}
}

func (p *testProxy) address() string { return p.inner.Address() }

// silenceOpen permanently stops all traffic on the connections that are open now, without closing them. New
// connections work.
func (p *testProxy) silenceOpen() { p.inner.SilenceOpen() }

// partition drops all traffic on existing and new connections without closing them, while cut is true.
func (p *testProxy) partition(cut bool) { p.inner.Partition(cut) }

// refuse closes every connection and refuses new ones, as if the process had ended.
func (p *testProxy) refuse() { p.inner.Stop() }

// accept accepts connections again after refuse.
func (p *testProxy) accept() {
	p.t.Helper()
	p.requireNoError(p.inner.Resume())
}

// cutAfter cuts each connection after the given number of bytes in a direction ("upstream" to the process,
// "downstream" from it), until endCut is called.
func (p *testProxy) cutAfter(direction string, bytes int) {
	p.t.Helper()
	p.requireNoError(p.inner.CutAfter(proxy.Direction(direction), bytes))
}

func (p *testProxy) endCut() {
	p.t.Helper()
	p.requireNoError(p.inner.EndCut())
}
