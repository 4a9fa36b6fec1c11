package settings

import (
	"encoding/hex"
	"strings"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/entry/inifile"
)

// This file declares every setting once: section, name, default, bounds and target field. Parsing,
// validation and the help text all use this list.

// fields lists every setting in the order of the help text.
func fields() []inifile.Field[Settings] {
	return []inifile.Field[Settings]{
		{
			Section: "Instance", Name: "Name", Required: true,
			Help: "name of the instance, the same after a restart",
			Set:  inifile.String(func(s *Settings) *string { return &s.Instance.Name }),
		},
		{
			Section: "Instance", Name: "DataCentre", Required: true,
			Help: "data centre the instance is in",
			Set:  inifile.String(func(s *Settings) *string { return &s.Instance.DataCentre }),
		},
		{
			Section: "Instance", Name: "CallerAddress", Required: true,
			Help: "IP and port for callers; port 0 takes a free one",
			Set:  inifile.Address(func(s *Settings) *string { return &s.Instance.CallerAddress }),
		},
		{
			Section: "Instance", Name: "OperatorAddress", Required: true,
			Help: "IP and port for operators, metrics and probes",
			Set:  inifile.Address(func(s *Settings) *string { return &s.Instance.OperatorAddress }),
		},
		{
			Section: "Instance", Name: "PeerAddress", Required: true,
			Help: "IP and port for the other instances",
			Set:  inifile.Address(func(s *Settings) *string { return &s.Instance.PeerAddress }),
		},
		{
			Section: "Platform", Name: "StoreAddress", Required: true,
			Help: "IP and port of the key-value store",
			Set:  inifile.Address(func(s *Settings) *string { return &s.Platform.StoreAddress }),
		},
		{
			Section: "Platform", Name: "ListAddress", Required: true,
			Help: "IP and port of the instance list",
			Set:  inifile.Address(func(s *Settings) *string { return &s.Platform.ListAddress }),
		},
		{
			Section: "Platform", Name: "StoreTimeout", Default: "1s",
			Help: "longest wait for an answer of the store",
			Set: inifile.Duration(10*time.Millisecond, time.Minute,
				func(s *Settings) *time.Duration { return &s.Platform.StoreTimeout }),
		},
		{
			Section: "Operators", Name: "TokenHashes", Required: true,
			Help: "SHA-256 of each operator's token in hex, separated by commas",
			Set:  tokenHashes(func(s *Settings) *[]string { return &s.Operators.TokenHashes }),
		},
		{
			Section: "Peers", Name: "Certificate",
			Help: "file with this instance's certificate (PEM)",
			Set:  inifile.String(func(s *Settings) *string { return &s.Peers.Certificate }),
		},
		{
			Section: "Peers", Name: "Key",
			Help: "file with this instance's private key (PEM)",
			Set:  inifile.String(func(s *Settings) *string { return &s.Peers.Key }),
		},
		{
			Section: "Peers", Name: "Authority",
			Help: "file with the certificates that sign the instances' (PEM)",
			Set:  inifile.String(func(s *Settings) *string { return &s.Peers.Authority }),
		},
		{
			Section: "Freshness", Name: "Bound", Default: "3s",
			Help: "how long an instance may act on what it last confirmed; a withdrawn key stops within this",
			Set: inifile.Duration(500*time.Millisecond, time.Minute,
				func(s *Settings) *time.Duration { return &s.Freshness.Bound }),
		},
		{
			Section: "Limits", Name: "BodyBytes", Default: "1048576",
			Help: "largest body of a request",
			Set:  inifile.Int(1024, 64<<20, func(s *Settings) *int64 { return &s.Limits.BodyBytes }),
		},
		{
			Section: "Limits", Name: "Patience", Default: "15s",
			Help: "longest a request may wait before it is dispatched",
			Set: inifile.Duration(100*time.Millisecond, 10*time.Minute,
				func(s *Settings) *time.Duration { return &s.Limits.Patience }),
		},
		{
			Section: "Limits", Name: "FirstToken", Default: "15s",
			Help: "longest silence before the first token until the stream is resumed on a new connection",
			Set: inifile.Duration(100*time.Millisecond, 10*time.Minute,
				func(s *Settings) *time.Duration { return &s.Limits.FirstToken }),
		},
		{
			Section: "Limits", Name: "BetweenTokens", Default: "5s",
			Help: "longest silence between two tokens until the stream is resumed on a new connection",
			Set: inifile.Duration(100*time.Millisecond, 10*time.Minute,
				func(s *Settings) *time.Duration { return &s.Limits.BetweenTokens }),
		},
		{
			Section: "Limits", Name: "StopWithin", Default: "10m",
			Help: "longest a planned stop waits for running requests",
			Set: inifile.Duration(time.Second, 24*time.Hour,
				func(s *Settings) *time.Duration { return &s.Limits.StopWithin }),
		},
		{
			Section: "Limits", Name: "StaleStream", Default: "10s",
			Help: "how long a running stream goes on at an instance that cannot confirm its key",
			Set: inifile.Duration(0, 10*time.Minute,
				func(s *Settings) *time.Duration { return &s.Limits.StaleStream }),
		},
		{
			Section: "Policy", Name: "Preset", Default: PresetLatency,
			Help: "what placement favours: Latency (few load stalls, worst-served workspace) or Efficiency (batch use, few refusals)",
			Set:  inifile.OneOf(func(s *Settings) *string { return &s.Policy.Preset }, PresetLatency, PresetEfficiency),
		},
		{
			Section: "Log", Name: "Level", Default: "info",
			Help: "debug, info, warn or error",
			Set:  inifile.OneOf(func(s *Settings) *string { return &s.Log.Level }, "debug", "info", "warn", "error"),
		},
	}
}

// Values of [Policy] Preset.
const (
	PresetLatency    = "Latency"
	PresetEfficiency = "Efficiency"
)

// sha256HexLength is the length of a SHA-256 hash in hex.
const sha256HexLength = 64

func tokenHashes(target func(*Settings) *[]string) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		var parsed []string
		for _, hash := range strings.Split(value, ",") {
			hash = strings.ToLower(strings.TrimSpace(hash))
			if _, err := hex.DecodeString(hash); err != nil || len(hash) != sha256HexLength {
				return errors.New("each must be a SHA-256 in hex: 64 digits") // the value is left out, as it may be a token pasted by mistake
			}
			parsed = append(parsed, hash)
		}
		*target(s) = parsed
		return nil
	}
}
