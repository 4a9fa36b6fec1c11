package pipeline

import (
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/admission/rate"
	"lacewingrock.example/lacewingrock/internal/caller/api"
	"lacewingrock.example/lacewingrock/internal/caller/stream"
)

// meter stands between the engine's stream and the caller: it counts the tokens that go by and spends
// them from the request's reservation. It belongs to one goroutine.
type meter struct {
	sink         api.Sink
	reservation  *rate.Reservation
	promptTokens int
	mostTokens   int

	began      bool
	firstToken time.Time
	tokens     int
	usage      stream.Usage
}

// errOverspent ends a stream whose engine generates more than it was asked for. What it generates
// beyond that was never admitted: the workspace would get more than its rate.
var errOverspent = errors.New("pipeline: more tokens than were reserved")

// Begin passes on what serves the request.
func (m *meter) Begin(served string) error {
	m.began = true
	return m.sink.Begin(api.Served{Model: served})
}

// Event passes on one event and spends its tokens. The prompt's are not spent until the engine has counted
// them: what is spent is not given back, and the estimate is several times the count of a short prompt.
func (m *meter) Event(event stream.Event, tokens int) error {
	if tokens > m.mostTokens {
		return errOverspent
	}
	if m.firstToken.IsZero() && tokens > 0 {
		m.firstToken = time.Now()
	}
	if tokens > m.tokens {
		m.reservation.Spend(float64(tokens - m.tokens))
		m.tokens = tokens
	}
	return m.sink.Event(event, tokens)
}

// used is what the request cost: the engine's own count if it gave one, else what went by.
func (m *meter) used() float64 {
	if m.usage.Total() > 0 {
		return float64(m.usage.Total())
	}
	if m.tokens == 0 {
		return 0
	}
	return float64(m.promptTokens + m.tokens)
}
