package engine_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/upstream/engine"
)

// A connection that has been silent goes on while its resume fails, because the engine was slow and takes no new
// connections. The response on the old connection must not be lost with the resume.
func TestSilentConnectionIsKeptWhileResumesFail(t *testing.T) {
	cases := []struct {
		name   string
		closed bool
		resume func(w http.ResponseWriter, r *http.Request)
	}{
		{"resume is not answered", false, func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
		}},
		{"resume is refused", false, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}},
		{"nothing listens", true, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			limits := shortLimits()
			fake := &fakeEngine{tokens: 4}
			fake.intercept = func(number int, w http.ResponseWriter, r *http.Request) bool {
				if number > 1 && r.Method == http.MethodGet {
					c.resume(w, r)
					return true
				}
				if r.Method == http.MethodDelete {
					return false
				}
				if c.closed {
					is.NoErr(fake.server.Listener.Close())
				}
				sendToken(w, requestID, 1)
				sendToken(w, requestID, 2)
				time.Sleep(limits.InterTokenTimeout * 3 / 2)
				sendEvents(w, requestID, 2, 4)
				return true
			}
			client := &engine.Client{Address: fake.start(t), Limits: limits}
			sink := &textSink{}
			_, ok := client.Complete(t.Context(), dispatch(), sink).(engine.Completed)
			is.True(ok)
			is.Equal(sink.text, fullText(4))
			runs, cancels := fake.counts()
			is.Equal(runs, 1)
			is.Equal(cancels, 0)
		})
	}
}

// An engine accepts the resume of a silent connection. The old connection must be closed then, or a stalled one would
// hold a reader of the stream at the engine until the stream ends.
func TestAcceptedResumeClosesTheSilentConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	fake := &fakeEngine{tokens: 4, intercept: func(number int, w http.ResponseWriter, r *http.Request) bool {
		if number == 1 {
			sendToken(w, requestID, 1)
			<-r.Context().Done()
			close(closed)
			return true
		}
		w.(http.Flusher).Flush()
		select {
		case <-closed:
		case <-r.Context().Done():
			return true
		}
		return false
	}}
	client := &engine.Client{Address: fake.start(t), Limits: shortLimits()}
	sink := &textSink{}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	_, ok := client.Complete(ctx, dispatch(), sink).(engine.Completed)
	is.True(ok)
	is.Equal(sink.text, fullText(4))
}

// A silent connection breaks while its resume is not answered yet. The resume must go on, since the engine works on it.
func TestSilentConnectionBreaksDuringItsResume(t *testing.T) {
	is := is.New(t)
	limits := shortLimits()
	limits.InterTokenTimeout = time.Second
	start := time.Now()
	broken := make(chan struct{})
	fake := &fakeEngine{tokens: 4, intercept: func(number int, w http.ResponseWriter, r *http.Request) bool {
		t.Log(number, r.Method, r.URL, time.Since(start))
		if number > 1 {
			<-broken
			return false
		}
		sendToken(w, requestID, 1)
		time.Sleep(limits.InterTokenTimeout * 5 / 4)
		close(broken)
		panic(http.ErrAbortHandler)
	}}
	client := &engine.Client{Address: fake.start(t), Limits: limits, OnFault: func(f engine.Fault) { t.Log(f, time.Since(start)) }}
	sink := &textSink{}
	_, ok := client.Complete(t.Context(), dispatch(), sink).(engine.Completed)
	is.True(ok)
	is.Equal(sink.text, fullText(4))
	fake.mu.Lock()
	defer fake.mu.Unlock()
	is.Equal(fake.exchanges, 2)
}
