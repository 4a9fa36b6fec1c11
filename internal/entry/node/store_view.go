package node

import (
	"sync"
	"sync/atomic"
	"time"

	"lacewingrock.example/lacewingrock/internal/admission/quota"
	"lacewingrock.example/lacewingrock/internal/fleet/crashrecord"
	"lacewingrock.example/lacewingrock/internal/fleet/originrecord"
	"lacewingrock.example/lacewingrock/internal/fleet/replica"
	"lacewingrock.example/lacewingrock/internal/fleet/roster"
	"lacewingrock.example/lacewingrock/internal/fleet/softwarerecord"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// store_view.go keeps the replicated state of the store, from the store itself or from peers, and passes each change to
// the components that depend on it.

// versionRequiredAfter is how long requests may still start on the version before the newest one. It gives upstreams
// time to load the new version, and ends well before the five seconds that operators allow.
const versionRequiredAfter = 2500 * time.Millisecond

type storeView struct {
	wake chan struct{}

	mutex   sync.Mutex
	replica replica.Replica
	roster  roster.Roster
	// urgentRevision is the revision of the last change that all instances need immediately.
	urgentRevision int64
	// relayRevisions is the revision of the last change of each key that other instances may need.
	relayRevisions map[string]int64
	// entries are the declarations in the entries of upstreams, as the store has them. The pool is no substitute: reports
	// and grace periods change it too.
	entries map[string]traffic.Upstream
	// confirmed is set with the lock held.
	confirmed confirmation
	// reader: this instance had rank 0 among readerCandidates when the ranks were last computed, so it reads the store.
	reader           bool
	readerCandidates []roster.Instance
	// outageEnded is when the last outage ended.
	outageEnded time.Time
	newest      map[traffic.Adapter]declaredVersion
	// declarations counts the changes of newest.
	declarations int
	// expired contains the upstreams whose entries expired around an outage.
	expired map[string]time.Time
	// silentClaims is the fencing token of each upstream whose holder counted as silent when it became the holder.
	silentClaims map[string]int64
	// holders caches the result of liveHolders. It is nil from a change of the roster until the next use.
	holders map[string]string
	// ledgerPeers is when each instance was last in the roster. An instance that left recently keeps its share of the
	// rates. ledgerPeersUpdated is when the map was last updated, from the list ledgerRoster.
	ledgerPeers        map[string]time.Time
	ledgerPeersUpdated time.Time
	ledgerRoster       []roster.Instance

	table atomic.Pointer[traffic.Table]
	// formerRoutes are routes of streams that were removed.
	formerRoutes traffic.FormerRoutes
}

type declaredVersion struct {
	version int64
	since   time.Time
}

// Table returns the configuration in force, or nil if none has been received.
func (n *Node) Table() *traffic.Table { return n.view.table.Load() }

// NewestVersion returns the newest declared version of an adapter, and until when requests may begin to run on an older one.
func (n *Node) NewestVersion(adapter traffic.Adapter) (version int64, olderUntil time.Time) {
	v := &n.view
	v.mutex.Lock()
	defer v.mutex.Unlock()
	known := v.newest[adapter]
	return known.version, known.since.Add(versionRequiredAfter)
}

// liveHolders returns the instance that holds each upstream, if that instance is in the roster. The returned map is
// never modified, because it is read at each heartbeat.
func (v *storeView) liveHolders() map[string]string {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.holders != nil {
		return v.holders
	}
	v.holders = make(map[string]string)
	for _, holder := range v.roster.Holders() {
		if _, live := v.roster.Instance(holder.Instance); live {
			v.holders[holder.Upstream] = holder.Instance
		}
	}
	return v.holders
}

// newestSince returns the newest declared versions if any changed since the given count of changes, and the current
// count.
func (v *storeView) newestSince(declarations int) (versions map[traffic.Adapter]int64, current int) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if declarations == v.declarations {
		return nil, declarations
	}
	versions = make(map[traffic.Adapter]int64, len(v.newest))
	for adapter, newest := range v.newest {
		versions[adapter] = newest.version
	}
	return versions, v.declarations
}

// sourceStore is the source of changes that this instance read itself.
const sourceStore = "store"

// merge merges a batch that came from the store or a peer, and reports whether it was contiguous with the replicated
// state.
func (n *Node) merge(batch replica.Batch, confirmed time.Time, source string) bool {
	v := &n.view
	v.mutex.Lock()
	defer v.mutex.Unlock()
	n.confirm(confirmed)
	if v.relayRevisions == nil {
		v.relayRevisions = make(map[string]int64)
	}
	changed, contiguous := v.replica.Merge(batch)
	if !contiguous {
		return false
	}
	complete := source == sourceStore && !batch.Snapshot
	urgent := false
	configured := v.table.Load() != nil
	for _, item := range changed {
		if _, ok := originrecord.InstanceOf(item.Key); ok {
			continue
		}
		relayed := n.apply(item, source)
		if relayed == relayNone && !complete {
			relayed = relayNow // a change in between may be missing here that another instance has
		}
		if relayed != relayNone {
			v.relayRevisions[item.Key] = item.Revision
		}
		if relayed == relayNow {
			urgent = true
			v.urgentRevision = max(v.urgentRevision, item.Revision)
		}
		n.recordHolderChange(item, complete, batch.Snapshot)
	}
	n.heldUpstreams.turns.setSeen(v.replica.Revision())
	if !complete { // an instance that gets change by change has been running, and peers keep the records
		n.restoreOrigins(changed)
	}
	if !configured && v.table.Load() != nil {
		n.updateLedgerPeers(time.Now()) // the ledger grants nothing before
	}
	if urgent {
		n.wakeOwnership()
		n.overlay.requestMessages(false)
	}
	return true
}

