package node

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/fleet/replica"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// upstreamsOnly reads entries of upstreams in the form of the domain type.
type upstreamsOnly struct{}

func (upstreamsOnly) Decode(_ string, value []byte) (traffic.Fact, error) {
	var upstream traffic.Upstream
	err := json.Unmarshal(value, &upstream)
	return upstream, err
}

func (upstreamsOnly) UpstreamID(key string) (string, bool) { return key, true }

// Guards against messages for what nobody has to know at once. In a fleet of a hundred upstreams some entry changes
// several times in each second, mostly because an adapter was loaded. An upstream that comes, leaves or goes must be
// known at once: requests go there.
func TestOnlyNewsIsPassedOnAtOnce(t *testing.T) {
	const links = 12
	plain := traffic.Upstream{ID: "u", Service: "s", Address: "10.0.0.1:1", Born: 1}
	loaded := plain
	loaded.Models = []traffic.LoadedModel{{Name: "m", Version: 1}}
	leaving := loaded
	leaving.Draining = true
	reborn := loaded
	reborn.Born = 2
	for _, c := range []struct {
		name   string
		before *traffic.Upstream
		after  *traffic.Upstream
		passed int
	}{
		{"it comes", nil, &plain, links},
		{"it has loaded something", &plain, &loaded, 0},
		{"it leaves", &loaded, &leaving, links},
		{"it was started again", &loaded, &reborn, links},
		{"it is gone", &loaded, nil, links},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			n := nodeAmong(t, links, nil)
			n.Decoder = upstreamsOnly{}
			n.knowledge.replica.Merge(replica.Batch{Snapshot: true, Through: 1})
			if c.before != nil {
				n.merge(change(t, 2, c.before), time.Now(), fromStore)
			}
			asked(n)
			n.merge(change(t, 3, c.after), time.Now(), fromStore)
			is.Equal(asked(n), c.passed)
		})
	}
}

func change(t *testing.T, revision int64, upstream *traffic.Upstream) replica.Batch {
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

// Guards against entries that are passed on to all each time an upstream has loaded something: they were most of what
// relays sent, and changes that matter were late behind them.
func TestOnlyWhatMattersIsPassedOn(t *testing.T) {
	is := is.New(t)
	n := nodeAmong(t, 3, nil)
	n.Decoder = upstreamsOnly{}
	n.knowledge.replica.Merge(replica.Batch{Snapshot: true, Through: 1})
	upstream := traffic.Upstream{ID: "u", Service: "s", Address: "10.0.0.1:1", Born: 1}
	n.merge(change(t, 2, &upstream), time.Now(), fromStore)
	is.Equal(len(n.CatchUp(1).Items), 1)
	upstream.Models = []traffic.LoadedModel{{Name: "m", Version: 1}}
	n.merge(change(t, 3, &upstream), time.Now(), fromStore)
	is.Equal(len(n.CatchUp(1).Items), 1) // the peer does not know the upstream yet
	batch := n.CatchUp(2)
	is.Equal(len(batch.Items), 0)
	is.Equal(batch.Through, int64(3))
	upstream.Draining = true
	n.merge(change(t, 4, &upstream), time.Now(), fromStore)
	is.Equal(len(n.CatchUp(3).Items), 1)
	n.merge(change(t, 5, nil), time.Now(), fromStore)
	is.Equal(len(n.CatchUp(4).Items), 1)
}

func (upstreamsOnly) EvacuatedDataCentre(string) (string, bool) { return "", false }
