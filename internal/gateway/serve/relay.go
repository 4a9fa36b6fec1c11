package serve

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"lacewingrock.example/lacewingrock/internal/caller/stream"
	"lacewingrock.example/lacewingrock/internal/gateway/call"
	"lacewingrock.example/lacewingrock/internal/gateway/forward"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

// relay.go forwards an upstream's response to the caller: complete, or event by event.

const (
	// maxBuffered is the maximum length of a response that is read completely before any of it is forwarded. If such a
	// response breaks, the request can be retried, and the caller never sees a partial response.
	maxBuffered = 256 << 10
	// chunkBytes is the size of one read.
	chunkBytes = 16 << 10
	// maxEventBytes bounds one event of a stream, which is held until it is complete.
	maxEventBytes = 4 << 20
	// minEventSilence is the minimum time that a running stream may pause, and eventSilencePauses is the same as a
	// multiple of the longest pause of its route. Callers time out after two seconds or eight such pauses, so a stream
	// that is resumed in time still reaches them.
	minEventSilence    = 1200 * time.Millisecond
	eventSilencePauses = 4
)

type relay struct {
	job          *job
	response     *forward.Response
	attempt      *pool.Attempt
	upstream     traffic.Upstream
	silenceTimer *time.Timer
	// wroteAt is when the last events of the stream were written.
	wroteAt time.Time
}

// received describes the last response, for the log.
type received struct {
	info    call.ResponseInfo
	status  int
	framing forward.Framing
	// tail is the number of bytes after the last complete event of a stream that ended.
	tail int
	// lastAt is when the last bytes of the body arrived.
	lastAt time.Time
	// ended: the response was read to its end.
	ended bool
}

