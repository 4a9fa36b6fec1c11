package serve_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/admission/contention"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
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

// Guards against callers of the highest class who are told to come back to a full service in a third of the time that they
// have left, although a slot becomes free within some ten milliseconds and they would be on time.
func TestHighestClassReturnsWhenASlotIsFree(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, served)
	h.handler.Admission = &contention.Controller{}
	h.handler.State.WithLock(func(state *serve.SharedState) {
		now := time.Now()
		state.Pool.RecordPeerLoads(now, "peer", map[string]pool.Load{"u0": {Running: 40}})
		query := pool.Query{Service: "app"}
		choice, err := state.Pool.Choose(now, query)
		is.NoErr(err)
		attempt := state.Pool.Begin(now, choice, query)
		attempt.RecordStatedLoad(40)
		state.Pool.Finish(now, attempt, pool.EndRefused)
	})
	response, _, err := h.call("/once/", "b")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(response.Header.Get("X-Run"), "not-run")
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(seconds > 0 && seconds <= 0.3)
}
