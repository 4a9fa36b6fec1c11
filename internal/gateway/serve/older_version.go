package serve

import (
	"time"

	"github.com/rs/zerolog"

	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
)

// older_version.go keeps requests from beginning to run on an older version of their adapter after its time.

// logVersion adds, for an attempt at an upstream that has an older version of the adapter, how long after the send the request
// may begin to run on it.
func (p placement) logVersion(sent time.Time, event *zerolog.Event) *zerolog.Event {
	if !p.choice.Older {
		return event
	}
	return event.Int64("NewestVersion", p.query.Newest).Int64("OlderLeftMillis", p.query.OlderUntil.Sub(sent).Milliseconds())
}

// isTooOld reports whether the request would begin to run on an older version after its time, as it has waited since the upstream
// was chosen: for its prefill turn, or to be admitted.
func (p placement) isTooOld(now time.Time) bool {
	return p.choice.Older && p.query.Version < p.query.Newest && !now.Add(p.choice.Expected).Before(p.query.OlderUntil)
}

// recordVersion records which version the holder of the upstream has prepared.
func (p *placement) recordVersion(prepared mesh.PrepareResult) {
	if loaded, ok := prepared.(mesh.Loaded); ok {
		p.choice.Older = loaded.Version < p.query.Newest
	}
}