func (n *Node) wakeOwnership() {
	select {
	case n.view.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// relay is how a change of the store is relayed to the other instances. It follows from the entry and the one before it
// in the store alone, and not from anything else that an instance knows: others may know something else.
type relay int

const (
	// relayNone: no other instance needs the change.
	relayNone relay = iota
	// relayLater: an instance that lacks the change gets it with the next batch.
	relayLater
	// relayNow: all instances need the change immediately.
	relayNow
)

// apply passes one change on to the components that depend on it. The caller holds the lock.
func (n *Node) apply(item replica.Item, source string) relay {
	v := &n.view
	fleetKey, err := v.roster.Apply(item.Key, item.Value, item.Revision, item.Removed)
	if err != nil {
		n.Log.Warn().Err(err).Int64("Revision", item.Revision).Msg("EntryUnreadable")
	}
	if fleetKey {
		v.holders = nil
		n.reportToNewHolder(item.Key)
		return relayNow
	}
	if fingerprint, ok := crashrecord.FingerprintOf(item.Key); ok {
		n.applyCrashRecord(fingerprint, item)
		return relayLater // the links carry it as well, but a peer that lacks it could not write the record
	}
	if service, ok := softwarerecord.ServiceOf(item.Key); ok {
		n.applySoftwareRecord(service, item)
		return relayNow // an instance that is cut off from the store must not prove less than the others know
	}
	if id, ok := n.Decoder.UpstreamID(item.Key); ok {
		return n.applyUpstream(id, item)
	}
	if dataCentre, ok := n.Decoder.EvacuatedDataCentre(item.Key); ok {
		n.applyEvacuation(dataCentre, !item.Removed, item.Revision)
		return relayNow
	}
	if item.Removed {
		return relayLater
	}
	declaration, err := n.Decoder.Decode(item.Key, item.Value)
	if err != nil {
		n.Log.Warn().Err(err).Int64("Revision", item.Revision).Msg("EntryUnreadable")
		return relayLater
	}
	switch d := declaration.(type) {
	case traffic.Configuration:
		n.applyConfiguration(d, item.Revision, source)
	case traffic.AdapterVersion:
		n.applyVersion(d, item.Revision)
	}
	return relayNow
}

func (n *Node) applyConfiguration(configuration traffic.Configuration, revision int64, source string) {
	v := &n.view
	if previous := v.table.Load(); previous != nil && previous.Configuration.Version > configuration.Version {
		n.Log.Warn().Int64("Version", configuration.Version).Int64("Revision", revision).Msg("StaleConfigurationIgnored")
		return
	}
	previous := traffic.Configuration{}
	if table := v.table.Load(); table != nil {
		previous = table.Configuration
	}
	v.table.Store(traffic.NewTable(configuration))
	limits := make(map[string]quota.Limit)
	for _, workspace := range configuration.Workspaces {
		limits[workspace.Name] = quota.Limit{Rate: workspace.Rate, Burst: workspace.Burst}
	}
	now := time.Now()
	n.origins.setLifetime(now, configuration.StreamLifetime())
	lifetime := n.updateStreamLifetime(now)
	shared := configuration.SharedServices(v.formerRoutes.Before(now, previous))
	v.formerRoutes = v.formerRoutes.With(now, lifetime, previous, configuration)
	n.sharedState.WithLock(func(state *serve.SharedState) {
		state.Pool.Configure(configuration.Services)
		state.Pool.RecordSharedServices(now, shared)
		state.Ledger.SetLimits(now, limits)
	})
	n.Log.Info().Int64("Version", configuration.Version).Int64("Revision", revision).
		Int("Routes", len(configuration.Routes)).Int("Workspaces", len(configuration.Workspaces)).
		Int64("StreamLifetimeMillis", lifetime.Milliseconds()).
		Str("From", source).Int64("ConfirmedMillis", n.ConfirmedAge().Milliseconds()).
		Msg("ConfigurationInForce")
}

func (n *Node) applyVersion(version traffic.AdapterVersion, revision int64) {
	v := &n.view
	if v.newest == nil {
		v.newest = make(map[traffic.Adapter]declaredVersion)
	}
	if v.newest[version.Adapter].version >= version.Version {
		return
	}
	v.newest[version.Adapter] = declaredVersion{version: version.Version, since: time.Now()}
	v.declarations++
	n.Log.Info().Str("Adapter", version.Adapter.String()).Int64("Version", version.Version).
		Int64("Revision", revision).Msg("AdapterVersionDeclared")
}
