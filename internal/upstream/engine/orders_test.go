package engine_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/upstream/engine"
)

func answering(t *testing.T, handler http.HandlerFunc) *engine.Client {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// A server notices that its caller is gone only after it has read the body.
		_, _ = io.Copy(io.Discard, r.Body)
		handler(w, r)
	}))
	t.Cleanup(server.Close)
	return &engine.Client{Address: server.Listener.Addr().String(), Limits: quickLimits()}
}

func TestOrderErrors(t *testing.T) {
	cases := []struct {
		status int
		body   string
		want   error
	}{
		{200, `{}`, nil},
		{409, `{"error":{"code":"stale_fence"}}`, engine.ErrStaleFence},
		{409, `{"error":{"code":"no_slot"}}`, engine.ErrNoSlot},
		{409, `{"error":{"code":"in_use"}}`, engine.ErrInUse},
		{409, `not JSON`, engine.ErrOutcomeUnknown},
		{502, `{"error":{"message":"weights"}}`, engine.ErrLoadFailed},
		{503, `{}`, engine.ErrNotExecuted},
		{500, `{}`, engine.ErrOutcomeUnknown},
	}
	for _, c := range cases {
		is := is.New(t)
		client := answering(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
			w.WriteHeader(c.status)
			_, _ = w.Write([]byte(c.body))
		})
		err := client.Load(context.Background(), engine.Order{Adapter: "bids", Version: "2", Fence: 7})
		is.Equal(errors.Is(err, c.want), true)
	}
}

// An order's answer is lost on the way, or belongs to another order. The engine may have evicted by
// now, so a holder that took this for "not done" would count a slot twice.
func TestOrderAnswerLost(t *testing.T) {
	cases := []struct {
		name   string
		answer http.HandlerFunc
	}{
		{"cut", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
		{"crossed", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Request-Id", "another") }},
		{"silent", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			client := answering(t, c.answer)
			client.Limits.OrderTimeout = 200 * time.Millisecond
			err := client.Unload(context.Background(), engine.Order{Adapter: "bids", Version: "2", Fence: 7})
			is.True(errors.Is(err, engine.ErrOutcomeUnknown))
		})
	}
}

func TestReportAndEvents(t *testing.T) {
	is := is.New(t)
	client := answering(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/report" {
			_, _ = w.Write([]byte(`{"Incarnation":"i","Slots":4,"Resident":["bids@2"],"AgeMillis":1500}`))
			return
		}
		_, _ = w.Write([]byte(`{"Next":9,"Events":[{"Number":9,"Kind":"evicted","Adapter":"` + r.URL.Query().Get("after") + `"}]}`))
	})
	report, err := client.Report(context.Background())
	is.NoErr(err)
	is.Equal(report, engine.Report{Incarnation: "i", Slots: 4, Resident: []string{"bids@2"}, Age: 1500 * time.Millisecond})
	events, next, err := client.Events(context.Background(), 4)
	is.NoErr(err)
	is.Equal(next, int64(9))
	is.Equal(events, []engine.CacheEvent{{Number: 9, Kind: "evicted", Adapter: "4"}})
}
