package repository_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"lacewingrock.example/lacewingrock/internal/catalog/configuration"
	"lacewingrock.example/lacewingrock/internal/catalog/head"
	"lacewingrock.example/lacewingrock/internal/catalog/repository"
	"lacewingrock.example/lacewingrock/internal/catalog/resource"
	"lacewingrock.example/lacewingrock/internal/platform/store"
)

// Applies store faults in any order at several instances: outages, lost responses, lost and late writes,
// stale reads, sweeps, and instances that join late. A user would notice a bug here as a change that was
// reported as accepted and is missing, or one reported as failed that took effect.
//
// The oracle is the list of accepted configurations. A change that was accepted is the next one in it;
// one that was refused is not in it; one whose outcome was unknown may be, as determined by reading the
// store.
func TestRepositoryAgainstOracle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(withoutDeadline{t}, func(t *rapid.T) {
			m := &machine{kv: &store.Memory{}, accepted: []map[string]float64{{}}}
			m.join(t)
			t.Repeat(map[string]func(*rapid.T){
				"":        m.check,
				"declare": m.declare,
				"remove":  m.remove,
				"member":  m.member,
				"refresh": m.refresh,
				"sweep":   m.sweep,
				"join":    m.join,
				"fault":   m.fault,
				"mend":    m.clearFaults,
			})
			m.clearFaults(t)
			m.kv.ServeStaleReads(0)
			for _, r := range m.instances {
				m.read(t, r)
			}
		})
	})
}

// withoutDeadline hides the test's deadline, which rapid would query and synctest does not allow.
type withoutDeadline struct{ rapid.TB }

type machine struct {
	kv        *store.Memory
	instances []*repository.Repository
	seen      []int64
	// accepted holds the rates by workspace at each revision.
	accepted []map[string]float64
}

func (m *machine) anyInstance(t *rapid.T) *repository.Repository {
	return m.instances[rapid.IntRange(0, len(m.instances)-1).Draw(t, "instance")]
}

func (m *machine) anyWorkspace(t *rapid.T) string {
	return rapid.SampledFrom([]string{"v", "w", "x"}).Draw(t, "workspace")
}

func (m *machine) join(*rapid.T) {
	if len(m.instances) < 4 {
		m.instances = append(m.instances, &repository.Repository{Store: m.kv, Writer: fmt.Sprint(len(m.instances))})
		m.seen = append(m.seen, 0)
	}
}

func (m *machine) newest() map[string]float64 { return m.accepted[len(m.accepted)-1] }

func (m *machine) declare(t *rapid.T) {
	r, name, rate := m.anyInstance(t), m.anyWorkspace(t), float64(rapid.IntRange(1, 5).Draw(t, "rate"))
	expected := configuration.AnyVersion
	if rapid.Bool().Draw(t, "stated") {
		if w, found := r.Current().Configuration.Workspace(name); found {
			expected = w.Meta.Version
		}
	}
	next := maps.Clone(m.newest())
	next[name] = rate
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	revision, err := declare(ctx, r, workspace(name, rate), expected)
	m.recordOutcome(t, r, revision, err, next)
}

func (m *machine) remove(t *rapid.T) {
	r, name := m.anyInstance(t), m.anyWorkspace(t)
	next := maps.Clone(m.newest())
	delete(next, name)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	revision, err := r.Apply(ctx, func(configuration.Configuration) (configuration.Change, error) {
		id := resource.ID{Kind: resource.KindWorkspace, Name: name}
		return configuration.Change{configuration.Remove{ID: id, Expected: configuration.AnyVersion}}, nil
	})
	m.recordOutcome(t, r, revision, err, next)
}

func (m *machine) member(t *rapid.T) {
	r := m.anyInstance(t)
	incarnation := fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "incarnation"))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	revision, err := r.CommitHead(ctx, func(h head.Head) (head.Head, error) {
		return h.WithMember(head.Member{Name: "member", Incarnation: incarnation}), nil
	})
	m.recordOutcome(t, r, revision, err, m.newest())
}

