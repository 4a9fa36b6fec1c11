package node

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/fleet/replica"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// upstreamDecoder decodes entries of upstreams in the form of the domain type.
type upstreamDecoder struct{}

func (upstreamDecoder) Decode(_ string, value []byte) (traffic.Declaration, error) {
	var upstream traffic.Upstream
	err := json.Unmarshal(value, &upstream)
	return upstream, err
}

func (upstreamDecoder) UpstreamID(key string) (string, bool) { return key, true }

// Guards against immediate messages for changes that are not urgent. In a fleet of a hundred upstreams some entry
// changes several times a second, mostly because an adapter was loaded. An upstream that is added, starts draining or
// is removed must be sent immediately, because requests are sent to it.
func TestOnlyNewsIsPassedOnAtOnce(t *testing.T) {
	const links = 12
	plain := traffic.Upstream{ID: "u", Service: "s", Address: "10.0.0.1:1", StartedMillis: 1}
	loaded := plain
	loaded.Models = []traffic.LoadedModel{{Name: "m", Version: 1}}
	draining := loaded
	draining.Draining = true
	restarted := loaded
	restarted.StartedMillis = 2
	for _, c := range []struct {
		name     string
		previous *traffic.Upstream
		after    *traffic.Upstream
		messages int
	}{
		{"added", nil, &plain, links},
		{"model loaded", &plain, &loaded, 0},
		{"draining", &loaded, &draining, links},
		{"restarted", &loaded, &restarted, links},
		{"removed", &loaded, nil, links},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			n := nodeWithPeers(t, links, nil)
			n.Decoder = upstreamDecoder{}
			n.view.replica.Merge(replica.Batch{Snapshot: true, Through: 1})
			if c.previous != nil {
				n.merge(upstreamChange(t, 2, c.previous), time.Now(), sourceStore)
			}
			pendingLinks(n)
			n.merge(upstreamChange(t, 3, c.after), time.Now(), sourceStore)
			is.Equal(pendingLinks(n), c.messages)
		})
	}
}

func upstreamChange(t *testing.T, revision int64, upstream *traffic.Upstream) replica.Batch {
	t.Helper()
	item := replica.Item{Key: "u", Revision: revision, Removed: upstream == nil}
	if upstream != nil {
		value, err := json.Marshal(upstream)
		if err != nil {
			t.Fatal(err)
		}
		item.Value = value
	}
	return replica.Batch{After: 1, Through: revision, Items: []replica.Item{item}}
}

// Guards against entries that are relayed to all instances each time an upstream has loaded a model. They were most of
// the traffic of relays, and delayed the changes that matter.
func TestCatchUpOmitsNonUrgentChanges(t *testing.T) {
	is := is.New(t)
	n := nodeWithPeers(t, 3, nil)
	n.Decoder = upstreamDecoder{}
	n.view.replica.Merge(replica.Batch{Snapshot: true, Through: 1})
	upstream := traffic.Upstream{ID: "u", Service: "s", Address: "10.0.0.1:1", StartedMillis: 1}
	n.merge(upstreamChange(t, 2, &upstream), time.Now(), sourceStore)
	is.Equal(len(n.CatchUp(1).Items), 1)
	upstream.Models = []traffic.LoadedModel{{Name: "m", Version: 1}}
	n.merge(upstreamChange(t, 3, &upstream), time.Now(), sourceStore)
	is.Equal(len(n.CatchUp(1).Items), 1) // the peer does not have the upstream yet
	batch := n.CatchUp(2)
	is.Equal(len(batch.Items), 0)
	is.Equal(batch.Through, int64(3))
	upstream.Draining = true
	n.merge(upstreamChange(t, 4, &upstream), time.Now(), sourceStore)
	is.Equal(len(n.CatchUp(3).Items), 1)
	n.merge(upstreamChange(t, 5, nil), time.Now(), sourceStore)
	is.Equal(len(n.CatchUp(4).Items), 1)
}

func (upstreamDecoder) EvacuatedDataCentre(string) (string, bool) { return "", false }