// provesCompletion reports whether the response shows that the request ran to completion. A failure may have been sent without
// running it, and an end of the connection is how an upstream that crashes ends its responses as well.
func (r received) provesCompletion() bool {
	return r.ended && r.status < http.StatusMultipleChoices && r.framing != forward.FramingClose
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

// run relays the response.
func (r *relay) run() (result, error) {
	if r.response.Status >= http.StatusInternalServerError && r.job.mayRetryFailure() {
		_, _ = io.Copy(io.Discard, io.LimitReader(r.response.Body, chunkBytes)) // drained, so that the connection can be reused
		return resultFailed, errors.Errorf("upstream responded with status %d", r.response.Status)
	}
	if r.job.route.Execution == traffic.Streaming && r.response.Status < http.StatusMultipleChoices {
		return r.stream()
	}
	return r.buffered()
}

// mayRetryFailure reports whether a failure response of the upstream is dropped for another attempt, and takes that
// retry from the budget. The decision is made first because after the response is dropped there is nothing else to send
// to the caller.
func (j *job) mayRetryFailure() bool {
	if j.started {
		return true // a failure in the middle of a stream cannot be forwarded
	}
	if !j.route.IsRepeatable() || j.runs+1 >= j.route.MaxAttempts || time.Until(j.deadline) < minRetryTime {
		return false
	}
	j.retryTaken = j.takeRetry()
	return j.retryTaken
}

// minRetryTime is the least time until the deadline that makes another attempt useful.
const minRetryTime = 30 * time.Millisecond

// buffered forwards a response that is not a stream.
func (r *relay) buffered() (result, error) {
	j := r.job
	body, err := io.ReadAll(io.LimitReader(r.response.Body, maxBuffered))
	if err != nil {
		return resultBroken, err
	}
	r.silenceTimer.Stop()
	r.recordEvent()
	truncated := len(body) == maxBuffered
	j.received.ended = !truncated
	if j.started {
		return resultFailed, errors.Errorf("upstream responded with status %d", r.response.Status)
	}
	r.copyHeader(!truncated)
	if !truncated && r.response.Framing == forward.FramingChunks {
		j.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	j.start(r.response)
	if err := j.write(body); err != nil {
		return resultServed, nil // the caller has disconnected; the upstream's response was complete
	}
	if truncated {
		if err := r.remainder(); err != nil {
			return resultBroken, err
		}
	}
	return r.finalResult(), nil
}

// finalResult returns the result of a complete response, and records that the request may have run if it failed.
func (r *relay) finalResult() result {
	if r.response.Status >= http.StatusInternalServerError {
		r.job.mayHaveRun = true
	}
	return resultServed
}

// remainder forwards the rest of a long response.
func (r *relay) remainder() error {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := r.response.Body.Read(buffer)
		if n > 0 {
			if err := r.job.write(buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			r.job.received.ended = true
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// recordPause records, once a stream has ended, whether it paused for longer than its route allows.
func (r *relay) recordPause() {
	if r.job.route.MaxPause <= 0 {
		return
	}
	late := r.job.longestPause > r.job.route.MaxPause
	r.job.handler.State.WithLock(func(*SharedState) { r.attempt.RecordPause(late) })
}

// stream forwards events as they arrive. Only complete events are written: a partial event is sent again by the
// upstream where the stream is resumed.
func (r *relay) stream() (result, error) {
	defer r.recordPause()
	buffer := make([]byte, chunkBytes)
	splitter := stream.Splitter{Limit: maxEventBytes}
	for {
		n, err := r.response.Body.Read(buffer)
		if n > 0 {
			r.job.received.lastAt = time.Now()
		}
		events, splitErr := splitter.Add(buffer[:n])
		if splitErr != nil {
			return resultBroken, errors.WithMessage(forward.ErrBrokenResponse, splitErr.Error())
		}
		if len(events) > 0 {
			r.recordEvent()
			r.silenceTimer.Reset(max(minEventSilence, eventSilencePauses*r.job.route.MaxPause))
			if err := r.writeEvents(events); err != nil {
				return resultServed, errCallerDisconnected
			}
		}
		if errors.Is(err, io.EOF) {
			return r.endStream(splitter.Incomplete())
		}
		if err != nil {
			return resultBroken, errors.WithMessage(forward.ErrBrokenResponse, err.Error())
		}
	}
}

// endStream ends a stream whose input has ended in order, with some bytes after its last complete event. An upstream that
// crashes may end its responses so, whatever their framing, and only what was received shows that the stream was broken.
func (r *relay) endStream(incomplete int) (result, error) {
	r.job.received.tail = incomplete
	if incomplete > 0 {
		return resultBroken, errors.WithMessage(forward.ErrBrokenResponse, "stream ended inside an event")
	}
	if r.response.Framing == forward.FramingClose && (r.wroteAt.IsZero() || !r.job.endsWithConnection) {
		// Without an event nothing was sent, and with chunks the end would be a claim.
		return resultBroken, errors.WithMessage(forward.ErrBrokenResponse, "connection ended without the end of the stream")
	}
	r.job.received.ended = true
	r.recordEvent()
	if err := r.writeEvents(nil); err != nil {
		return resultServed, errCallerDisconnected
	}
	return resultServed, nil
}

var errCallerDisconnected = errors.New("the caller has disconnected")

// writeEvents writes complete events, and the header before the first of them.
func (r *relay) writeEvents(data []byte) error {
	j := r.job
	if !j.started {
		r.copyHeader(false)
		j.start(r.response)
	}
	if len(data) == 0 {
		return nil
	}
	j.recordOrigin(r.upstream)
	if err := j.write(data); err != nil {
		return err
	}
	r.measurePause(time.Now())
	if id := lastID(data); id != "" {
		j.lastEventID = id
	}
	return http.NewResponseController(j.writer).Flush()
}

// copyHeader copies the upstream's headers, except hop-by-hop headers.
func (r *relay) copyHeader(withLength bool) {
	header := r.job.writer.Header()
	for name, values := range r.response.Header {
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

func (r *relay) recordEvent() {
	now := time.Now()
	if r.job.firstByte.IsZero() {
		r.job.firstByte = now
	}
	first := false
	r.job.handler.State.WithLock(func(*SharedState) { first = r.attempt.RecordAnswer(now) })
	if first && r.job.inTurn {
		r.job.handler.Fleet.NotifyHolder(r.job.upstream)
	}
}

// measurePause measures the pauses between events. A stream with a pause that is longer than its route allows is late,
// however early its first event was.
func (r *relay) measurePause(now time.Time) {
	if !r.wroteAt.IsZero() {
		r.job.longestPause = max(r.job.longestPause, now.Sub(r.wroteAt))
	}
	r.wroteAt = now
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
