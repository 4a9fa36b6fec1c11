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

// leaving.go collects the names of leaving machines from the platform's list as read by this instance and from what
// other members report. The list lags and may be unreachable from here, so one source is enough.

// leavingNames holds the names by source. A newer report of a source replaces its older one.
type leavingNames struct {
	mutex   sync.Mutex
	sources map[string][]string
	applied []string
}

// ownSource is the source name for what this instance read itself. No member can have this name.
const ownSource = ""

func (l *leavingNames) setOwn(names []string) { l.set(ownSource, names) }

func (l *leavingNames) set(source string, names []string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.sources == nil {
		l.sources = map[string][]string{}
	}
	l.sources[source] = names
}

// dropNonMembers drops the reports of instances that are no longer members. An instance that failed after it had
// reported a leaving machine could never withdraw the report: the machine, or a new one of the same name, would never
// get work from this instance again.
func (l *leavingNames) dropNonMembers(h head.Head) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for source := range l.sources {
		if _, found := h.Member(source); !found && source != ownSource {
			delete(l.sources, source)
		}
	}
}

// isLeaving reports whether the machine at an address is leaving; see listLeaving.
func (l *leavingNames) isLeaving(address string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.Contains(l.union(), address)
}

// own returns the names that this instance read itself. Reports of others are not passed on: members would repeat a
// name to each other forever.
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

// takeChange reports whether the names differ from those last applied, and marks them as applied.
func (l *leavingNames) takeChange() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	names := l.union()
	if slices.Equal(names, l.applied) {
		return false
	}
	l.applied = names
	return true
}

// applyLeaving passes the names to the router and to the holders if they have changed.
func (d *Daemon) applyLeaving(ctx context.Context) {
	if !d.leaving.takeChange() {
		return
	}
	names := d.leaving.all()
	d.Log.Info().Strs("Names", names).Msg("LeavingChanged")
	d.pipeline.State.WithLock(func(state *pipeline.SharedState) {
		state.Router.SetLeaving(names)
	})
	leaving := holding.Leaving{}
	for _, name := range names {
		leaving[name] = true
	}
	d.holding.SetLeaving(ctx, leaving)
}
