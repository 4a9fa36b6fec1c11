package serve

import (
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"lacewingrock.example/lacewingrock/internal/caller/refusal"
	"lacewingrock.example/lacewingrock/internal/gateway/call"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
	"lacewingrock.example/lacewingrock/internal/telemetry/logline"
)

// job.go is the state of one request, and what its end leaves in the log.

type job struct {
	handler *Handler
	writer  http.ResponseWriter
	began   time.Time

	table     *traffic.Table
	call      call.Call
	route     traffic.Route
	service   string
	workspace traffic.Workspace
	priority  int
	deadline  time.Time

	cost        float64
	fingerprint suspect.Fingerprint
	alone       bool

	// tried lists the upstreams that are not to be chosen again.
	tried []string
	// soonest is the shortest wait for a place or a turn that a holder stated when it had none; 0 for none.
	soonest time.Duration
	// sends counts the sends, arrivals those that may have reached an upstream, runs those that may have run.
	sends      int
	arrivals   int
	runs       int
	mayHaveRun bool
	// inTurn: the prompt has waited for its turn, and the next one waits for its first event.
	inTurn bool
	// paid: the next send was taken from the budget of retries already.
	paid bool
	// started: the answer's header went out to the caller.
	started   bool
	status    int
	firstByte time.Time
	// longestPause is the longest time between two events of a stream from the same upstream.
	longestPause time.Duration
	lastEvent    string
	upstream     string
	// bytes of the answer's body that went to the caller.
	bytes int64
	// cause is what went wrong at the last upstream, if that ended the request.
	cause error
	// refusedByTable: the configuration has no such route or key.
	refusedByTable bool
}

// refuse answers a request that got no answer from an upstream.
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
	_, _ = j.writer.Write([]byte(text)) // a caller that is gone needs no answer
}

// log writes the request's line: what it was, what decided it, and how it ended.
func (j *job) log(err error) {
	level := zerolog.InfoLevel
	if err != nil {
		level = zerolog.WarnLevel
	}
	event := j.handler.Log.WithLevel(level).
		Str(logline.FieldRequest, j.call.ID).
		Str("Route", j.route.Name).
		Str(logline.FieldWorkspace, j.workspace.Name).
		Int("Status", j.status).
		Int("Sends", j.sends).
		Int("Runs", j.runs).
		Str(logline.FieldUpstream, j.upstream).
		Int64("Bytes", j.bytes).
		Int64("TookMillis", time.Since(j.began).Milliseconds())
	if j.table != nil {
		event = event.Int64("Configuration", j.table.Configuration.Version)
	}
	if !j.firstByte.IsZero() {
		event = event.Int64("FirstMillis", j.firstByte.Sub(j.began).Milliseconds()).
			Int64("PauseMillis", j.longestPause.Milliseconds()).
			Bool("OnTime", j.isOnTime())
	}
	if err != nil {
		event = event.Err(err)
	}
	if j.refusedByTable {
		event = event.Int64("ConfirmedMillis", j.handler.Fleet.ConfirmedAge().Milliseconds())
	}
	if j.cause != nil {
		event = event.Str("Cause", j.cause.Error())
	}
	event.Msg("Request")
	j.count()
}

// isOnTime tells whether the answer, as far as it went out, was within its route's objectives.
func (j *job) isOnTime() bool {
	if j.firstByte.Sub(j.began) > j.route.Objective {
		return false
	}
	return j.route.MaxPause <= 0 || j.longestPause <= j.route.MaxPause
}

// latencies are the bounds of the histograms: from an answer on the same machine to the longest timeouts.
var latencies = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 13)

// count adds the request to the metrics.
func (j *job) count() {
	scope := j.handler.Scope
	scope.Tagged(map[string]string{"status": strconv.Itoa(j.status)}).Counter("requests").Inc(1)
	scope.Histogram("request_time", latencies).RecordDuration(time.Since(j.began))
	if !j.firstByte.IsZero() {
		scope.Histogram("first_event_time", latencies).RecordDuration(j.firstByte.Sub(j.began))
	}
	if j.sends > 1 {
		scope.Counter("retries").Inc(int64(j.sends - 1))
	}
}

// step logs one decision about the request.
func (j *job) step(name string) *zerolog.Event {
	return j.handler.Log.Info().Str(logline.FieldRequest, j.call.ID).Str("Step", name)
}
