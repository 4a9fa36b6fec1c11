package engine

// The position in a stream, and which events of a resumed stream are new. This code alone ensures
// that the caller receives each token exactly once. It does no I/O.

import (
	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/caller/stream"
)

// errMissingTokens means that the engine counted more tokens than were received. The stream is
// resumed from the current position.
var errMissingTokens = errors.New("engine: stream ended before all its tokens were received")

// position records what has been delivered of a stream. acceptedEvents counts the accepted events.
type position struct {
	tokens          int
	openingReceived bool
	finishReceived  bool
	usageReceived   bool
	usage           stream.Usage
	acceptedEvents  int
}

// accept reports whether an event is new, and the position after it. Events with tokens are
// identified by their token count. Events without tokens (the opening event, the one with the
// finish reason, the one with the usage) repeat the preceding count, and each is new once: after a
// resume the engine sends them again, since they come after the last token.
func (p position) accept(chunk stream.Chunk, tokens int) (next position, isNew bool) {
	switch {
	case tokens > p.tokens:
	case tokens < p.tokens:
		return p, false
	case chunk.Finished && !p.finishReceived:
	case chunk.Counted && !p.usageReceived:
	case tokens == 0 && !p.openingReceived && !chunk.Finished && !chunk.Counted:
	default:
		return p, false
	}
	p.tokens = tokens
	p.openingReceived = true
	p.acceptedEvents++
	p.finishReceived = p.finishReceived || chunk.Finished
	if chunk.Counted {
		p.usageReceived = true
		p.usage = chunk.Usage
	}
	return p, true
}

// checkComplete returns an error unless the stream may end at this position.
func (p position) checkComplete() error {
	if !p.finishReceived {
		return errors.WithMessage(errMissingTokens, "no finish reason")
	}
	if p.usageReceived && p.usage.CompletionTokens > p.tokens {
		return errMissingTokens
	}
	return nil
}
