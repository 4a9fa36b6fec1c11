// A Store in memory, for tests of code that keeps something in the store: it behaves as the service
// does, and fails on demand in the ways the service fails.

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

// Memory is a Store in memory. The zero value is empty and works. Its faults are switched on while it
// is used; it is safe for use by many goroutines.
type Memory struct {
	// Calls counts the calls, a waiting watch as one.
	Calls atomic.Int64

	mutex        sync.Mutex
	entries      map[string]Entry
	previous     map[string]Entry
	revision     int64
	changed      chan struct{}
	outage       bool
	lostAnswers  int
	lostRequests int
	staleReads   int
	lateWrites   int
	lateBy       int64
	late         []lateWrite
	callNumber   int64
}

// lateWrite is a write whose sender has given up on it, and which still takes effect when the call
// with the number due arrives.
type lateWrite struct {
	due int64
	do  func()
}

var _ Store = (*Memory)(nil)

// SetOutage switches an outage on or off: every call fails with ErrUnavailable and does nothing.
func (m *Memory) SetOutage(outage bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.outage = outage
	m.wake()
}

// LoseResponses makes the next writes take effect, or fail, with their answers lost: ErrUnknown.
func (m *Memory) LoseResponses(count int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.lostAnswers = count
}

// LoseRequests makes the next writes do nothing and end in ErrUnknown: they were lost on their way.
func (m *Memory) LoseRequests(count int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.lostRequests = count
}

// DelayWrites makes the next writes end in ErrUnknown at once and arrive only just before the call
// that comes so many calls after each.
func (m *Memory) DelayWrites(count int, calls int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.lateWrites, m.lateBy = count, int64(calls)
}

// ServeStaleReads makes the next reads of single keys return the value before the last write.
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
	defer func() { err = m.loseAnswer(err) }()
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
	defer func() { err = m.loseAnswer(err) }()
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
		entry, changed, err := m.look(key, after)
		if err != nil || entry.Revision > after {
			return entry, err
		}
		select {
		case <-changed:
		case <-end.C:
			return Entry{}, ErrNotChanged
		case <-ctx.Done():
			return Entry{}, because(ErrUnavailable, ctx.Err())
		}
	}
}

// ---------------------------------------------------------------------------------------------

// begin counts a call and says whether it can be done.
func (m *Memory) begin(ctx context.Context) error {
	m.Calls.Add(1)
	m.deliver()
	if err := ctx.Err(); err != nil {
		return because(ErrUnavailable, err)
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

// deliver counts a call and makes the late writes that are due.
func (m *Memory) deliver() {
	m.callNumber++
	waiting := m.late
	m.late = nil
	for _, write := range waiting {
		if write.due <= m.callNumber {
			write.do()
			continue
		}
		m.late = append(m.late, write)
	}
}

// loseRequest tells whether a write is lost or late.
func (m *Memory) loseRequest(write func()) bool {
	if m.lostRequests > 0 {
		m.lostRequests--
		return true
	}
	if m.lateWrites > 0 {
		m.lateWrites--
		m.late = append(m.late, lateWrite{due: m.callNumber + m.lateBy, do: write})
		return true
	}
	return false
}

// look gives the key's entry and a channel that is closed at the next change of anything.
func (m *Memory) look(key string, after int64) (entry Entry, changed <-chan struct{}, err error) {
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

func (m *Memory) loseAnswer(err error) error {
	if m.lostAnswers > 0 {
		m.lostAnswers--
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
