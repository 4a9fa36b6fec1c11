package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"lacewingrock.example/lacewingrock/internal/admission/quota"
	"lacewingrock.example/lacewingrock/internal/fleet/replica"
	"lacewingrock.example/lacewingrock/internal/fleet/roster"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// knowledge.go keeps what the instance knows of the store's keys, whoever told it, and hands each change
// to the parts that decide by it.

const (
	// outageGap is how long nobody may have had the store's word until its absence counts as an outage:
	// several reads.
	outageGap = 1500 * time.Millisecond
	// returnsWithin is how long after an outage the entries of upstreams that lapsed meanwhile are
	// waited for: they write again within two seconds if they live.
	returnsWithin = 2300 * time.Millisecond
	// versionRequiredAfter is how long requests may still begin on the version before the newest. It
	// gives upstreams time to replace it, and ends well before the five seconds that operators allow.
	versionRequiredAfter = 2500 * time.Millisecond
)

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

// merge takes a batch in that came from the store or a peer, and tells whether it joined what was known.
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

// confirm notes that the store vouched for what is known; the lock is held.
func (n *Node) confirm(at time.Time) {
	k := &n.knowledge
	before := k.confirmed.last()
	if !at.After(before) {
		return
	}
	if gap := at.Sub(before); !before.IsZero() && gap > outageGap {
		outage := n.wasOutage(before)
		if outage {
			k.returned = time.Now()
		}
		n.Log.Warn().Int64("GapMillis", gap.Milliseconds()).Bool("Outage", outage).Msg("StoreReturned")
	}
	k.confirmed.set(at)
}

// wasOutage tells whether the store was away for the fleet since its last word, and not for this instance or for the
// one that read for all: at least half of the instances have failed to read it.
//
// Made for a reader that the store turns away, or whose way there is cut. The next instance begins to read some time
// later, so that nobody had the store's word for a while. Taken for an outage, the removal of an upstream's entry
// would be put down to it, and requests would be sent to an upstream that left two seconds ago and is gone by now.
func (n *Node) wasOutage(since time.Time) bool {
	away, heard := n.overlay.storeFailedSince(since)
	if n.storeFailed.Load() >= since.UnixNano() {
		away++
	}
	return 2*away >= heard+1
}

func (n *Node) signal() {
	select {
	case n.knowledge.wake <- struct{}{}:
	default: // a wake-up is already due
	}
}

// apply hands one change on; the lock is held. It tells whether that is news which others should hear at once, and
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

// applyEvacuation begins or ends the evacuation of a data centre.
func (n *Node) applyEvacuation(dataCentre string, evacuated bool, revision int64) {
	n.advice.With(func(a *serve.Advice) { a.Pool.SetEvacuated(time.Now(), dataCentre, evacuated) })
	n.Log.Info().Str("DataCentre", dataCentre).Bool("Evacuated", evacuated).Int64("Revision", revision).
		Msg("DataCentreEvacuated")
}

// applyUpstream takes an upstream's entry over. Entries lapse while the store is away although their
// upstreams live, so one that is missing around an outage is kept until it had the time to come back.
//
// An entry that only tells what is loaded by now is no news: its holder knows that better and tells it. In a fleet
// of a hundred upstreams such entries come several times in each second, and told at once they were a quarter of
// all messages between instances.
func (n *Node) applyUpstream(id string, item replica.Item) (news bool) {
	k := &n.knowledge
	if item.Removed {
		if time.Since(k.returned) < returnsWithin {
			if k.lapsed == nil {
				k.lapsed = make(map[string]time.Time)
			}
			k.lapsed[id] = k.returned.Add(returnsWithin)
			return true
		}
		n.forgetUpstream(id, "removed", item.Revision)
		return true
	}
	delete(k.lapsed, id)
	fact, err := n.Decoder.Decode(item.Key, item.Value)
	upstream, ok := fact.(traffic.Upstream)
	if err != nil || !ok {
		n.Log.Warn().Err(err).Str("Upstream", id).Int64("Revision", item.Revision).Msg("EntryUnreadable")
		n.forgetUpstream(id, "unreadable", item.Revision)
		return true
	}
	var before traffic.Upstream
	known := false
	n.advice.With(func(a *serve.Advice) {
		before, known = a.Pool.Upstream(id)
		a.Pool.Declare(time.Now(), upstream)
	})
	news = !known || before.Draining != upstream.Draining || before.Born != upstream.Born ||
		before.Address != upstream.Address || before.Service != upstream.Service ||
		(before.ColdFor > 0) != (upstream.ColdFor > 0)
	if news {
		n.Log.Info().Str("Upstream", id).Str("Service", upstream.Service).Str("Address", upstream.Address).
			Bool("Draining", upstream.Draining).Int64("ColdMillis", upstream.ColdFor.Milliseconds()).
			Int64("Revision", item.Revision).Msg("UpstreamDeclared")
	}
	return news
}

