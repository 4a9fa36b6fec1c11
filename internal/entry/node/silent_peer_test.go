package node_test

import (
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// pausingProxy carries connections to an instance, and holds back what is sent on them while it is paused.
type pausingProxy struct {
	listener net.Listener
	target   string
	paused   atomic.Bool
}

func newPausingProxy(t *testing.T, target string) *pausingProxy {
	t.Helper()
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	p := &pausingProxy{listener: listener, target: target}
	go p.run()
	return p
}

func (p *pausingProxy) run() {
	for {
		accepted, err := p.listener.Accept()
		if err != nil {
			return
		}
		dialed, err := net.Dial("tcp", p.target)
		if err != nil {
			accepted.Close()
			continue
		}
		go p.carry(accepted, dialed)
		go p.carry(dialed, accepted)
	}
}

func (p *pausingProxy) carry(from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		for p.paused.Load() {
			time.Sleep(5 * time.Millisecond)
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// Guards against responses that are cut because the peer through which they come is silent for a moment and goes on: the
// connection to it is given up with all that runs on it.
func TestSilentPeerLosesNoResponse(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newStore()
	fleet := startFleet(t, s, "a", "b")
	proxy := newPausingProxy(t, fleet[1].address("PeerAddress"))
	const key = "fleet/instances/b"
	entry, found := s.get(key)
	is.True(found)
	value := strings.ReplaceAll(string(entry.Value), fleet[1].address("PeerAddress"), proxy.listener.Addr().String())
	is.True(value != string(entry.Value))
	s.put(key, value) // the others reach b through the proxy
	time.Sleep(2 * time.Second)
	fleet[0].links.set(linksSilent)
	eventually(t, contactTime, "requests go through the other instance", func() bool {
		served := fleet[0].status("/p/") == 200
		return served && fleet[0].log.hasLine(`"UpstreamLink"`, `"app0"`, `"Lost":true`) &&
			fleet[0].log.hasLine(`"UpstreamLink"`, `"app1"`, `"Lost":true`)
	})
	statuses := make(chan int, 4)
	for range cap(statuses) {
		go func() { statuses <- fleet[0].status(pathLong) }()
	}
	time.Sleep(500 * time.Millisecond) // the requests run through b
	proxy.paused.Store(true)
	time.Sleep(1500 * time.Millisecond)
	proxy.paused.Store(false)
	for range cap(statuses) {
		is.Equal(<-statuses, 200)
	}
}