// recordOutcome records the reported outcome of a change. Only one change runs at a time, so the next
// revision can only be its own.
func (m *machine) recordOutcome(
	t *rapid.T, r *repository.Repository, revision int64, err error, next map[string]float64,
) {
	before := int64(len(m.accepted) - 1)
	var conflicts configuration.Conflicts
	switch {
	case err == nil && revision == before: // a no-op
	case err == nil && revision == before+1:
		m.accepted = append(m.accepted, next)
	case err == nil:
		t.Fatalf("accepted as revision %d after %d", revision, before)
	case errors.As(err, &conflicts):
	case errors.Is(err, store.ErrUnknown):
		m.resolveUnknown(next)
	case !errors.Is(err, store.ErrUnavailable):
		t.Fatalf("unexpected error: %v", err)
	}
	if err == nil && r.Current().Head.Revision < revision {
		t.Fatalf("the writer has revision %d in force, not %d", r.Current().Head.Revision, revision)
	}
}

// resolveUnknown clears all faults and reads the store after an unknown outcome. By then late writes have
// arrived or never take effect.
func (m *machine) resolveUnknown(next map[string]float64) {
	m.kv.SetOutage(false)
	m.kv.ServeStaleReads(0)
	m.kv.DelayWrites(0, 0)
	fresh := &repository.Repository{Store: m.kv, Writer: "settle"}
	for range 8 {
		_, _ = fresh.Refresh(context.Background())
	}
	if fresh.Current().Head.Revision == int64(len(m.accepted)) {
		m.accepted = append(m.accepted, next)
	}
}

func (m *machine) refresh(t *rapid.T) {
	r := m.anyInstance(t)
	startedAt := time.Now()
	snapshot, err := r.Refresh(context.Background())
	if err == nil && snapshot.ConfirmedAt.After(startedAt.Add(time.Millisecond)) {
		t.Fatal("the snapshot is confirmed as of a time after the read began")
	}
}

func (m *machine) sweep(t *rapid.T) {
	s := &repository.Sweeper{Repository: m.anyInstance(t), GracePeriod: time.Second}
	for range 2 {
		for index := range repository.SweepIndexes {
			_, _ = s.Sweep(context.Background(), index)
		}
		time.Sleep(2 * time.Second)
	}
}

func (m *machine) fault(t *rapid.T) {
	count := rapid.IntRange(1, 4).Draw(t, "count")
	switch rapid.IntRange(0, 4).Draw(t, "fault") {
	case 0:
		m.kv.SetOutage(true)
	case 1:
		m.kv.LoseResponses(count)
	case 2:
		m.kv.LoseRequests(count)
	case 3:
		m.kv.DelayWrites(count, rapid.IntRange(1, 6).Draw(t, "late by"))
	case 4:
		m.kv.ServeStaleReads(count)
	}
}

func (m *machine) clearFaults(*rapid.T) {
	m.kv.SetOutage(false)
	m.kv.LoseResponses(0)
	m.kv.LoseRequests(0)
	m.kv.DelayWrites(0, 0)
}

// check compares every instance with the oracle: its revision never falls, and its configuration is the
// one that was accepted as that revision.
func (m *machine) check(t *rapid.T) {
	for i, r := range m.instances {
		current := r.Current()
		revision := current.Head.Revision
		if revision < m.seen[i] {
			t.Fatalf("instance %d went back from revision %d to %d", i, m.seen[i], revision)
		}
		m.seen[i] = revision
		if revision >= int64(len(m.accepted)) {
			t.Fatalf("instance %d has revision %d, which was not accepted", i, revision)
		}
		if found := rates(current.Configuration); !maps.Equal(found, m.accepted[revision]) {
			t.Fatalf("instance %d has %v as revision %d, but %v was accepted", i, found, revision, m.accepted[revision])
		}
	}
}

func (m *machine) read(t *rapid.T, r *repository.Repository) {
	if _, err := r.Refresh(context.Background()); err != nil {
		t.Fatalf("the store is available, but a read fails: %v", err)
	}
	if r.Current().Head.Revision != int64(len(m.accepted)-1) {
		t.Fatalf("revision %d after a read, but the accepted one is %d", r.Current().Head.Revision, len(m.accepted)-1)
	}
	m.check(t)
}

