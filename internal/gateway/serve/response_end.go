package serve

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// response_end.go records who ended a response before it was complete, for the log and the metrics.

// ender is who ended a response before it was complete.
type ender string

const (
	endedByUpstream ender = "upstream"
	endedByCaller   ender = "caller"
	endedByDeadline ender = "deadline"
	// endedBySilence: another upstream went on in place of one that sent nothing.
	endedBySilence ender = "silence"
)

// attemptEnder returns who ended an attempt whose response is not complete.
func attemptEnder(ctx context.Context, err error) ender {
	switch {
	case errors.Is(err, errCallerDisconnected):
		return endedByCaller
	case errors.Is(err, errNoData):
		return endedBySilence
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return endedByDeadline
	case ctx.Err() != nil:
		return endedByCaller
	}
	return endedByUpstream
}

// recordEnd records who ended the attempt, and how long its upstream had sent nothing by then.
func (a *attempt) recordEnd(outcome result, err error) {
	j := a.job
	j.endedBy = ""
	if !outcome.mayHaveRun() || err == nil || outcome == resultUnneeded {
		return
	}
	j.endedBy = attemptEnder(a.requestCtx, err)
	j.silentFor = time.Since(a.lastData())
}

// logEnd adds who ended the response, if it was ended before it was complete, and how far it was.
func (j *job) logEnd(event *zerolog.Event) *zerolog.Event {
	if j.endedBy == "" {
		return event
	}
	event = event.Str("EndedBy", string(j.endedBy)).Int64("SilentMillis", j.silentFor.Milliseconds()).Str("LastSent", j.lastEventID)
	if table := j.handler.Fleet.Table(); table != nil {
		event = event.Int64("ConfigurationAtEnd", table.Configuration.Version)
	}
	return event
}
