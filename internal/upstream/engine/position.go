package engine

// Where a stream stands, and which events of a resumed one are new. This decides alone that no token
// reaches the caller twice and none is missing; it touches no connection.

import (
	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/caller/stream"
)

// errMissing means that the engine counted more tokens than came: resume from where the stream stands.
var errMissing = errors.New("engine: tokens are missing")

// position is what has been passed on of a stream. Progress counts the accepted events.
type position struct {
	tokens   int
	opened   bool
	finished bool
	counted  bool
	usage    stream.Usage
	progress int
}

// accept tells whether an event is new, and the position after it. Events with tokens are told apart
// by their count. Those without (the opening one, the one with the finish reason, the one with the
// usage) repeat the count before them, and are new once each: after a resume the engine sends them
// again, since they come after the last token.
func (p position) accept(chunk stream.Chunk, tokens int) (after position, isNew bool) {
	switch {
	case tokens > p.tokens:
	case tokens < p.tokens:
		return p, false
	case chunk.Finished && !p.finished:
	case chunk.Counted && !p.counted:
	case tokens == 0 && !p.opened && !chunk.Finished && !chunk.Counted:
	default:
		return p, false
	}
	p.tokens = tokens
	p.opened = true
	p.progress++
	p.finished = p.finished || chunk.Finished
	if chunk.Counted {
		p.counted = true
		p.usage = chunk.Usage
	}
	return p, true
}

// whole tells whether the stream may end here.
func (p position) whole() error {
	if !p.finished {
		return errors.WithMessage(errMissing, "no finish reason")
	}
	if p.counted && p.usage.CompletionTokens > p.tokens {
		return errMissing
	}
	return nil
}
