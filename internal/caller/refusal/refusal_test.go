package refusal_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/caller/refusal"
)

func TestWireFormat(t *testing.T) {
	cases := []struct {
		name       string
		refused    refusal.Refusal
		status     int
		run, after string
		param      any
	}{
		{"default run state", refusal.New(refusal.RateLimited, "m"), 429, "not-run", "1", nil},
		{"rounded up", refusal.New(refusal.Busy, "m").WithRetryAfter(2100 * time.Millisecond), 503, "not-run", "3", nil},
		{"negative delay", refusal.New(refusal.NotFresh, "m").WithRetryAfter(-time.Minute), 503, "not-run", "1", nil},
		{"no retry delay", refusal.New(refusal.BadRequest, "m").WithParam("model"), 400, "not-run", "", "model"},
		{"run state overridden", refusal.New(refusal.UpstreamFailed, "m").WithRun(refusal.Ran), 502, "ran", "", nil},
		{"undeclared code", refusal.New("new_code", "m"), 500, "unknown", "", nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			recorder := httptest.NewRecorder()
			is.NoErr(c.refused.Write(recorder))
			is.Equal(recorder.Code, c.status)
			is.Equal(recorder.Header().Get("X-Run"), c.run)
			is.Equal(recorder.Header().Get("Retry-After"), c.after)
			var body struct{ Error map[string]any }
			is.NoErr(json.Unmarshal(recorder.Body.Bytes(), &body))
			is.Equal(body.Error["code"], string(c.refused.Code()))
			is.Equal(body.Error["message"], "m")
			is.Equal(body.Error["param"], c.param)
		})
	}
}

// An internal failure is an error without a refusal. Its text may contain addresses, and it is unknown whether the
// request ran. The caller must get neither the text nor a claim about the run.
func TestUnexpectedErrorIsHidden(t *testing.T) {
	is := is.New(t)
	refused := refusal.From(errors.New("dial 10.0.0.1"))
	is.Equal(refused.Status(), http.StatusInternalServerError)
	is.Equal(refused.Run(), refusal.Unknown)
	is.True(!strings.Contains(refused.Error(), "10.0.0.1"))
	wrapped := errors.WithMessage(refusal.New(refusal.Busy, "m"), "place")
	is.Equal(refusal.From(wrapped).Code(), refusal.Busy)
	is.True(refusal.Is(wrapped, refusal.Busy))
}
