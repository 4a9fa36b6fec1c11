package node

import (
	"reflect"
	"time"

	"lacewingrock.example/lacewingrock/internal/fleet/replica"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// upstream_entries.go applies the store entries of upstreams and of the data centres that they are in.

// entryGracePeriod is how long after an outage the expired entries of upstreams are kept: upstreams that are alive
// write their entry again within two seconds.
const entryGracePeriod = 2300 * time.Millisecond

// expiryConfirmedWithin is the age of the last confirmation of the store beyond which the store may be away. It is longer than
// a watch.
const expiryConfirmedWithin = 900 * time.Millisecond

// extendGracePeriods gives the upstreams whose entries expired around the outage before the time to write it after this one.
func (v *storeView) extendGracePeriods() {
	for id := range v.expired {
		v.expired[id] = v.outageEnded.Add(entryGracePeriod)
	}
}

// applyEvacuation begins or ends the evacuation of a data centre.
func (n *Node) applyEvacuation(dataCentre string, evacuated bool, revision int64) {
	n.sharedState.WithLock(func(state *serve.SharedState) { state.Pool.SetEvacuated(time.Now(), dataCentre, evacuated) })
	n.Log.Info().Str("DataCentre", dataCentre).Bool("Evacuated", evacuated).Int64("Revision", revision).
		Msg("DataCentreEvacuated")
}

// applyUpstream applies the entry of an upstream. Entries expire while the store is down although their upstreams are
// alive. An entry that is missing around an outage is therefore kept until the upstream has had time to write it again.
func (n *Node) applyUpstream(id string, item replica.Item) relay {
	v := &n.view
	if item.Removed {
		delete(v.entries, id)
		if time.Since(v.outageEnded) < entryGracePeriod {
			if v.expired == nil {
				v.expired = make(map[string]time.Time)
			}
			v.expired[id] = v.outageEnded.Add(entryGracePeriod)
			return relayNow
		}
		n.removeUpstream(id, "removed", item.Revision)
		return relayNow
	}
	delete(v.expired, id)
	declaration, err := n.Decoder.Decode(item.Key, item.Value)
	upstream, ok := declaration.(traffic.Upstream)
	if err != nil || !ok {
		n.Log.Warn().Err(err).Str("Upstream", id).Int64("Revision", item.Revision).Msg("EntryUnreadable")
		delete(v.entries, id)
		n.removeUpstream(id, "unreadable", item.Revision)
		return relayNow
	}
	relayed := v.setEntry(id, upstream)
	n.declareUpstream(id, upstream)
	if relayed == relayNow {
		n.Log.Info().Str("Upstream", id).Str("Service", upstream.Service).Str("Address", upstream.Address).
			Str("Software", upstream.Software).
			Bool("Draining", upstream.Draining).Int64("ColdMillis", upstream.ColdRemaining.Milliseconds()).
			Int64("Revision", item.Revision).Msg("UpstreamDeclared")
	}
	return relayed
}

// setEntry replaces the entry of an upstream.
func (v *storeView) setEntry(id string, upstream traffic.Upstream) relay {
	if v.entries == nil {
		v.entries = make(map[string]traffic.Upstream)
	}
	previous, found := v.entries[id]
	v.entries[id] = relayedFields(upstream)
	if found && reflect.DeepEqual(previous, v.entries[id]) {
		return relayNone
	}
	return relayNow
}

// relayedFields returns an entry without what other instances do not need of it.
//
// An entry that only changes the list of loaded models is not relayed: the holder of the upstream has more recent
// information and sends it. In a fleet of a hundred upstreams such entries arrive several times a second. Sent
// immediately, they were a quarter of all messages between instances. A cold upstream writes a shorter time with each
// entry, which the others count down themselves.
func relayedFields(upstream traffic.Upstream) traffic.Upstream {
	upstream.Models = nil
	upstream.ColdRemaining = min(upstream.ColdRemaining, 1)
	return upstream
}

func (n *Node) declareUpstream(id string, upstream traffic.Upstream) {
	previous, known := n.declaredUpstream(id)
	n.sharedState.WithLock(func(state *serve.SharedState) { state.Suspects.RecordAlive(time.Now(), upstream.Life()) })
	if known {
		n.recordNextLife(previous, &upstream)
	}
	n.sharedState.WithLock(func(state *serve.SharedState) { state.Pool.Declare(time.Now(), upstream) })
}

func (n *Node) removeUpstream(id, reason string, revision int64) {
	if previous, known := n.declaredUpstream(id); known {
		n.recordNextLife(previous, nil)
	}
	n.sharedState.WithLock(func(state *serve.SharedState) { state.Pool.Remove(time.Now(), id) })
	n.Log.Info().Str("Upstream", id).Str("Why", reason).Int64("Revision", revision).Msg("UpstreamGone")
}

// removeExpired removes the upstreams that have not written their entry again after an outage. None is removed while the store
// may be away again: until it returns, nobody can write an entry.
func (n *Node) removeExpired(now time.Time) {
	v := &n.view
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.confirmed.age(now) > expiryConfirmedWithin {
		return
	}
	for id, until := range v.expired {
		if now.After(until) {
			delete(v.expired, id)
			n.removeUpstream(id, "lapsed", v.replica.Revision())
		}
	}
}
