package serve_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/admission/contention"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
)

// Guards against a controller that changes what callers get while nothing is contended, and against a full service without
// a retry time within a third of the time that the caller has.
func TestControllerRefusesOnlyUnderContention(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, served)
	h.handler.Admission = &contention.Controller{}
	for range 5 {
		response, _, err := h.call("/once/", "b")
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusOK)
	}
	h.handler.State.WithLock(func(state *serve.SharedState) {
		class := h.handler.Admission.ClassOf(time.Now(), "app", "own", 0)
		is.Equal(class, contention.Class{})
	})
	h = newHarness(t, full, full)
	h.handler.Admission = &contention.Controller{}
	for range 5 {
		response, _, err := h.call("/once/", "b")
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusServiceUnavailable)
		is.Equal(response.Header.Get("X-Run"), "not-run")
		seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(seconds > 0 && seconds < 2.5/3+0.1)
	}
}
