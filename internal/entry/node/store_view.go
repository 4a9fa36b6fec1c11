package node

import (
	"sync"
	"sync/atomic"
	"time"

	"lacewingrock.example/lacewingrock/internal/admission/quota"
	"lacewingrock.example/lacewingrock/internal/fleet/replica"
	"lacewingrock.example/lacewingrock/internal/fleet/roster"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// knowledge.go keeps what the instance knows of the store's keys, from whichever source, and hands each change
// to the parts that decide by it.

// versionRequiredAfter is how long requests may still begin on the version before the newest. It gives upstreams time to
// replace it, and ends well before the five seconds that operators allow.
const versionRequiredAfter = 2500 * time.Millisecond

type knowledge struct {
	wake chan struct{}

	mutex   sync.Mutex
	replica replica.Replica
	roster  roster.Roster
	// news is the revision of the last change that all have to know at once.
	news int64
	// newsOf is the revision of the last such change of each key.
	newsOf map[string]int64
	// confirmed is set with the lock held.
	confirmed confirmation
	// reader: this instance was the first in line to read the store when it last found out, among readers.
	reader  bool
	readers []roster.Instance
	// returned is when the last outage ended.
	returned time.Time
	newest   map[traffic.Adapter]newest
	// declarations counts the changes of newest.
	declarations int
	// lapsed upstreams have lost their entry around an outage.
	lapsed map[string]time.Time
	// holders is what liveHolders gives, nil after a change of the roster until it is needed.
	holders map[string]string
	// gone are instances that have left the roster lately; their part of the rates is still theirs. It was brought up
	// to date at peersSet by the roster's list then.
	gone     map[string]time.Time
	peersSet time.Time
	peers    []roster.Instance

	table atomic.Pointer[traffic.Table]
}

type newest struct {
	version int64
	since   time.Time
}

// Table is the configuration in force, nil while none is known.
func (n *Node) Table() *traffic.Table { return n.knowledge.table.Load() }

// Newest is the newest declared version of an adapter.
func (n *Node) Newest(adapter traffic.Adapter) (version int64, required bool) {
	k := &n.knowledge
	k.mutex.Lock()
	defer k.mutex.Unlock()
	known := k.newest[adapter]
	return known.version, known.version > 0 && time.Since(known.since) > versionRequiredAfter
}

// liveHolders gives the instance that holds each upstream, as far as it is in the roster. The map is not changed
// any more: each heartbeat looks at it.
func (k *knowledge) liveHolders() map[string]string {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.holders != nil {
		return k.holders
	}
	k.holders = make(map[string]string)
	for _, holder := range k.roster.Holders() {
		if _, lives := k.roster.Instance(holder.Instance); lives {
			k.holders[holder.Upstream] = holder.Instance
		}
	}
	return k.holders
}

// newestSince gives the newest declared versions if any changed since a count of changes, and the count now.
func (k *knowledge) newestSince(declarations int) (versions map[traffic.Adapter]int64, now int) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if declarations == k.declarations {
		return nil, declarations
	}
	versions = make(map[traffic.Adapter]int64, len(k.newest))
	for adapter, newest := range k.newest {
		versions[adapter] = newest.version
	}
	return versions, k.declarations
}

// fromStore is the source of changes that this instance has read itself.
const fromStore = "store"

// merge takes a batch in that came from the store or a peer, and reports whether it joined what was known.
func (n *Node) merge(batch replica.Batch, confirmed time.Time, from string) bool {
	k := &n.knowledge
	k.mutex.Lock()
	defer k.mutex.Unlock()
	n.confirm(confirmed)
	if k.newsOf == nil {
		k.newsOf = make(map[string]int64)
	}
	changed, joined := k.replica.Merge(batch)
	if !joined {
		return false
	}
	news := false
	for _, item := range changed {
		if n.apply(item, from) {
			news = true
			k.news = max(k.news, item.Revision)
			k.newsOf[item.Key] = item.Revision
		}
	}
	if news {
		n.signal()
		n.overlay.wake(false)
	}
	return true
}

func (n *Node) signal() {
	select {
	case n.knowledge.wake <- struct{}{}:
	default: // a wake-up is already due
	}
}

// apply hands one change on; the lock is held. It reports whether that is news which others should get at once, and
// not with a heartbeat.
func (n *Node) apply(item replica.Item, from string) (news bool) {
	k := &n.knowledge
	ours, err := k.roster.Apply(item.Key, item.Value, item.Revision, item.Removed)
	if err != nil {
		n.Log.Warn().Err(err).Int64("Revision", item.Revision).Msg("EntryUnreadable")
	}
	if ours {
		k.holders = nil
		n.reportToNewHolder(item.Key)
		return true
	}
	if id, ok := n.Decoder.UpstreamID(item.Key); ok {
		return n.applyUpstream(id, item)
	}
	if dataCentre, ok := n.Decoder.EvacuatedDataCentre(item.Key); ok {
		n.applyEvacuation(dataCentre, !item.Removed, item.Revision)
		return true
	}
	if item.Removed {
		return false
	}
	fact, err := n.Decoder.Decode(item.Key, item.Value)
	if err != nil {
		n.Log.Warn().Err(err).Int64("Revision", item.Revision).Msg("EntryUnreadable")
		return false
	}
	switch f := fact.(type) {
	case traffic.Configuration:
		n.applyConfiguration(f, item.Revision, from)
	case traffic.AdapterVersion:
		n.applyVersion(f, item.Revision)
	}
	return true
}

func (n *Node) applyConfiguration(configuration traffic.Configuration, revision int64, from string) {
	k := &n.knowledge
	if before := k.table.Load(); before != nil && before.Configuration.Version > configuration.Version {
		n.Log.Warn().Int64("Version", configuration.Version).Int64("Revision", revision).Msg("ConfigurationOlder")
		return
	}
	k.table.Store(traffic.NewTable(configuration))
	limits := make(map[string]quota.Limit)
	for _, workspace := range configuration.Workspaces {
		limits[workspace.Name] = quota.Limit{Rate: workspace.Rate, Burst: workspace.Burst}
	}
	n.advice.With(func(a *serve.Advice) {
		a.Pool.Configure(configuration.Services)
		a.Ledger.SetLimits(time.Now(), limits)
	})
	n.Log.Info().Int64("Version", configuration.Version).Int64("Revision", revision).
		Int("Routes", len(configuration.Routes)).Int("Workspaces", len(configuration.Workspaces)).
		Str("From", from).Int64("ConfirmedMillis", n.ConfirmedAge().Milliseconds()).
		Msg("ConfigurationInForce")
}

func (n *Node) applyVersion(version traffic.AdapterVersion, revision int64) {
	k := &n.knowledge
	if k.newest == nil {
		k.newest = make(map[traffic.Adapter]newest)
	}
	if k.newest[version.Adapter].version >= version.Version {
		return
	}
	k.newest[version.Adapter] = newest{version: version.Version, since: time.Now()}
	k.declarations++
	n.Log.Info().Str("Adapter", version.Adapter.String()).Int64("Version", version.Version).
		Int64("Revision", revision).Msg("AdapterVersionDeclared")
}
