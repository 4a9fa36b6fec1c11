package metrics_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/telemetry/metrics"
)

func TestCounterIsServed(t *testing.T) {
	is := is.New(t)
	scope, handler, closer := metrics.New("lacewingd")
	scope.Counter("requests").Inc(3)
	is.NoErr(closer.Close())
	deadline := time.Now().Add(10 * time.Second)
	for {
		answer := httptest.NewRecorder()
		handler.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		if strings.Contains(answer.Body.String(), "lacewingd_requests 3") {
			return
		}
		is.True(time.Now().Before(deadline)) // the counter was never served
		time.Sleep(10 * time.Millisecond)
	}
}

// Two instances run in one process, as in the daemon's tests. In the library's shared registry the second
// instance's metrics collided with those of the first, and the process panicked.
func TestTwoRootScopesInOneProcess(t *testing.T) {
	for range 2 {
		scope, _, closer := metrics.New("lacewingd")
		scope.Gauge("fresh").Update(1)
		is.New(t).NoErr(closer.Close())
	}
}

// Guards against a process that ends because a counter is used with another set of labels than before.
func TestCounterWithOtherLabelsDoesNotEndTheProcess(t *testing.T) {
	is := is.New(t)
	scope, handler, closer := metrics.New("lacewingd")
	scope.Tagged(map[string]string{"kind": "body"}).Counter("refusals").Inc(1)
	scope.Tagged(map[string]string{"cause": "full"}).Counter("refusals").Inc(1)
	is.NoErr(closer.Close())
	answer := httptest.NewRecorder()
	handler.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	is.True(strings.Contains(answer.Body.String(), "lacewingd_unregistered_metrics 1"))
}
