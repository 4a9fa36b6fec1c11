package serve

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"lacewingrock.example/lacewingrock/internal/admission/contention"
	"lacewingrock.example/lacewingrock/internal/caller/refusal"
	"lacewingrock.example/lacewingrock/internal/gateway/call"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
	"lacewingrock.example/lacewingrock/internal/telemetry/logline"
)

// job.go holds the state of one request and writes its log line and metrics.

type job struct {
	handler *Handler
	writer  http.ResponseWriter
	// caller ends when the caller leaves.
	caller    context.Context
	startedAt time.Time

	table     *traffic.Table
	call      call.Call
	route     traffic.Route
	service   string
	workspace traffic.Workspace
	priority  int
	deadline  time.Time

	// class is that of the request among those that compete for its service, as it was before the first attempt.
	// overShare: its workspace is over its share there.
	class     contention.Class
	overShare bool
	// competes: the controller decides about the request. At a service with one priority it decides only about
	// workspaces over their share: the others are of one class, and placement decides about their refusal and retry
	// time.
	competes bool
	// admitted is the controller's decision to admit the request; nil before there is one.
	admitted *contention.Admit

	cost        float64
	fingerprint suspect.Fingerprint
	// promptParts are the fingerprints of the prompt parts that other requests may share.
	promptParts []suspect.Fingerprint
	// crashes is how many crashes of upstreams the request was in flight at, as last known.
	crashes int
	alone   bool

	// tried lists the upstreams that must not be chosen again, declined those that had no room for the request when they were
	// asked.
	tried    []string
	declined []string
	// shortestWait is the shortest wait for an adapter slot or a prefill turn that a holder stated when it had none; 0
	// if none did.
	shortestWait time.Duration
	// slots is what the request has spent on asking for adapter slots.
	slots slotSearch
	// attempts counts the attempts, and inFlight has the upstreams of those that have not ended. Of those that have, arrivals
	// counts the ones that may have reached an upstream, and runs the ones in which the request may have run.
	attempts   int
	inFlight   []string
	arrivals   int
	runs       int
	mayHaveRun bool
	// retryTaken: the next attempt was already taken from the retry budget.
	retryTaken bool
	// acceptsChunks: the caller speaks HTTP/1.1.
	acceptsChunks bool
	// body is what is reserved for the body of the request.
	body bodyReservation
	// refusedBody is the body of a request that was refused before it was read, nil if it was not.
	refusedBody io.Reader
	// writing is how long writes to the caller have taken.
	writing writeTime
	// started: the header of the response was sent to the caller.
	started bool
	// endsWithConnection: the response to the caller has neither a length nor chunks.
	endsWithConnection bool
	status             int
	firstByte          time.Time
	// longestPause is the longest time between two events of a stream from the same upstream.
	longestPause time.Duration
	lastEventID  string
	// begun: the caller has events of the stream. Only upstreams with the software that wrote the first of them may
	// continue it; none may if that is unknown, which is the empty version.
	begun    bool
	software string
	// recorded: the origin of the stream was recorded under the id of this request. mixed: events of another software
	// version followed.
	recorded bool
	mixed    bool
	upstream string
	// endedBy is who ended the last attempt before its response was complete, empty if it is complete or nothing may have
	// run; silentFor is how long the upstream had sent nothing by then.
	endedBy   ender
	silentFor time.Duration
	// bytes is the number of bytes of the response body that were sent to the caller.
	bytes int64
	// failure is the last attempt whose upstream responded with a failure that another attempt was to replace.
	failure *attempt
	// cause is the error at the last upstream, if it ended the request.
	cause error
	// refusedByTable: the configuration has no such route or key.
	refusedByTable bool
}

// refuse sends a refusal if no response of an upstream has been started.
func (j *job) refuse(err error) {
	if j.started {
		return
	}
	refused := refusal.From(err)
	j.status = refused.Status()
	j.handler.Dialect.SetRefusalHeader(j.writer.Header(), j.call.ID, refused.ExactRetryAfter())
	j.writer.Header().Set(refusal.HeaderRun, string(refused.Run()))
	j.writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	text := refused.Error() + "\n"
	j.writer.Header().Set("Content-Length", strconv.Itoa(len(text)))
	j.writer.WriteHeader(refused.Status())
	_, _ = j.writer.Write([]byte(text)) // the caller may have disconnected
}

