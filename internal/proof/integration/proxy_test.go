package integration

// The fault-injecting proxy between two processes, with the failures of its own set-up as failures of the
// test.

import (
	"testing"

	"lacewingrock.example/lacewingrock/internal/standin/proxy"
)

// testProxy is a proxy of one test.
type testProxy struct {
	t     *testing.T
	inner *proxy.Proxy
}

func newProxy(t *testing.T, name, upstream string) *testProxy {
	t.Helper()
	p := &testProxy{t: t, inner: &proxy.Proxy{Name: name, Upstream: upstream}}
	p.must(p.inner.Start())
	t.Cleanup(p.inner.Stop)
	return p
}

func (p *testProxy) must(err error) {
	p.t.Helper()
	if err != nil {
		p.t.Fatal(err)
	}
}

func (p *testProxy) address() string { return p.inner.Address() }

// silenceOpen makes the connections now open silent for good; new ones work.
func (p *testProxy) silenceOpen() { p.inner.SilenceOpen() }

// partition lets nothing through, on old connections or new, and tells nobody.
func (p *testProxy) partition(cut bool) { p.inner.Partition(cut) }

// refuse closes every connection and refuses new ones, as a process that is gone would.
func (p *testProxy) refuse() { p.inner.Stop() }

// accept ends refuse.
func (p *testProxy) accept() {
	p.t.Helper()
	p.must(p.inner.Resume())
}

// cutAfter cuts each connection once so many bytes went in a direction ("upstream" to the process,
// "downstream" from it), until mend is called.
func (p *testProxy) cutAfter(direction string, bytes int) {
	p.t.Helper()
	p.must(p.inner.CutAfter(proxy.Direction(direction), bytes))
}

func (p *testProxy) mend() {
	p.t.Helper()
	p.must(p.inner.EndCut())
}
