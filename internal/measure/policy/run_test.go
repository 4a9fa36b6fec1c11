package policy

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// An operator repeats the measurement to check a page's figures. If two runs differed, no figure could
// be compared with the one before a change.
func TestSameSeedSameResult(t *testing.T) {
	is := is.New(t)
	for _, name := range []string{"poison", "saturated"} {
		for _, load := range Cases() {
			if load.Name != name {
				continue
			}
			v := variants()[0]
			is.Equal(play(load, v, 7), play(load, v, 7))
		}
	}
}

// The invariants hold in a measured run too: nothing runs after its deadline, nothing that serves is
// evicted, and one poisonous request crashes three upstreams at the most.
func TestInvariantsUnderLoad(t *testing.T) {
	tests := []string{"saturated", "poison", "cold"}
	for _, name := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for _, load := range Cases() {
				if load.Name != name {
					continue
				}
				result := play(load, variants()[0], 3)
				is.Equal(result.lateDispatches, 0)
				is.Equal(result.evictedServing, 0)
				is.True(result.crashes <= mostCrashesEach*load.Poison)
				is.True(result.retryShare() <= mostRetries)
			}
		})
	}
}

func TestReportIsWritten(t *testing.T) {
	is := is.New(t)
	report := Report{Results: []Result{{Case: "steady", Policy: nameHellenic, Stalls: 3}}}
	report.Goals = judge(report)
	directory := t.TempDir()
	is.NoErr(plotAll(report, directory))
	plots, err := os.ReadDir(directory)
	is.NoErr(err)
	is.Equal(len(plots), len(measures()))
	is.True(bytes.Contains([]byte(markdown(report, 1)), []byte("| steady |")))
	is.Equal(filepath.Ext(plots[0].Name()), ".png")
}
