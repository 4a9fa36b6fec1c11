package node_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/entry/node"
)

// platformValues are the platform fields that the template uses, with the values of a real instance.
var platformValues = map[string]string{
	"node-name":              "edge-kgn-1",
	"zone":                   "kgn",
	"ip":                     "10.1.0.25",
	"listen.frontend":        "10.1.0.25:8221",
	"listen.ready":           "10.1.0.25:8224",
	"internal-ports.0":       "7600",
	"platform.address":       "10.200.1.7:8225",
	"bounds.fence-checked":   "true",
	"bounds.lease-ms":        "3000",
	"bounds.config-apply-ms": "3000",
	"bounds.grace-s":         "8",
	"bounds.retry-ratio":     "0.2",
	"bounds.retry-slack":     "54",
	"contracts":              "base,quota,pressure",
	"limits.memory-mb":       "184",
}

func rendered(t *testing.T) string {
	t.Helper()
	template, err := os.ReadFile("../../../deploy/settings.ini")
	if err != nil {
		t.Fatal(err)
	}
	return regexp.MustCompile(`{{([^}]*)}}`).ReplaceAllStringFunc(string(template), func(name string) string {
		value, found := platformValues[strings.Trim(name, "{}")]
		if !found {
			t.Errorf("template uses the unknown platform field %s", name)
		}
		return value
	})
}

func load(t *testing.T, content string) (node.Settings, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.ini")
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return node.LoadSettings(file)
}

// Guards against a difference between two files, the template of the deployment and the settings of the program. One
// wrong name would keep every instance from starting.
func TestDeployedTemplateIsValid(t *testing.T) {
	is := is.New(t)
	settings, err := load(t, rendered(t))
	is.NoErr(err)
	is.Equal(settings.Instance.Name, "edge-kgn-1")
	is.Equal(settings.Instance.PeerAddress, "10.1.0.25:7600")
	is.Equal(settings.Platform.StoreAddress, "10.200.1.7:8225")
	is.True(settings.Upstreams.FencesChecked)
	is.Equal(settings.Callers.ChangeWithin, 3*time.Second)
	is.Equal(settings.Callers.StopTime(), 7*time.Second)
	is.Equal(settings.Retries.Slack, 54.0)
	is.Equal(settings.Platform.Contracts, "base,quota,pressure")
	is.Equal(settings.Memory.LimitMB, int64(184))
}

// Guards against a feature that takes effect where neither the settings nor the platform's contracts call for it, or that
// settings cannot switch.
func TestSwitchesFollowTheContracts(t *testing.T) {
	tests := []struct {
		name     string
		setting  string
		pressure bool
		on       bool
	}{
		{"called for", "", true, true},
		{"not called for", "", false, false},
		{"set on", "[Admission]\nContention = on\n", false, true},
		{"set off", "[Admission]\nContention = off\n", true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			settings, err := load(t, rendered(t)+"\n"+test.setting)
			is.NoErr(err)
			settings = settings.WithContracts(test.pressure)
			is.Equal(settings.Admission.Contention.IsOn(), test.on)
			is.Equal(settings.Memory.Account.IsOn(), test.pressure)
			is.True(!settings.Memory.UpstreamBound.IsOn()) // only set: engines preempt requests where tokens exceed their memory
		})
	}
}

func TestInvalidSettingsNameTheField(t *testing.T) {
	tests := []struct{ name, from, to, want string }{
		{"missing", "Name = edge-kgn-1\n", "", "[Instance] Name: is missing"},
		{"empty", "DataCentre = kgn", "DataCentre =", "[Instance] DataCentre: is empty"},
		{"unknown", "DataCentre = kgn", "DataCentre = kgn\nDataCenter = x", "[Instance] DataCenter: unknown name"},
		{"no address", "10.200.1.7:8225", "store", "[Platform] StoreAddress:"},
		{"no number", "Slack = 54", "Slack = many", "[Retries] Slack:"},
		{"out of bounds", "Ratio = 0.2", "Ratio = -1", "[Retries] Ratio:"},
		{"no switch", "[Platform]", "[Admission]\nContention = perhaps\n\n[Platform]", "[Admission] Contention:"},
		{"no memory", "LimitMB = 184", "LimitMB = -1", "[Memory] LimitMB:"},
		{"neither true nor false", "FencesChecked = true", "FencesChecked = perhaps", "[Upstreams] FencesChecked:"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			_, err := load(t, strings.Replace(rendered(t), test.from, test.to, 1))
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), test.want))
		})
	}
}
