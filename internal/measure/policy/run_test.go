package policy

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// Repeated runs with the same seed must give the same figures. Otherwise an operator could not verify a page's
// figures, or compare them with those before a change.
func TestSameSeedSameResult(t *testing.T) {
	is := is.New(t)
	for _, name := range []string{"poison", "saturated"} {
		for _, load := range Cases() {
			if load.Name != name {
				continue
			}
			v := variants()[0]
			is.Equal(simulate(load, v, 7), simulate(load, v, 7))
		}
	}
}

// The invariants must hold in a measured run too: no request is dispatched after its deadline, no serving
// version is evicted, and one poison request crashes at most three upstreams.
func TestInvariantsUnderLoad(t *testing.T) {
	tests := []string{"saturated", "poison", "cold"}
	for _, name := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for _, load := range Cases() {
				if load.Name != name {
					continue
				}
				result := simulate(load, variants()[0], 3)
				is.Equal(result.lateDispatches, 0)
				is.Equal(result.evictedServing, 0)
				is.True(result.crashes <= maxCrashesPerPoison*load.Poison)
				is.True(result.retryShare() <= maxRetryShare)
			}
		})
	}
}

func TestReportIsWritten(t *testing.T) {
	is := is.New(t)
	report := Report{Results: []Result{{Case: "steady", Policy: nameHellenic, Stalls: 3}}}
	report.Goals = evaluateGoals(report)
	directory := t.TempDir()
	is.NoErr(plotAll(report, directory))
	plots, err := os.ReadDir(directory)
	is.NoErr(err)
	is.Equal(len(plots), len(measures()))
	is.True(bytes.Contains([]byte(markdown(report, 1)), []byte("| steady |")))
	is.Equal(filepath.Ext(plots[0].Name()), ".png")
}
