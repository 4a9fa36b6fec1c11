// An in-memory Store for tests of code that uses the store. It behaves like the service, and injects the
// service's faults on demand.

package store

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Memory is an in-memory Store. The zero value is an empty store. Faults can be switched on at any time.
// It is safe for concurrent use.
type Memory struct {
	// Calls counts the calls; a watch counts once.
	Calls atomic.Int64

	mutex         sync.Mutex
	entries       map[string]Entry
	previous      map[string]Entry
	revision      int64
	changed       chan struct{}
	outage        bool
	lostResponses int
	lostRequests  int
	staleReads    int
	writesToDelay int
	delayCalls    int64
	delayedWrites []delayedWrite
	callNumber    int64
}

// delayedWrite is a write whose sender has given up. It takes effect when the call with the number due
// arrives.
type delayedWrite struct {
	due int64
	do  func()
}

var _ Store = (*Memory)(nil)

// SetOutage starts or ends an outage, in which every call fails with ErrUnavailable and has no effect.
func (m *Memory) SetOutage(outage bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.outage = outage
	m.wake()
}

// LoseResponses lets the next count writes take effect, or fail, but returns ErrUnknown for each.
func (m *Memory) LoseResponses(count int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.lostResponses = count
}

// LoseRequests drops the next count writes: they have no effect, and each returns ErrUnknown.
func (m *Memory) LoseRequests(count int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.lostRequests = count
}

// DelayWrites makes the next count writes return ErrUnknown at once. Each takes effect later, just before
// the call that follows it by the given number of calls.
func (m *Memory) DelayWrites(count int, calls int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.writesToDelay, m.delayCalls = count, int64(calls)
}

// ServeStaleReads makes the next count reads of single keys return the value before the last write.
func (m *Memory) ServeStaleReads(count int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.staleReads = count
}

// Get reads a key.
func (m *Memory) Get(ctx context.Context, key string) (entry Entry, err error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if err := m.begin(ctx); err != nil {
		return Entry{}, err
	}
	entry, found := m.entries[key]
	if m.staleReads > 0 {
		m.staleReads--
		entry, found = m.previous[key]
	}
	if !found {
		return Entry{}, ErrNotFound
	}
	return entry.clone(), nil
}

// CompareAndSwap writes a key whose revision is the expected one.
func (m *Memory) CompareAndSwap(
	ctx context.Context, key string, expected int64, value []byte,
) (entry Entry, err error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if err := m.begin(ctx); err != nil {
		return Entry{}, err
	}
	write := func() (Entry, error) { return m.write(key, expected, value) }
	if m.loseRequest(func() { _, _ = write() }) {
		return Entry{}, ErrUnknown
	}
	defer func() { err = m.loseResponse(err) }()
	return write()
}

func (m *Memory) write(key string, expected int64, value []byte) (entry Entry, err error) {
	if m.entries[key].Revision != expected {
		return Entry{}, ErrConflict
	}
	m.revision++
	m.keepPrevious(key)
	entry = Entry{Key: key, Value: bytes.Clone(value), Revision: m.revision}
	if m.entries == nil {
		m.entries = map[string]Entry{}
	}
	m.entries[key] = entry
	m.wake()
	return entry.clone(), nil
}

// Delete removes a key whose revision is the expected one.
func (m *Memory) Delete(ctx context.Context, key string, expected int64) (err error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if err := m.begin(ctx); err != nil {
		return err
	}
	if m.loseRequest(func() { _ = m.remove(key, expected) }) {
		return ErrUnknown
	}
	defer func() { err = m.loseResponse(err) }()
	return m.remove(key, expected)
}

func (m *Memory) remove(key string, expected int64) error {
	entry, found := m.entries[key]
	if !found {
		return ErrNotFound
	}
	if entry.Revision != expected {
		return ErrConflict
	}
	m.keepPrevious(key)
	delete(m.entries, key)
	m.wake()
	return nil
}

// List reads all keys with a prefix, in order.
func (m *Memory) List(ctx context.Context, prefix string) (entries []Entry, err error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if err := m.begin(ctx); err != nil {
		return nil, err
	}
	for key, entry := range m.entries {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, entry.clone())
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return strings.Compare(a.Key, b.Key) })
	return entries, nil
}

// Watch waits for a revision of the key above after.
func (m *Memory) Watch(
	ctx context.Context, key string, after int64, wait time.Duration,
) (entry Entry, err error) {
	m.countCall()
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		entry, changed, err := m.poll(key, after)
		if err != nil || entry.Revision > after {
			return entry, err
		}
		select {
		case <-changed:
		case <-end.C:
			return Entry{}, ErrNotChanged
		case <-ctx.Done():
			return Entry{}, withCause(ErrUnavailable, ctx.Err())
		}
	}
}

// ---------------------------------------------------------------------------------------------

// begin counts a call and returns an error if it cannot be executed.
func (m *Memory) begin(ctx context.Context) error {
	m.Calls.Add(1)
	m.deliver()
	if err := ctx.Err(); err != nil {
		return withCause(ErrUnavailable, err)
	}
	if m.outage {
		return ErrUnavailable
	}
	return nil
}

func (m *Memory) countCall() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.Calls.Add(1)
	m.deliver()
}

// deliver counts a call and executes the delayed writes that are due.
func (m *Memory) deliver() {
	m.callNumber++
	waiting := m.delayedWrites
	m.delayedWrites = nil
	for _, write := range waiting {
		if write.due <= m.callNumber {
			write.do()
			continue
		}
		m.delayedWrites = append(m.delayedWrites, write)
	}
}

// loseRequest reports whether the fault injection drops or delays a write.
func (m *Memory) loseRequest(write func()) bool {
	if m.lostRequests > 0 {
		m.lostRequests--
		return true
	}
	if m.writesToDelay > 0 {
		m.writesToDelay--
		m.delayedWrites = append(m.delayedWrites, delayedWrite{due: m.callNumber + m.delayCalls, do: write})
		return true
	}
	return false
}

// poll returns the key's entry if its revision is above after, and otherwise an empty entry with a channel
// that is closed at the next change of any key.
func (m *Memory) poll(key string, after int64) (entry Entry, changed <-chan struct{}, err error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.outage {
		return Entry{}, nil, ErrUnavailable
	}
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	entry = m.entries[key]
	if entry.Revision <= after {
		return Entry{}, m.changed, nil
	}
	return entry.clone(), m.changed, nil
}

func (m *Memory) wake() {
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}

func (m *Memory) loseResponse(err error) error {
	if m.lostResponses > 0 {
		m.lostResponses--
		return ErrUnknown
	}
	return err
}

func (m *Memory) keepPrevious(key string) {
	if m.previous == nil {
		m.previous = map[string]Entry{}
	}
	if entry, found := m.entries[key]; found {
		m.previous[key] = entry
	}
}

func (e Entry) clone() Entry {
	e.Value = bytes.Clone(e.Value)
	return e
}
