package node

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/fleet/replica"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// upstream_entries.go takes over what the store's keys say of upstreams and of the data centres that they are in.

// returnsWithin is how long after an outage the entries of upstreams that lapsed meanwhile are waited for: they write
// again within two seconds if they live.
const returnsWithin = 2300 * time.Millisecond

// applyEvacuation begins or ends the evacuation of a data centre.
func (n *Node) applyEvacuation(dataCentre string, evacuated bool, revision int64) {
	n.advice.With(func(a *serve.Advice) { a.Pool.SetEvacuated(time.Now(), dataCentre, evacuated) })
	n.Log.Info().Str("DataCentre", dataCentre).Bool("Evacuated", evacuated).Int64("Revision", revision).
		Msg("DataCentreEvacuated")
}

// applyUpstream takes an upstream's entry over. Entries lapse while the store is down although their
// upstreams live, so one that is missing around an outage is kept until it had the time to come back.
//
// An entry that only lists what is loaded by now is no news: its holder knows that better and reports it. In a fleet
// of a hundred upstreams such entries come several times in each second, and passed on at once they were a quarter of
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
