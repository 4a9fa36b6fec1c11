package serve

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"lacewingrock.example/lacewingrock/internal/gateway/call"
	"lacewingrock.example/lacewingrock/internal/gateway/forward"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// relay.go receives an upstream's response and forwards it to the caller: complete, or event by event.

const (
	// maxBuffered is the maximum length of a response with a stated length that is read completely before any of it is
	// forwarded. If such a response breaks, the request can be retried, and the caller never sees a partial response.
	maxBuffered = 256 << 10
	// chunkBytes is the size of one read of a stream, and bodyChunkBytes that of another response, most of which are short.
	chunkBytes     = 16 << 10
	bodyChunkBytes = 4 << 10
)

// received describes the response to an attempt, for the log.
type received struct {
	info    call.ResponseInfo
	status  int
	framing forward.Framing
	// tail is the number of bytes after the last complete event of a stream that ended.
	tail int
	// ended: the response was read to its end.
	ended bool
}

// provesCompletion reports whether the response shows that the request ran to completion. A failure may have been sent without
// running it, and an end of the connection is how an upstream that crashes ends its responses as well.
func (r received) provesCompletion() bool {
	return r.ended && r.status < http.StatusMultipleChoices && r.framing != forward.FramingClose
}

// isWholeIfUpstreamGoesOn reports whether the response ended with its connection and without a failure.
func (r received) isWholeIfUpstreamGoesOn() bool {
	return r.ended && r.tail == 0 && r.status < http.StatusMultipleChoices && r.framing == forward.FramingClose
}

// logLimit adds what the response states of its upstream's limit, if it states anything.
func (r received) logLimit(event *zerolog.Event) *zerolog.Event {
	switch limit := r.info.Limit.(type) {
	case call.RateLimit:
		return event.Float64("Limit", limit.PerSecond)
	case call.UnreadableLimit:
		return event.Str("Limit", "unreadable")
	}
	return event
}

// isStream reports whether the response is a stream of events.
func (a *attempt) isStream() bool {
	return a.job.route.Execution == traffic.Streaming && a.response.Status < http.StatusMultipleChoices
}

// receiveFailure receives a failure of the upstream that is forwarded.
func (a *attempt) receiveFailure() (outcome result, err error) {
	replaced := a.standby.during(a.firstDataTimeout(), func() (received bool) {
		outcome, err = a.receiveBody()
		return outcome == ""
	})
	if replaced {
		return a.replacedResult(outcome, err)
	}
	return outcome, err
}

// receiveBody receives a response that is not a stream, as far as it is held before any of it is forwarded.
func (a *attempt) receiveBody() (result, error) {
	if err := a.checkStatedLength(); err != nil {
		return resultBroken, err
	}
	a.allocateFirst()
	for !a.ended && !a.mayForwardPart() {
		data, err := a.read()
		if err != nil {
			return resultBroken, err
		}
		a.first = append(a.first, data...)
		if err := a.checkBody(len(a.first)); err != nil {
			return resultBroken, err
		}
	}
	a.received.ended = a.ended
	if a.job.started {
		return resultFailed, errors.Errorf("upstream responded with status %d", a.response.Status)
	}
	return "", nil
}

// read reads a part of the body, which is valid until the next call.
func (a *attempt) read() (data []byte, err error) {
	if a.failure != nil {
		return nil, a.failure
	}
	if a.buffer == nil {
		a.buffer = make([]byte, a.readSize())
	}
	n, err := a.response.Body.Read(a.buffer)
	if n > 0 {
		a.recordData()
	}
	switch {
	case errors.Is(err, io.EOF):
		a.ended = true
		err = nil
	case n > 0:
		a.failure = err
		err = nil
	}
	return a.buffer[:n], err
}

// recordData records that the upstream has sent something.
func (a *attempt) recordData() {
	a.dataAt.Store(time.Now().UnixNano())
	a.standby.extend()
}

func (a *attempt) readSize() int {
	if a.isStream() {
		return chunkBytes
	}
	return bodyChunkBytes
}

// receiveEvents receives the first events of a stream.
func (a *attempt) receiveEvents() (result, error) {
	events, err := a.readEvents()
	if err != nil {
		return resultBroken, err
	}
	a.first = events
	a.firstEventAt = time.Now()
	return "", nil
}

