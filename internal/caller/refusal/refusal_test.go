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

func TestWireForm(t *testing.T) {
	cases := []struct {
		name       string
		refused    refusal.Refusal
		status     int
		run, after string
		param      any
	}{
		{"usual", refusal.New(refusal.RateLimited, "m"), 429, "not-run", "1", nil},
		{"rounded up", refusal.New(refusal.Busy, "m").WithRetryAfter(2100 * time.Millisecond), 503, "not-run", "3", nil},
		{"in the past", refusal.New(refusal.NotFresh, "m").WithRetryAfter(-time.Minute), 503, "not-run", "1", nil},
		{"no need", refusal.New(refusal.BadRequest, "m").WithParam("model"), 400, "not-run", "", "model"},
		{"known to have run", refusal.New(refusal.UpstreamFailed, "m").WithRun(refusal.Ran), 502, "ran", "", nil},
		{"undeclared", refusal.New("new_code", "m"), 500, "unknown", "", nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			recorder := httptest.NewRecorder()
			is.NoErr(c.refused.Write(recorder))
			is.Equal(recorder.Code, c.status)
			is.Equal(recorder.Header().Get("X-Run"), c.run)
			is.Equal(recorder.Header().Get("Retry-After"), c.after)
			var wire struct{ Error map[string]any }
			is.NoErr(json.Unmarshal(recorder.Body.Bytes(), &wire))
			is.Equal(wire.Error["code"], string(c.refused.Code()))
			is.Equal(wire.Error["message"], "m")
			is.Equal(wire.Error["param"], c.param)
		})
	}
}

// A fault inside the program surfaces as an error that is no refusal. Its text may hold addresses, and
// nobody knows whether the request ran: the caller is told neither.
func TestForeignErrorIsUnknown(t *testing.T) {
	is := is.New(t)
	refused := refusal.From(errors.New("dial 10.0.0.1"))
	is.Equal(refused.Status(), http.StatusInternalServerError)
	is.Equal(refused.Run(), refusal.Unknown)
	is.True(!strings.Contains(refused.Error(), "10.0.0.1"))
	wrapped := errors.WithMessage(refusal.New(refusal.Busy, "m"), "place")
	is.Equal(refusal.From(wrapped).Code(), refusal.Busy)
	is.True(refusal.Is(wrapped, refusal.Busy))
}
