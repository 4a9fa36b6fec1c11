package pipeline

import (
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/admission/rate"
	"lacewingrock.example/lacewingrock/internal/caller/api"
	"lacewingrock.example/lacewingrock/internal/caller/stream"
)

// spendBatch is the number of streamed tokens that are spent from the reservation together. Each call of Spend
// updates the bucket under the ledger's lock, and iterates over all members while a new head is not in force
// everywhere, which is costly for long streams in a large fleet; batching divides that cost by about 16. Tokens
// not spent yet stay reserved, so the workspace cannot spend them twice. The bucket refills up to sixteen tokens
// late, which is half a second at 30 ms per token.
const spendBatch = 16

// meter forwards the engine's stream to the caller, counts its tokens and spends them from the request's
// reservation. It is not safe for concurrent use.
type meter struct {
	sink        api.Sink
	reservation *rate.Reservation
	// promptTokens is the estimated length of the prompt, and maxTokens limits the generated tokens; the
	// reservation covers at least their sum.
	promptTokens int
	maxTokens    int

	started    bool
	firstToken time.Time
	tokens     int
	// pendingSpend is the number of streamed tokens that have not been spent from the reservation yet.
	pendingSpend int
	usage        stream.Usage
}

// errTooManyTokens ends a stream whose engine generates more tokens than requested. The excess was never
// admitted, so the workspace would exceed its rate.
var errTooManyTokens = errors.New("pipeline: the engine generated more tokens than were reserved")

// Begin forwards the name of the model that serves the request.
func (m *meter) Begin(served string) error {
	m.started = true
	return m.sink.Begin(api.Served{Model: served})
}

// Event forwards one event and spends its tokens. An event that exceeds the requested number of tokens is not
// forwarded and ends the stream: its tokens were not reserved, and would exceed the workspace's rate. The tokens
// of the prompt are spent only once the engine has counted them, because spent tokens cannot be refunded, and the
// estimate for a short prompt is several times its real count.
func (m *meter) Event(event stream.Event, tokens int) error {
	if tokens > m.maxTokens {
		return errTooManyTokens
	}
	if m.firstToken.IsZero() && tokens > 0 {
		m.firstToken = time.Now()
	}
	if tokens > m.tokens {
		m.pendingSpend += tokens - m.tokens
		m.tokens = tokens
	}
	if m.pendingSpend >= spendBatch {
		m.reservation.Spend(float64(m.pendingSpend))
		m.pendingSpend = 0
	}
	return m.sink.Event(event, tokens)
}

// used returns the request's cost in tokens: the engine's own count if it reported one, else the estimated prompt
// and the streamed tokens.
func (m *meter) used() float64 {
	if m.usage.Total() > 0 {
		return float64(m.usage.Total())
	}
	if m.tokens == 0 {
		return 0
	}
	return float64(m.promptTokens + m.tokens)
}
