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

// In a fleet of a hundred upstreams some entry changes several times in each second, mostly because an adapter was
// loaded. If each of these were told at once, by all who hear of it, the messages would take a quarter of the time
// that small instances have. An upstream that comes, leaves or goes must be told at once: requests go there.
func TestOnlyNewsIsToldAtOnce(t *testing.T) {
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
		told   int
	}{
		{"it comes", nil, &plain, spreadTo},
		{"it has loaded something", &plain, &loaded, 0},
		{"it leaves", &loaded, &leaving, spreadTo},
		{"it was started again", &loaded, &reborn, spreadTo},
		{"it is gone", &loaded, nil, spreadTo},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			n := member(t, 80, nil)
			n.Decoder = upstreamsOnly{}
			n.knowledge.replica.Merge(replica.Batch{Snapshot: true, Through: 1})
			if c.before != nil {
				n.merge(change(t, 2, c.before), time.Now())
			}
			for _, loop := range n.beats.peers {
				loop.news = make(chan struct{}, 1)
			}
			n.merge(change(t, 3, c.after), time.Now())
			is.Equal(len(told(&n.beats)), c.told)
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