// sendingFor returns for how long the upstream has been sending events, 0 if none has arrived. Silence after the last data does not
// count: an upstream that has ended may keep its connections open.
func (a *attempt) sendingFor() time.Duration {
	if a.firstEventAt.IsZero() {
		return 0
	}
	return max(a.lastData().Sub(a.firstEventAt), 0)
}

// nextEvents receives further events of a stream, at least one unless the stream ends. They are valid until the next call.
func (a *attempt) nextEvents() (events []byte, err error) {
	replaced := a.standby.during(a.pauseTimeout(), func() (received bool) {
		events, err = a.readEvents()
		return err == nil
	})
	if replaced {
		_, err = a.replacedResult(resultBroken, err)
	}
	return events, err
}

// readEvents reads until an event is complete or the stream has ended in order. Only complete events are forwarded: a partial
// event is sent again by the upstream where the stream is resumed.
func (a *attempt) readEvents() (events []byte, err error) {
	for len(events) == 0 && !a.ended {
		data, err := a.read()
		if err != nil {
			return nil, errors.WithMessage(forward.ErrBrokenResponse, err.Error())
		}
		if events, err = a.splitter.Add(data); err != nil {
			return nil, &excessError{reason: excessEvent, limit: maxEventBytes}
		}
		if err := a.checkEvents(events); err != nil {
			return nil, err
		}
	}
	if len(events) == 0 {
		return nil, a.checkEnd()
	}
	return events, nil
}

// checkEnd checks the end of a stream whose input has ended in order. An upstream that crashes may end its responses so,
// whatever their framing, and only what was received shows that the stream was broken.
func (a *attempt) checkEnd() error {
	a.received.tail = a.splitter.Incomplete()
	if a.received.tail > 0 {
		return errors.WithMessage(forward.ErrBrokenResponse, "stream ended inside an event")
	}
	if a.response.Framing == forward.FramingClose && (a.wroteAt.IsZero() || !a.job.endsWithConnection) {
		// Without an event nothing was sent; and see canComplete.
		return errors.WithMessage(forward.ErrBrokenResponse, "connection ended without the end of the stream")
	}
	return nil
}

// canComplete reports whether the end of the response can be forwarded. The end of a connection shows nothing, and in a
// response to the caller that has chunks it would become a claim.
func (a *attempt) canComplete() bool {
	return a.response.Framing != forward.FramingClose || !a.job.started || a.job.endsWithConnection
}

// recordEvent records that the upstream has sent events, or the whole response.
func (a *attempt) recordEvent() {
	first := false
	a.job.handler.State.WithLock(func(*SharedState) { first = a.counted.RecordAnswer(time.Now()) })
	if first && a.placement.inTurn {
		a.job.handler.Fleet.NotifyHolder(a.placement.choice.Upstream.ID)
	}
}

// keptFailureTime is how long the body of a failure is awaited that another attempt is to replace.
const keptFailureTime = 100 * time.Millisecond

// keepFailure reads a failure of the upstream, and keeps it for the case that no other attempt gets a response: it says more
// than a refusal, and there may be no other upstream.
func (a *attempt) keepFailure() {
	timer := time.AfterFunc(keptFailureTime, func() { a.cancel(errNoData) })
	defer timer.Stop()
	outcome, err := a.receiveBody()
	a.recordExcess(err)
	if outcome == "" && a.ended {
		a.job.keep(a)
	}
}

// forwardFailure forwards a failure that was kept.
func (j *job) forwardFailure() error {
	kept := j.failure
	j.upstream = kept.placement.choice.Upstream.ID
	j.endedBy = ""
	j.recordFirstByte()
	return kept.writeBody()
}

// -----------------------------------------------------------------------------------------------

// relay forwards the response, whose first part has been received.
func (a *attempt) relay() (result, error) {
	if a.isStream() {
		return a.relayEvents()
	}
	return a.relayBody()
}

// relayBody forwards a response that is not a stream.
func (a *attempt) relayBody() (result, error) {
	j := a.job
	a.recordEvent()
	j.recordFirstByte()
	a.relaysLength.Store(a.response.Framing == forward.FramingLength)
	if err := a.writeBody(); err != nil {
		if a.ended {
			return resultServed, nil // the caller has disconnected; the upstream's response was complete
		}
		return resultServed, errCallerDisconnected
	}
	if err := a.relayRemainder(); err != nil {
		return resultBroken, err
	}
	if a.response.Status >= http.StatusInternalServerError {
		j.mayHaveRun = true
	}
	return resultServed, nil
}