// ---------------------------------------------------------------------------------------------

// slowStore delays each call by a random time before and after, so that calls of several writers overlap.
type slowStore struct {
	store.Store
	random *rand.Rand
	mutex  sync.Mutex
}

func (s *slowStore) delay() {
	s.mutex.Lock()
	pause := time.Duration(s.random.IntN(5)) * time.Millisecond
	s.mutex.Unlock()
	time.Sleep(pause)
}

func (s *slowStore) Get(ctx context.Context, key string) (store.Entry, error) {
	s.delay()
	defer s.delay()
	return s.Store.Get(ctx, key)
}

func (s *slowStore) CompareAndSwap(ctx context.Context, key string, expected int64, value []byte) (store.Entry, error) {
	s.delay()
	defer s.delay()
	return s.Store.CompareAndSwap(ctx, key, expected, value)
}

// operation is a change or a read in the history; outcome is its revision, or unknown.
type operation struct{ change bool }

type outcome struct {
	revision int64
	unknown  bool
}

// headModel is a counter: each change makes the next revision, and a read returns the current one.
var headModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{int64(0)} },
	Step: func(state, input, output any) []any {
		current, in, out := state.(int64), input.(operation), output.(outcome)
		switch {
		case in.change && out.unknown:
			return []any{current, current + 1}
		case in.change && out.revision == current+1:
			return []any{current + 1}
		case !in.change && out.revision == current:
			return []any{current}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()

// Many instances change the configuration concurrently while responses are lost. The history of changes
// and reads must be linearizable. Otherwise an operator whose change was reported as accepted could read
// a configuration without it at the next instance.
func TestHistoryIsLinearizable(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkHistory(t, seed) })
		})
	}
}

func checkHistory(t *testing.T, seed uint64) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(seed, 0))
	kv := &store.Memory{}
	shared := &slowStore{Store: kv, random: random}
	startedAt := time.Now()
	var mutex sync.Mutex
	var history []porcupine.Operation
	changed := map[string]bool{}
	record := func(client int, in operation, call time.Duration, out outcome) {
		mutex.Lock()
		defer mutex.Unlock()
		end := int64(time.Since(startedAt))
		if out.unknown {
			end = int64(time.Hour) // it may take effect at any later time
		}
		history = append(history, porcupine.Operation{
			ClientId: client, Input: in, Call: int64(call), Output: out, Return: end,
		})
	}
	var group sync.WaitGroup
	for client := range 6 {
		r := &repository.Repository{Store: shared, Writer: fmt.Sprint(client)}
		group.Go(func() {
			for i := range 6 {
				name := fmt.Sprintf("w-%d-%d", client, i)
				call := time.Since(startedAt)
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				revision, err := declare(ctx, r, workspace(name, 1), configuration.MustBeNew)
				cancel()
				unknown := errors.Is(err, store.ErrUnknown)
				if err == nil || unknown {
					record(client, operation{change: true}, call, outcome{revision: revision, unknown: unknown})
				}
				mutex.Lock()
				changed[name] = err == nil
				mutex.Unlock()
				call = time.Since(startedAt)
				if snapshot, err := r.Refresh(context.Background()); err == nil {
					record(client, operation{}, call, outcome{revision: snapshot.Head.Revision})
				}
			}
		})
	}
	group.Go(func() {
		for range 20 {
			time.Sleep(10 * time.Millisecond)
			kv.LoseResponses(1)
			kv.DelayWrites(1, 3)
		}
	})
	group.Wait()
	is.Equal(porcupine.CheckOperationsTimeout(headModel, history, time.Minute), porcupine.Ok)
	fresh := &repository.Repository{Store: kv, Writer: "fresh"}
	is.NoErr(fresh.Load(context.Background()))
	for name, accepted := range changed {
		_, found := fresh.Current().Configuration.Workspace(name)
		is.True(found || !accepted) // no accepted change is lost
	}
	t.Logf("%d operations, %d store calls", len(history), kv.Calls.Load())
}
