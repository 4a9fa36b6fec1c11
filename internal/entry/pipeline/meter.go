package pipeline

import (
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/admission/rate"
	"lacewingrock.example/lacewingrock/internal/caller/api"
	"lacewingrock.example/lacewingrock/internal/caller/stream"
)

// toldTogether is how many tokens go by before the reservation is told of them. Made for long streams in
// a large fleet: each telling brings the bucket up to date under the ledger's lock, and looks at every
// member while a new head is not in force everywhere. What is not told yet stays reserved, so the
// workspace can't spend it again; its room in the bucket comes up to sixteen tokens late, which at 30 ms
// a token is half a second. The number was not tuned: the cost falls by about as much as it says.
const toldTogether = 16

// meter stands between the engine's stream and the caller: it counts the tokens that go by and spends
// them from the request's reservation. It belongs to one goroutine.
type meter struct {
	sink        api.Sink
	reservation *rate.Reservation
	// promptTokens is the prompt's estimate, mostTokens the most that may be generated; the reservation
	// holds at least both.
	promptTokens int
	mostTokens   int

	began      bool
	firstToken time.Time
	tokens     int
	// untold is how many tokens the reservation has not been told of.
	untold int
	usage  stream.Usage
}

// errOverspent ends a stream whose engine generates more than it was asked for. What it generates
// beyond that was never admitted: the workspace would get more than its rate.
var errOverspent = errors.New("pipeline: more tokens than were reserved")

// Begin passes on what serves the request.
func (m *meter) Begin(served string) error {
	m.began = true
	return m.sink.Begin(api.Served{Model: served})
}

// Event passes on one event and spends its tokens. An event beyond what was asked for is not passed on
// and ends the stream: its tokens were not reserved, and would be more than the workspace bought. The prompt's tokens
// are not spent until the engine has counted them: what is spent is not given back, and the estimate is
// several times the count of a short prompt.
func (m *meter) Event(event stream.Event, tokens int) error {
	if tokens > m.mostTokens {
		return errOverspent
	}
	if m.firstToken.IsZero() && tokens > 0 {
		m.firstToken = time.Now()
	}
	if tokens > m.tokens {
		m.untold += tokens - m.tokens
		m.tokens = tokens
	}
	if m.untold >= toldTogether {
		m.reservation.Spend(float64(m.untold))
		m.untold = 0
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