// writeBody writes the header, and the first part of the body or all of it.
func (a *attempt) writeBody() error {
	j := a.job
	a.copyHeader(a.ended)
	if a.ended && a.response.Framing == forward.FramingChunks {
		j.writer.Header().Set("Content-Length", strconv.Itoa(len(a.first)))
	}
	j.start(a.response)
	return j.write(a.first)
}

// relayRemainder forwards the rest of a long response.
func (a *attempt) relayRemainder() error {
	length := len(a.first)
	a.first = nil
	a.releaseHeld()
	for !a.ended {
		data, err := a.read()
		if err != nil {
			return err
		}
		length += len(data)
		if err := a.checkBody(length); err != nil {
			return err
		}
		if err := a.job.write(data); err != nil {
			return err
		}
	}
	a.received.ended = true
	return nil
}

// relayEvents forwards events as they arrive.
func (a *attempt) relayEvents() (result, error) {
	defer a.recordPause()
	events := a.first
	for {
		if len(events) > 0 {
			a.recordEvent()
			if err := a.writeEvents(events); err != nil {
				return resultServed, errCallerDisconnected
			}
		}
		if a.ended {
			return a.endStream()
		}
		var err error
		if events, err = a.nextEvents(); err != nil {
			return resultBroken, err
		}
	}
}

// endStream ends the stream for the caller.
func (a *attempt) endStream() (result, error) {
	if err := a.checkEnd(); err != nil {
		return resultBroken, err
	}
	a.received.ended = true
	a.recordEvent()
	if err := a.writeEvents(nil); err != nil {
		return resultServed, errCallerDisconnected
	}
	return resultServed, nil
}

var errCallerDisconnected = errors.New("the caller has disconnected")

// writeEvents writes complete events, and the header before the first of them.
func (a *attempt) writeEvents(data []byte) error {
	j := a.job
	j.recordFirstByte()
	if !j.started {
		a.copyHeader(false)
		j.start(a.response)
	}
	if len(data) == 0 {
		return nil
	}
	j.recordOrigin(a.placement.choice.Upstream)
	if err := j.write(data); err != nil {
		return err
	}
	a.measurePause(time.Now())
	if id := lastID(data); id != "" {
		j.lastEventID = id
	}
	return http.NewResponseController(j.writer).Flush()
}

// recordPause records, once a stream has ended, whether it paused for longer than its route allows.
func (a *attempt) recordPause() {
	if a.job.route.MaxPause <= 0 {
		return
	}
	late := a.job.longestPause > a.job.route.MaxPause
	a.job.handler.State.WithLock(func(*SharedState) { a.counted.RecordPause(late) })
}

// copyHeader copies the upstream's headers, except hop-by-hop headers.
func (a *attempt) copyHeader(withLength bool) {
	header := a.job.writer.Header()
	for name, values := range a.response.Header {
		switch name {
		case "Connection", "Keep-Alive", "Transfer-Encoding", "Trailer", "Upgrade", "Proxy-Connection":
			continue
		case "Content-Length":
			if !withLength {
				continue
			}
		}
		header[name] = values
	}
	if header.Get("Date") == "" {
		header["Date"] = nil // the upstream sent none, and its headers are forwarded unchanged
	}
}

// measurePause measures the pauses between events. A stream with a pause that is longer than its route allows is late,
// however early its first event was.
func (a *attempt) measurePause(now time.Time) {
	if !a.wroteAt.IsZero() {
		a.job.longestPause = max(a.job.longestPause, now.Sub(a.wroteAt))
	}
	a.wroteAt = now
}

// ---------------------------------------------------------------------------------------------

// lastID returns the id of the last event that has one.
func lastID(data []byte) string {
	lines := strings.Split(string(data), "\n")
	for i := len(lines) - 1; i >= 0; i-- {
		if value, found := strings.CutPrefix(lines[i], "id:"); found {
			return strings.TrimSpace(value)
		}
	}
	return ""
}
