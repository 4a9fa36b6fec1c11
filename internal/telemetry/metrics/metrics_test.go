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