// log writes the log line of the request: what it was, the inputs of its decisions, and how it ended.
func (j *job) log(err error) {
	level := zerolog.InfoLevel
	if err != nil {
		level = zerolog.WarnLevel
	}
	event := j.handler.Log.WithLevel(level).
		Str(logline.FieldRequest, j.call.ID).
		Str("Route", j.route.Name).
		Str(logline.FieldWorkspace, j.workspace.Name).
		Float64("Cost", j.cost).
		Int("Status", j.status).
		Int("Sends", j.attempts).
		Int("Runs", j.runs).
		Str(logline.FieldUpstream, j.upstream).
		Int64("Bytes", j.bytes).
		Int64("TookMillis", time.Since(j.startedAt).Milliseconds())
	if j.table != nil {
		event = event.Int64("Configuration", j.table.Configuration.Version)
	}
	if j.call.LastEventID != "" || j.call.Resumes != "" {
		event = event.Str("Resumes", j.call.Resumes).Str("LastEvent", j.call.LastEventID)
	}
	if j.crashes > 0 || j.mayHaveRun && err != nil {
		event = event.Str("Fingerprint", string(j.fingerprint)).Int("Crashes", j.crashes)
	}
	if !j.firstByte.IsZero() {
		event = event.Int64("FirstMillis", j.firstByte.Sub(j.startedAt).Milliseconds()).
			Int64("PauseMillis", j.longestPause.Milliseconds()).
			Bool("OnTime", j.isOnTime())
	}
	if err != nil {
		event = event.Err(err)
	}
	event = j.logEnd(event)
	if j.refusedByTable {
		event = event.Int64("ConfirmedMillis", j.handler.Fleet.ConfirmedAge().Milliseconds())
	}
	if j.cause != nil {
		event = event.Str("Cause", j.cause.Error())
	}
	event.Msg("Request")
	j.count()
}

// isOnTime reports whether the response, as far as it was sent, met the objectives of its route.
func (j *job) isOnTime() bool {
	if j.firstByte.Sub(j.startedAt) > j.route.Objective {
		return false
	}
	return j.route.MaxPause <= 0 || j.longestPause <= j.route.MaxPause
}

// latencyBuckets are the histogram buckets. They range from a response on the same machine to the longest timeouts.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 13)

// count adds the request to the metrics.
func (j *job) count() {
	scope := j.handler.Scope
	scope.Tagged(map[string]string{"status": strconv.Itoa(j.status)}).Counter("requests").Inc(1)
	scope.Histogram("request_time", latencyBuckets).RecordDuration(time.Since(j.startedAt))
	if !j.firstByte.IsZero() {
		scope.Histogram("first_event_time", latencyBuckets).RecordDuration(j.firstByte.Sub(j.startedAt))
	}
	if j.call.LastEventID != "" {
		scope.Tagged(map[string]string{"status": strconv.Itoa(j.status)}).Counter("resumed_requests").Inc(1)
	}
	if j.started && j.endedBy != "" {
		scope.Tagged(map[string]string{"by": string(j.endedBy)}).Counter("incomplete_responses").Inc(1)
	}
	if j.mixed {
		scope.Counter("mixed_software_streams").Inc(1)
	}
	if j.attempts > 1 {
		scope.Counter("retries").Inc(int64(j.attempts - 1))
	}
}

// recordFirstByte records when the caller gets the first part of the response.
func (j *job) recordFirstByte() {
	if j.firstByte.IsZero() {
		j.firstByte = time.Now()
	}
}

// step logs one decision about the request.
func (j *job) step(name string) *zerolog.Event {
	return j.handler.Log.Info().Str(logline.FieldRequest, j.call.ID).Str("Step", name)
}
