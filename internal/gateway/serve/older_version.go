package serve

import (
	"time"

	"github.com/rs/zerolog"
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
