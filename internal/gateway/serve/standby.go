package serve

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// standby.go looks for another upstream while the one of an attempt is silent. A silent upstream may be lost or merely slow,
// and nothing shows which. So the attempt goes on until another upstream has sent the first part of its response, and until
// the deadline if none does.

const (
	// minSilence is the minimum time that an upstream may send nothing before another one is looked for. silenceFactor is the
	// same as a multiple of the expected time until the first data, silencePauses as one of the longest pause of the route.
	minSilence    = 1200 * time.Millisecond
	silenceFactor = 4
	silencePauses = 4
	// minPlainSilence replaces minSilence for plain calls, which take some ten milliseconds.
	minPlainSilence = 400 * time.Millisecond
	// alternativeSilence is how long another upstream may have sent nothing to this instance while it had streams in flight.
	alternativeSilence = minSilence / 2
	// minSearchInterval is the time until another upstream is looked for again. It doubles each time.
	minSearchInterval = 200 * time.Millisecond
	// maxTimerLag is how late the timer of a silence may expire. Later, this instance itself stood still, and what the upstream
	// has sent may not have been read yet: the silence counts for timerLagGrace more.
	maxTimerLag   = 100 * time.Millisecond
	timerLagGrace = 200 * time.Millisecond
)

// errNoAttempt means that the request may not be sent to another upstream.
var errNoAttempt = errors.New("no further attempt is allowed, or the deadline is too near")

// silenceEnd is how a silence ended.
type silenceEnd string

const (
	silenceWentOn   silenceEnd = "went_on"
	silenceReplaced silenceEnd = "replaced"
	silenceFailed   silenceEnd = "failed"
)

// standby watches the waits of one attempt for data of its upstream.
type standby struct {
	attempt *attempt

	mutex sync.Mutex
	timer *time.Timer
	// waiting: the attempt waits for data. due is when the silence is too long, and search is under way from then on.
	waiting bool
	timeout time.Duration
	due     time.Time
	search  *search
	// graced: the timer has expired late, and due was put off.
	graced bool
	// failed: the attempt failed before another one had responded.
	failed bool
	// successor is the attempt that goes on in place of this one.
	successor *attempt
}

// during runs a step that waits for data of the upstream, and reports whether a successor goes on in place of the attempt. The
// step returns whether it received what the caller can be given: events, or the whole response. Anything less does not end a
// search.
//
// While the step runs, a search may use the state of the job, so the step may not. When during returns, the search has ended. The
// attempt that a search makes may be silent as well, and have a standby of its own.
func (s *standby) during(timeout time.Duration, step func() (received bool)) (replaced bool) {
	if !s.attempt.job.route.IsRepeatable() {
		step()
		return false
	}
	s.arm(timeout)
	return s.disarm(step())
}

func (s *standby) arm(timeout time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.waiting = true
	s.timeout = timeout
	s.startTimer(timeout)
}

// extend starts the time of the silence anew, because a part of the response has arrived. It does not end a search.
func (s *standby) extend() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.waiting && s.search == nil {
		s.startTimer(s.timeout)
	}
}

// startTimer starts the time of the silence. The lock is held.
func (s *standby) startTimer(timeout time.Duration) {
	s.graced = false
	s.due = time.Now().Add(timeout)
	if s.timer == nil {
		s.timer = time.AfterFunc(timeout, s.expire)
		return
	}
	s.timer.Reset(timeout)
}

// disarm ends the search, if one is under way, and reports whether the attempt has a successor. If the attempt has failed, the
// upstream that is being tried becomes the successor if it responds.
func (s *standby) disarm(received bool) (replaced bool) {
	s.mutex.Lock()
	if s.timer != nil {
		s.timer.Stop()
	}
	s.waiting = false
	s.failed = !received && s.successor == nil
	running := s.search
	s.search = nil
	if running != nil && received && s.successor == nil {
		running.cancel(errUnneeded)
	}
	if running != nil && !received {
		close(running.orphaned)
	}
	s.mutex.Unlock()
	if running == nil {
		return false
	}
	<-running.done
	return s.successor != nil
}

// expire starts the search if the attempt still waits.
func (s *standby) expire() {
	s.mutex.Lock()
	now := time.Now()
	if !s.waiting || s.search != nil || now.Before(s.due) {
		s.mutex.Unlock()
		return
	}
	if now.Sub(s.due) > maxTimerLag && !s.graced {
		s.graced = true
		s.due = now.Add(timerLagGrace)
		s.timer.Reset(timerLagGrace)
		s.mutex.Unlock()
		return
	}
	begun := newSearch(s)
	s.search = begun
	s.mutex.Unlock()
	begun.run()
}

// adopt makes an attempt that has the first part of its response the successor, unless the silent upstream has gone on.
func (s *standby) adopt(by *search, next *attempt) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if by.ctx.Err() != nil {
		return false
	}
	s.successor = next
	s.attempt.cancel(errNoData)
	return true
}

// -----------------------------------------------------------------------------------------------

