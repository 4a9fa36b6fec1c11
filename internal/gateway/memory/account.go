// Package memory accounts for the bytes that an instance holds for callers and upstreams, so that slow callers and
// large bodies cannot exhaust its memory. It does no I/O.
package memory

import (
	"sync"

	"github.com/uber-go/tally/v4"
)

// Kind is what bytes are held for.
type Kind string

// The kinds, in the order in which they are refused when the account fills.
const (
	// LargeBody is a request body, or a part of it, beyond SmallBodyBytes.
	LargeBody Kind = "large_bodies"
	// Response is a part of an upstream's response that was not written to its caller yet.
	Response Kind = "responses"
	// SmallBody is a request body of at most SmallBodyBytes, as most are.
	SmallBody Kind = "small_bodies"
)

// SmallBodyBytes is the size up to which a request body counts as small. Small bodies are accepted while large ones are
// refused, so that a few callers with large bodies do not shut out all others.
const SmallBodyBytes = 64 << 10

// BodyKind returns the kind of a request body.
func BodyKind(bytes int64) Kind {
	if bytes > SmallBodyBytes {
		return LargeBody
	}
	return SmallBody
}

// Fractions of the limit up to which the account may be filled. A large body is refused first, then responses are not
// read ahead, and small bodies are refused last.
const (
	bodiesFraction      = 0.6
	largeBodiesFraction = 0.5
	fillForLargeBodies  = 0.8
	fillForResponses    = 0.9
)

// limitFraction is the part of the memory of an instance that the account may hold. The rest is for the program, its
// connections, the configuration and the garbage collector, which lets the heap grow to twice of what is in use.
const limitFraction = 0.25

// LimitOf returns the limit of the account of an instance, 0 if its memory is not bounded.
func LimitOf(megabytes int64) int64 { return int64(limitFraction * float64(megabytes<<20)) }

// Account counts the bytes that are held. It is safe for concurrent use. Set the exported fields before the first
// use. A nil account has no limit.
type Account struct {
	// Limit is the number of bytes that may be held, 0 for any number.
	Limit int64
	// Scope gets a gauge for each kind, and a counter of refusals. It may be nil.
	Scope tally.Scope

	mutex  sync.Mutex
	held   map[Kind]int64
	total  int64
	peak   int64
	gauges map[Kind]tally.Gauge
}

// IsBounded reports whether the account has a limit.
func (a *Account) IsBounded() bool { return a != nil && a.Limit > 0 }

// Reserve counts bytes as held, or returns false if there is no room for them.
func (a *Account) Reserve(kind Kind, bytes int64) bool {
	if a == nil || bytes <= 0 {
		return true
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.IsBounded() && !a.hasRoom(kind, bytes) {
		return false
	}
	a.add(kind, bytes)
	a.peak = max(a.peak, a.total)
	return true
}

// Release counts bytes as no longer held.
func (a *Account) Release(kind Kind, bytes int64) {
	if a == nil || bytes <= 0 {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.add(kind, -bytes)
}

// RecordRefusal counts a request or a read that had to be refused for lack of room.
func (a *Account) RecordRefusal(kind Kind) {
	if a == nil || a.Scope == nil {
		return
	}
	a.Scope.Tagged(map[string]string{"kind": string(kind)}).Counter("memory_refusals").Inc(1)
}

// Held returns the bytes that are held of one kind.
func (a *Account) Held(kind Kind) int64 {
	if a == nil {
		return 0
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.held[kind]
}

// Total returns the bytes that are held, and the most that were held at any time.
func (a *Account) Total() (now, peak int64) {
	if a == nil {
		return 0, 0
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.total, a.peak
}

// hasRoom reports whether bytes fit. The lock is held.
func (a *Account) hasRoom(kind Kind, bytes int64) bool {
	bodies := a.held[LargeBody] + a.held[SmallBody]
	total := a.total + bytes
	switch kind {
	case LargeBody:
		return a.within(a.held[LargeBody]+bytes, largeBodiesFraction) && a.within(bodies+bytes, bodiesFraction) &&
			a.within(total, fillForLargeBodies)
	case SmallBody:
		return a.within(bodies+bytes, bodiesFraction) && a.within(total, 1)
	}
	return a.within(total, fillForResponses)
}

func (a *Account) within(bytes int64, fraction float64) bool {
	return float64(bytes) <= fraction*float64(a.Limit)
}

// add changes what is held. The lock is held.
func (a *Account) add(kind Kind, bytes int64) {
	if a.held == nil {
		a.held = make(map[Kind]int64)
		a.gauges = make(map[Kind]tally.Gauge)
	}
	a.held[kind] += bytes
	a.total += bytes
	if a.Scope == nil {
		return
	}
	gauge := a.gauges[kind]
	if gauge == nil {
		gauge = a.Scope.Tagged(map[string]string{"kind": string(kind)}).Gauge("held_bytes")
		a.gauges[kind] = gauge
	}
	gauge.Update(float64(a.held[kind]))
}
