package serve

import (
	"bytes"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/gateway/forward"
	"lacewingrock.example/lacewingrock/internal/gateway/memory"
	"lacewingrock.example/lacewingrock/internal/timing/pause"
)

// bounds.go bounds what is received from an upstream, and held of it. An upstream in trouble may send bytes that are no
// response without an end.

const (
	// maxBodyBytes bounds a response that is not a stream.
	maxBodyBytes = 32 << 20
	// maxUnframed is how much of a success without a stated length is held for its end before it is forwarded as it
	// arrives; maxBuffered where the memory for it is not bounded.
	maxUnframed = 1 << 20
	// maxFailureBytes bounds the body of a response that is no success. It is held completely before it is forwarded.
	maxFailureBytes = 256 << 10
	// maxEventBytes bounds one event of a stream, which is held until it is complete.
	maxEventBytes = 1 << 20
	// maxWithoutData bounds what a stream sends without an event that has data.
	maxWithoutData = 64 << 10
	// freeBytes is how much of a response is held without a reservation, which covers most, and holdStep how much is
	// reserved at a time beyond.
	freeBytes = 16 << 10
	holdStep  = 64 << 10
	// holdInterval is how often room is looked for to hold more of a response that cannot be forwarded in parts.
	holdInterval = 50 * time.Millisecond
)

// excess is what of a response exceeded its bound.
type excess string

const (
	excessHead    excess = "head"
	excessBody    excess = "body"
	excessFailure excess = "failure_body"
	excessEvent   excess = "event"
	excessNoData  excess = "no_data"
)

// excessError ends an attempt whose upstream sends more than a response has.
type excessError struct {
	reason excess
	limit  int
}

// Error implements error.
func (e *excessError) Error() string {
	return fmt.Sprintf("upstream sent more than %d bytes (%s)", e.limit, e.reason)
}

// Unwrap returns the error of a response that cannot be used.
func (*excessError) Unwrap() error { return forward.ErrBrokenResponse }

// recordExcess counts an attempt that was ended because its upstream sent too much.
func (a *attempt) recordExcess(err error) {
	var reason excess
	var exceeded *excessError
	switch {
	case errors.As(err, &exceeded):
		reason = exceeded.reason
	case errors.Is(err, forward.ErrHeadTooLong):
		reason = excessHead
	default:
		return
	}
	a.job.handler.Scope.Tagged(map[string]string{"reason": string(reason)}).Counter("excessive_responses").Inc(1)
	a.job.step("excess").Str("Upstream", a.placement.choice.Upstream.ID).Str("Reason", string(reason)).Msg("Decision")
}

func (a *attempt) isFailure() bool { return a.response.Status >= http.StatusMultipleChoices }

// bodyBound returns the bound of a response that is not a stream.
func (a *attempt) bodyBound() (limit int, reason excess) {
	if a.isFailure() {
		return maxFailureBytes, excessFailure
	}
	return maxBodyBytes, excessBody
}

// checkStatedLength returns an error if the upstream states a length beyond the bound.
func (a *attempt) checkStatedLength() error {
	if limit, reason := a.bodyBound(); a.response.Length > int64(limit) {
		return &excessError{reason: reason, limit: limit}
	}
	return nil
}

// allocateFirst allocates the whole buffer for what is held of a response with a stated length. A buffer that grows
// takes several times as much until the next garbage collection.
func (a *attempt) allocateFirst() {
	length := int(a.response.Length)
	if length >= maxBuffered {
		length = maxBuffered + bodyChunkBytes // the last read may exceed maxBuffered by a part of a chunk
	}
	if length > bodyChunkBytes && a.hold(length) {
		a.first = make([]byte, 0, length)
	}
}

// checkBody returns an error if a response that is not a stream exceeds its bound, and reserves what of it is held.
func (a *attempt) checkBody(length int) error {
	if limit, reason := a.bodyBound(); length > limit {
		return &excessError{reason: reason, limit: limit}
	}
	switch {
	case a.hold(len(a.first)):
		return nil
	case a.isFailure():
		return a.awaitRoom(len(a.first))
	}
	a.noRoom = true
	return nil
}

// mayForwardPart reports whether a part of the response may be forwarded before its end. Successes are signed, see
// package forward.
func (a *attempt) mayForwardPart() bool {
	switch {
	case a.isFailure():
		return false
	case a.noRoom:
		return len(a.first) > 0
	case a.response.Framing == forward.FramingLength, !a.job.handler.Memory.IsBounded():
		return len(a.first) >= maxBuffered
	}
	return len(a.first) > maxUnframed
}

// checkEvents returns an error if the stream has sent too much without an event that has data, and reserves what is
// held of an incomplete event.
func (a *attempt) checkEvents(events []byte) error {
	if hasData(events) {
		a.withoutData = 0
	} else {
		a.withoutData += len(events)
	}
	incomplete := a.splitter.Incomplete()
	if a.withoutData+incomplete > maxWithoutData && (a.withoutData > maxWithoutData || !hasData(a.splitter.Rest())) {
		return &excessError{reason: excessNoData, limit: maxWithoutData}
	}
	if incomplete <= freeBytes {
		a.releaseHeld()
		return nil
	}
	if a.hold(incomplete) {
		return nil
	}
	return a.awaitRoom(incomplete)
}

// hasData reports whether a line of a stream is one of data.
func hasData(events []byte) bool {
	return bytes.HasPrefix(events, []byte("data")) || bytes.Contains(events, []byte("\ndata"))
}

// hold reserves room for a number of bytes, of which some may be reserved already.
func (a *attempt) hold(length int) bool {
	for int64(length) > a.held+freeBytes {
		if !a.job.handler.Memory.Reserve(memory.Response, holdStep) {
			return false
		}
		a.held += holdStep
	}
	return true
}

// awaitRoom waits until there is room for a number of bytes, or the attempt ends. The upstream does not count as
// silent meanwhile, since it is not read.
func (a *attempt) awaitRoom(length int) error {
	a.job.handler.Memory.RecordRefusal(memory.Response)
	for !a.hold(length) {
		if !pause.For(a.ctx, holdInterval) {
			return errors.WithMessage(forward.ErrBrokenResponse, a.ctx.Err().Error())
		}
		a.standby.extend()
	}
	return nil
}

// releaseHeld releases what is reserved.
func (a *attempt) releaseHeld() {
	if a.held > 0 {
		a.job.handler.Memory.Release(memory.Response, a.held)
		a.held = 0
	}
}