// search looks for a successor of a silent attempt.
type search struct {
	standby *standby
	ctx     context.Context
	cancel  context.CancelCauseFunc
	// orphaned is closed when the attempt has failed, done when the search has ended.
	orphaned chan struct{}
	done     chan struct{}
}

func newSearch(s *standby) *search {
	search := &search{standby: s, orphaned: make(chan struct{}), done: make(chan struct{})}
	search.ctx, search.cancel = context.WithCancelCause(s.attempt.requestCtx)
	return search
}

// run tries other upstreams until one responds or the search is not needed any more.
func (s *search) run() {
	defer close(s.done)
	silent := s.standby.attempt
	j := silent.job
	j.handler.State.WithLock(func(*SharedState) { silent.counted.RecordSilence() })
	j.handler.Fleet.VerifyLink(silent.placement.choice.Upstream)
	var next *attempt
	var reason error
	for interval := minSearchInterval; next == nil; interval *= 2 {
		var err error
		if next, err = s.try(); err != nil && !errors.Is(err, errUnneeded) {
			reason = err
		}
		if next == nil && !s.pause(interval) {
			break
		}
		j.declined = nil // they may have room by now
		j.slots = slotSearch{}
	}
	s.log(next, reason)
}

// try makes an attempt at another upstream. It returns nil if there is none, or if it did not respond as it should.
func (s *search) try() (next *attempt, err error) {
	j := s.standby.attempt.job
	if !j.mayRunAgain() || j.attempts >= maxAttempts-1 || time.Until(j.deadline) < minRetryTime {
		return nil, errNoAttempt
	}
	if !j.hasRetry() {
		return nil, errNoRetry
	}
	if j.refuseSuspect() != nil {
		return nil, errSuspect
	}
	chosen, err := j.place(s.ctx)
	if chosen == nil {
		return nil, err
	}
	if next = j.begin(s.ctx, *chosen); next == nil {
		return nil, nil
	}
	return s.receive(next)
}

// receive receives the first part of the response to an attempt, which becomes the successor.
func (s *search) receive(next *attempt) (successor *attempt, err error) {
	outcome, err := next.receive()
	if next.standby.successor != nil { // it was silent as well
		next = next.settle(outcome, err).successor
		outcome, err = "", nil
	}
	if outcome == "" && next.response.Status >= http.StatusMultipleChoices {
		outcome, err = resultFailed, errors.Errorf("upstream responded with status %d", next.response.Status)
	}
	if outcome == "" && !next.canComplete() && !s.isOrphaned() {
		outcome, err = resultFailed, errors.New("the end of its response would show nothing to the caller")
	}
	if outcome == "" && s.standby.adopt(s, next) {
		return next, nil
	}
	if outcome == "" {
		outcome, err = resultBroken, context.Cause(s.ctx)
	}
	if outcome == resultBroken && errors.Is(context.Cause(s.ctx), errUnneeded) {
		outcome, err = resultUnneeded, errUnneeded
	}
	next.settle(outcome, err)
	return nil, err
}

// isOrphaned reports whether the silent attempt has failed.
func (s *search) isOrphaned() bool {
	select {
	case <-s.orphaned:
		return true
	default:
		return false
	}
}

// pause waits until another upstream is to be looked for, and returns false if none is needed.
func (s *search) pause(interval time.Duration) bool {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.orphaned:
		return false
	case <-s.ctx.Done():
		return false
	}
}

// log writes how the silence ended, and why no other upstream was found if so.
func (s *search) log(next *attempt, reason error) {
	silent := s.standby.attempt
	j := silent.job
	end := silenceFailed
	event := j.step("silent").Str("Upstream", silent.placement.choice.Upstream.ID).Str("LastSent", j.lastEventID).
		Int64("SilentMillis", time.Since(silent.lastData()).Milliseconds()).
		Int64("LeftMillis", time.Until(j.deadline).Milliseconds())
	switch {
	case next != nil:
		end = silenceReplaced
		event = event.Str("Successor", next.placement.choice.Upstream.ID)
	case errors.Is(context.Cause(s.ctx), errUnneeded):
		end = silenceWentOn
	}
	event.Str("Outcome", string(end)).AnErr("NoSuccessor", reason).Msg("Decision")
	j.handler.Scope.Tagged(map[string]string{"outcome": string(end)}).Counter("silent_upstreams").Inc(1)
}

// -----------------------------------------------------------------------------------------------

// firstDataTimeout returns how long the upstream may be silent before the response begins, or between two parts of a response
// that is not a stream.
func (a *attempt) firstDataTimeout() time.Duration {
	shortest := minSilence
	if a.job.route.Execution != traffic.Streaming {
		shortest = minPlainSilence
	}
	return max(shortest, silenceFactor*a.placement.choice.Expected)
}

// pauseTimeout returns how long a stream may pause.
func (a *attempt) pauseTimeout() time.Duration {
	return max(minSilence, silencePauses*a.job.route.MaxPause)
}

// lastData returns when the upstream last sent something, or when the attempt began.
func (a *attempt) lastData() time.Time {
	if at := a.dataAt.Load(); at > 0 {
		return time.Unix(0, at)
	}
	return a.began
}
