package daemon

import (
	"context"
	"maps"
	"slices"
	"sync"

	"lacewingrock.example/lacewingrock/internal/catalog/head"
	"lacewingrock.example/lacewingrock/internal/entry/holding"
	"lacewingrock.example/lacewingrock/internal/entry/pipeline"
)

// leaving.go gathers who is said to be leaving: by the platform's list as read here, and by what other
// members have seen. The list lags and may be unreachable from here, so one source is enough.

// leavingNames keeps the names by who told them; a source's newest word replaces its older one.
type leavingNames struct {
	mutex   sync.Mutex
	sources map[string][]string
	applied []string
}

// ownSource is the source name of this instance's own reading, which no member can have.
const ownSource = ""

func (l *leavingNames) setOwn(names []string) { l.tell(ownSource, names) }

func (l *leavingNames) tell(source string, names []string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.sources == nil {
		l.sources = map[string][]string{}
	}
	l.sources[source] = names
}

// keepMembers drops the words of instances that are members no more. One that died after it had told that a
// machine is leaving could never take it back: the machine, or a new one of its name, would get no work
// from this instance for good.
func (l *leavingNames) keepMembers(h head.Head) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for source := range l.sources {
		if _, found := h.Member(source); !found && source != ownSource {
			delete(l.sources, source)
		}
	}
}

// isLeaving tells whether the machine at an address is said to be leaving; see leavingOn.
func (l *leavingNames) isLeaving(address string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.Contains(l.union(), address)
}

// own is what this instance itself has read. Hearsay is not passed on: a name would never die out.
func (l *leavingNames) own() []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.sources[ownSource]
}

func (l *leavingNames) all() []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.union()
}

func (l *leavingNames) union() []string {
	names := map[string]bool{}
	for _, list := range l.sources {
		for _, name := range list {
			names[name] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// changed tells whether the names differ from those last applied, and takes them as applied.
func (l *leavingNames) changed() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.union()
	if slices.Equal(now, l.applied) {
		return false
	}
	l.applied = now
	return true
}

// applyLeaving brings the names to the route and to the holders when they have changed.
func (d *Daemon) applyLeaving(ctx context.Context) {
	if !d.leaving.changed() {
		return
	}
	names := d.leaving.all()
	d.Log.Info().Strs("Names", names).Msg("LeavingChanged")
	d.pipeline.State.WithLock(func(a *pipeline.SharedState) {
		a.Router.SetLeaving(names)
	})
	leaving := holding.Leaving{}
	for _, name := range names {
		leaving[name] = true
	}
	d.holding.SetLeaving(ctx, leaving)
}
