package serve

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/gateway/forward"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

// relay.go passes an upstream's answer to the caller: as a whole, or event by event.

const (
	// wholeBytes is how long an answer may be to be read as a whole before any of it is passed on. A
	// broken one can then be asked for again, and the caller never sees half of it.
	wholeBytes = 256 << 10
	// chunkBytes is what is read at once.
	chunkBytes = 16 << 10
	// silentBetweenEvents is how long a running stream may pause at the least, and silentPauses the same in
	// longest pauses of its route. Callers give up after two seconds or eight such pauses, so that a stream
	// that is resumed in time still reaches them.
	silentBetweenEvents = 1200 * time.Millisecond
	silentPauses        = 4
)

type relay struct {
	job     *job
	answer  *forward.Response
	sending *pool.Attempt
	silent  *time.Timer
	// wroteAt is when the last events of the stream went out.
	wroteAt time.Time
}

// run relays the answer.
func (r *relay) run() (result, error) {
	if r.answer.Status >= http.StatusInternalServerError && r.job.mayRetryFailure() {
		_, _ = io.Copy(io.Discard, io.LimitReader(r.answer.Body, chunkBytes)) // so that the connection can be kept
		return resultFailed, errors.Errorf("upstream answered status %d", r.answer.Status)
	}
	if r.job.route.Execution == traffic.Streaming && r.answer.Status < http.StatusMultipleChoices {
		return r.stream()
	}
	return r.whole()
}

// mayRetryFailure tells whether a failure of the upstream itself is given up for another send, and takes that
// from the budget: once the answer is dropped there is nothing else to give the caller.
func (j *job) mayRetryFailure() bool {
	if j.started {
		return true // in the middle of a stream a failure cannot be passed on
	}
	if !j.route.IsRepeatable() || j.runs+1 >= j.route.MaxAttempts || time.Until(j.deadline) < leastLeft {
		return false
	}
	j.paid = j.mayResend()
	return j.paid
}

// leastLeft is the least time left that makes another send worth it.
const leastLeft = 30 * time.Millisecond

// whole passes on an answer that is no stream.
func (r *relay) whole() (result, error) {
	j := r.job
	body, err := io.ReadAll(io.LimitReader(r.answer.Body, wholeBytes))
	if err != nil {
		return resultBroken, err
	}
	r.silent.Stop()
	r.answered()
	more := len(body) == wholeBytes
	if j.started {
		return resultFailed, errors.Errorf("upstream answered status %d", r.answer.Status)
	}
	r.header(!more)
	if !more && r.answer.Length < 0 {
		j.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	j.start(r.answer.Status)
	if err := j.write(body); err != nil {
		return resultServed, nil // the caller is gone; the upstream's answer was whole
	}
	if more {
		if err := r.rest(); err != nil {
			return resultBroken, err
		}
	}
	return r.ended(), nil
}

// ended tells whether the answer counts as a failure of the upstream.
func (r *relay) ended() result {
	if r.answer.Status >= http.StatusInternalServerError {
		r.job.mayHaveRun = true
	}
	return resultServed
}

// rest passes on what is left of a long answer.
func (r *relay) rest() error {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := r.answer.Body.Read(buffer)
		if n > 0 {
			if err := r.job.write(buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// paused tells, once a stream has ended, whether it paused for longer than its route allows.
func (r *relay) paused() {
	if r.job.route.MaxPause <= 0 {
		return
	}
	late := r.job.longestPause > r.job.route.MaxPause
	r.job.handler.State.WithLock(func(*SharedState) { r.sending.RecordPause(late) })
}

// stream passes on events as they arrive. Only whole events go out: the rest of one that broke off comes
// again from the upstream where the stream goes on.
func (r *relay) stream() (result, error) {
	defer r.paused()
	buffer := make([]byte, chunkBytes)
	var pending []byte
	for {
		n, err := r.answer.Body.Read(buffer)
		if n > 0 {
			pending = append(pending, buffer[:n]...)
			whole := wholeEvents(pending)
			if whole > 0 {
				r.answered()
				r.silent.Reset(max(silentBetweenEvents, silentPauses*r.job.route.MaxPause))
				if err := r.events(pending[:whole]); err != nil {
					return resultServed, errCallerGone
				}
				pending = append(pending[:0], pending[whole:]...)
			}
		}
		if errors.Is(err, io.EOF) {
			r.answered()
			if err := r.events(pending); err != nil {
				return resultServed, errCallerGone
			}
			return resultServed, nil
		}
		if err != nil {
			return resultBroken, errors.WithMessage(forward.ErrBrokenResponse, err.Error())
		}
	}
}

var errCallerGone = errors.New("the caller is gone")

// events writes whole events, and the header before the first.
func (r *relay) events(events []byte) error {
	j := r.job
	if !j.started {
		r.header(false)
		j.start(r.answer.Status)
	}
	if len(events) == 0 {
		return nil
	}
	if err := j.write(events); err != nil {
		return err
	}
	r.notePause(time.Now())
	if id := lastID(events); id != "" {
		j.lastEvent = id
	}
	return http.NewResponseController(j.writer).Flush()
}

// header copies the upstream's headers, except those that concern its connection.
func (r *relay) header(withLength bool) {
	header := r.job.writer.Header()
	for name, values := range r.answer.Header {
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
		header["Date"] = nil // the upstream sent none, and its answer passes as it is
	}
}

func (r *relay) answered() {
	now := time.Now()
	if r.job.firstByte.IsZero() {
		r.job.firstByte = now
	}
	first := false
	r.job.handler.State.WithLock(func(*SharedState) { first = r.sending.RecordAnswer(now) })
	if first && r.job.inTurn {
		r.job.handler.Fleet.NotifyHolder(r.job.upstream)
	}
}

// start sends the answer's header.
func (j *job) start(status int) {
	j.started = true
	j.status = status
	j.writer.WriteHeader(status)
}

// notePause measures the pauses between events. A stream with one that is longer than its route allows is late,
// whatever its first event took.
func (r *relay) notePause(now time.Time) {
	if !r.wroteAt.IsZero() {
		r.job.longestPause = max(r.job.longestPause, now.Sub(r.wroteAt))
	}
	r.wroteAt = now
}

func (j *job) write(data []byte) error {
	n, err := j.writer.Write(data)
	j.bytes += int64(n)
	return err
}

// ---------------------------------------------------------------------------------------------

// eventEnd is the blank line after an event.
var eventEnd = []byte("\n\n")

// wholeEvents is the length of the whole events at the beginning of data.
func wholeEvents(data []byte) int {
	at := bytes.LastIndex(data, eventEnd)
	if at < 0 {
		return 0
	}
	return at + len(eventEnd)
}

// lastID is the id of the last event that has one.
func lastID(events []byte) string {
	lines := strings.Split(string(events), "\n")
	for i := len(lines) - 1; i >= 0; i-- {
		if value, found := strings.CutPrefix(lines[i], "id:"); found {
			return strings.TrimSpace(value)
		}
	}
	return ""
}
