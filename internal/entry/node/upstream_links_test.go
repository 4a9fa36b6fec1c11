package node_test

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/residence"
)

// cut is what has happened to the links of one instance to upstreams.
type cut int

const (
	linksWhole cut = iota
	// linksSilent: packets are dropped. Open connections carry nothing, new ones are not answered.
	linksSilent
	// linksReset: open connections are reset, and new ones refused.
	linksReset
	// linksClosedToNew: open connections go on, and new ones are refused.
	linksClosedToNew
)

// upstreamLinks are the links of one instance to all upstreams.
type upstreamLinks struct {
	mutex sync.Mutex
	state cut
	open  map[*linkConnection]bool
}

func (l *upstreamLinks) set(state cut) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.state = state
	if state != linksReset {
		return
	}
	for connection := range l.open {
		connection.Close()
	}
	clear(l.open)
}

func (l *upstreamLinks) is(states ...cut) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.Contains(states, l.state)
}

func (l *upstreamLinks) dial(ctx context.Context, address string) (net.Conn, error) {
	switch {
	case l.is(linksSilent):
		<-ctx.Done()
		return nil, errors.Wrap(ctx.Err(), "dial")
	case l.is(linksReset, linksClosedToNew):
		return nil, errors.Wrap(syscall.ECONNREFUSED, "dial")
	}
	var dialer net.Dialer
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	senders.Store(connection.LocalAddr().String(), l)
	linked := &linkConnection{Conn: connection, links: l}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.open == nil {
		l.open = map[*linkConnection]bool{}
	}
	l.open[linked] = true
	return linked, nil
}

// senders maps the local addresses of connections to the links over which they were opened, so that an upstream can tell
// which instance a request comes from.
var senders sync.Map

// linkConnection is a connection over a link.
type linkConnection struct {
	net.Conn
	links  *upstreamLinks
	closed atomic.Bool
}

// Close closes the connection.
func (c *linkConnection) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// awaitLink waits while the link is silent.
func (c *linkConnection) awaitLink() {
	for c.links.is(linksSilent) && !c.closed.Load() {
		time.Sleep(10 * time.Millisecond)
	}
}

// Read returns nothing while the link is silent.
func (c *linkConnection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.awaitLink()
	return n, err
}

// Write sends nothing while the link is silent.
func (c *linkConnection) Write(p []byte) (int, error) {
	c.awaitLink()
	return c.Conn.Write(p)
}

// engines are the engines of a fleet. They carry out each order at once, and check fencing tokens unless they are unfenced.
type engines struct {
	mutex     sync.Mutex
	byAddress map[string]*engineState
	// violations are orders of two holders with one fencing token, of holders that take turns within turnTime, and of an earlier
	// holder after the next one where no fencing tokens are checked.
	violations []string
	turnTime   time.Duration
	unfenced   bool
	// delayNext makes the next order arrive late; its sender has given it up by then. delayed receives who sent it.
	delayNext time.Duration
	delayed   chan string
}

// orderTimeout is how long the sender of an order waits for the response.
const orderTimeout = 80 * time.Millisecond

// takeDelay returns the delay of the order that is sent now.
func (e *engines) takeDelay() (delay time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	delay, e.delayNext = e.delayNext, 0
	return delay
}

// violationsFound returns the violations until now.
func (e *engines) violationsFound() []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return slices.Clone(e.violations)
}

type engineState struct {
	sequence int64
	fence    int64
	holder   string
	adapters []traffic.LoadedAdapter
	// lastOrders is when each holder last sent an order.
	lastOrders map[string]time.Time
}

// linkedOrders sends the orders of one instance over its links.
type linkedOrders struct {
	links   *upstreamLinks
	engines *engines
}

var errNoResponse = errors.New("no response")

// Order carries out an order.
func (o *linkedOrders) Order(
	_ context.Context, upstream traffic.Upstream, holder string, fence int64, order residence.Order,
) (residence.Response, error) {
	if !o.links.is(linksWhole) {
		return residence.Response{Outcome: residence.NoAnswer}, errNoResponse
	}
	if delay := o.engines.takeDelay(); delay > 0 {
		time.AfterFunc(delay, func() { o.carryOut(upstream, holder, fence, order) })
		o.engines.delayed <- holder
		time.Sleep(orderTimeout)
		return residence.Response{Outcome: residence.NoAnswer}, errNoResponse
	}
	return o.carryOut(upstream, holder, fence, order)
}

// carryOut carries out an order that has arrived.
func (o *linkedOrders) carryOut(upstream traffic.Upstream, holder string, fence int64, order residence.Order) (residence.Response, error) {
	o.engines.mutex.Lock()
	defer o.engines.mutex.Unlock()
	engine := o.engines.at(upstream.Address)
	if fence < engine.fence {
		if o.engines.unfenced {
			o.engines.violations = append(o.engines.violations, holder+" after "+engine.holder)
		}
		return residence.Response{Outcome: residence.Fenced}, nil
	}
	if fence == engine.fence && holder != engine.holder {
		o.engines.violations = append(o.engines.violations, engine.holder+" and "+holder)
	}
	if last, found := engine.lastOrders[holder]; found && holder != engine.holder && time.Since(last) < o.engines.turnTime {
		o.engines.violations = append(o.engines.violations, holder+" returns after "+engine.holder)
	}
	engine.fence, engine.holder = fence, holder
	engine.lastOrders[holder] = time.Now()
	has := slices.ContainsFunc(engine.adapters, func(loaded traffic.LoadedAdapter) bool { return loaded.Name == order.Adapter.Name })
	if has != order.Unload {
		return residence.Response{Outcome: residence.AlreadyDone}, nil
	}
	if order.Sequence != engine.sequence {
		return residence.Response{Outcome: residence.Conflict}, nil
	}
	engine.sequence++
	engine.adapters = slices.DeleteFunc(engine.adapters, func(loaded traffic.LoadedAdapter) bool { return loaded.Name == order.Adapter.Name })
	if !order.Unload {
		engine.adapters = append(engine.adapters, traffic.LoadedAdapter{Name: order.Adapter.Name, Version: 1})
	}
	return residence.Response{Outcome: residence.Accepted}, nil
}

// Report returns what an engine has loaded.
func (o *linkedOrders) Report(_ context.Context, upstream traffic.Upstream) (residence.Report, error) {
	if !o.links.is(linksWhole) {
		return residence.Report{}, errNoResponse
	}
	o.engines.mutex.Lock()
	defer o.engines.mutex.Unlock()
	engine := o.engines.at(upstream.Address)
	model := traffic.LoadedModel{Name: "m", Version: 1, Adapters: slices.Clone(engine.adapters)}
	return residence.Report{Sequence: engine.sequence, Models: []traffic.LoadedModel{model}}, nil
}

// at returns the engine at an address. The caller holds the lock.
func (e *engines) at(address string) *engineState {
	if e.byAddress == nil {
		e.byAddress = map[string]*engineState{}
	}
	if e.byAddress[address] == nil {
		e.byAddress[address] = &engineState{lastOrders: map[string]time.Time{}}
	}
	return e.byAddress[address]
}