func (n *Node) forgetUpstream(id, why string, revision int64) {
	n.advice.With(func(a *serve.Advice) { a.Pool.Forget(id) })
	n.Log.Info().Str("Upstream", id).Str("Why", why).Int64("Revision", revision).Msg("UpstreamGone")
}

// forgetLapsed drops the upstreams that have not come back after an outage.
func (n *Node) forgetLapsed(now time.Time) {
	k := &n.knowledge
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for id, until := range k.lapsed {
		if now.After(until) {
			delete(k.lapsed, id)
			n.forgetUpstream(id, "lapsed", k.replica.Revision())
		}
	}
}

// ---------------------------------------------------------------------------------------------

const (
	// tick is how often duties without an event of their own are looked at.
	tick = 200 * time.Millisecond
	// silentBeats is how many heartbeats of a peer may be missing until its part of the rates is reserved.
	silentBeats = 3
	// peersEvery is how often the ledger's peers are gone through while the roster does not change.
	peersEvery = time.Second
	// goneFor is how long an instance that left the roster keeps its part of the rates: it may be cut off
	// from the store and the others, and still admit for its callers.
	goneFor = 20 * time.Second
)

// runTicks does what only time brings about.
func (n *Node) runTicks(ctx context.Context) error {
	for pause(ctx, tick) {
		now := time.Now()
		n.forgetLapsed(now)
		n.tellPeers(now)
		n.keepConnections()
		n.keepPeerConnections()
		n.scope.Gauge("confirmed_age_seconds").Update(n.ConfirmedAge().Seconds())
		if dropped := n.Dropped(); dropped > 0 {
			n.Log.Error().Int("Events", dropped).Msg("LogDropped")
		}
	}
	return nil
}

// tellPeers tells the ledger which other instances may be admitting.
func (n *Node) tellPeers(now time.Time) {
	k := &n.knowledge
	k.mutex.Lock()
	instances := k.roster.Instances()
	if now.Sub(k.peersSet) < peersEvery && isSameList(instances, k.peers) {
		k.mutex.Unlock()
		return
	}
	k.peersSet = now
	k.peers = instances
	if k.gone == nil {
		k.gone = make(map[string]time.Time)
	}
	for _, instance := range instances {
		if instance.Name != n.self.Name {
			k.gone[instance.Name] = now
		}
	}
	var names []string
	for name, seen := range k.gone {
		if now.Sub(seen) > goneFor {
			delete(k.gone, name)
			continue
		}
		names = append(names, name)
	}
	k.mutex.Unlock()
	n.shareLimits(len(names))
	silentAfter := silentBeats * n.overlay.pace()
	n.advice.With(func(a *serve.Advice) {
		a.Ledger.SilentAfter = silentAfter
		a.Ledger.SetPeers(now, names)
	})
}

// isSameList tells whether two lists of the roster are one, which it gives as long as nothing changes.
func isSameList(a, b []roster.Instance) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// keepConnections drops the connections to upstreams that are gone.
func (n *Node) keepConnections() {
	ids := make(map[string]bool)
	n.advice.With(func(a *serve.Advice) {
		for _, upstream := range a.Pool.Upstreams() {
			ids[upstream.ID] = true
		}
	})
	n.forward.Keep(ids)
}
