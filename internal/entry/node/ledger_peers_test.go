package node

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/fleet/replica"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/retry"
)

// configurationDecoder decodes each item as a configuration.
type configurationDecoder struct{}

func (configurationDecoder) Decode(_ string, value []byte) (traffic.Declaration, error) {
	var configuration traffic.Configuration
	err := json.Unmarshal(value, &configuration)
	return configuration, err
}

func (configurationDecoder) UpstreamID(string) (string, bool) { return "", false }

func (configurationDecoder) EvacuatedDataCentre(string) (string, bool) { return "", false }

// Guards against an instance that has just started and serves before its ledger knows the others: it would grant the whole
// rate for itself, or nothing at all.
func TestLedgerKnowsTheOthersWithTheFirstConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const others = 7
		is := is.New(t)
		n := nodeWithPeers(t, others, nil)
		n.Decoder = configurationDecoder{}
		n.current.Store(&Settings{})
		n.sharedState.Retries = &retry.Budgets{}
		n.view.replica.Merge(replica.Batch{Snapshot: true, Through: others})
		value, err := json.Marshal(traffic.Configuration{Version: 1, Workspaces: []traffic.Workspace{{Name: "w", Rate: 100, Burst: 100}}})
		is.NoErr(err)
		item := replica.Item{Key: "configuration", Revision: others + 1, Value: value}
		is.True(n.merge(replica.Batch{After: others, Through: others + 1, Items: []replica.Item{item}}, time.Now(), sourceStore))
		is.Equal(n.sharedState.Pool.Settings.LiveInstances, others+1)
		time.Sleep(10 * time.Millisecond)
		n.sharedState.WithLock(func(state *serve.SharedState) {
			_, admitted := state.Ledger.Admit(time.Now(), "w", 1)
			is.True(admitted)
		})
	})
}
