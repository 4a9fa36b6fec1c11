package engine_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/upstream/engine"
)

func TestCompletePlain(t *testing.T) {
	is := is.New(t)
	fake := &fakeEngine{tokens: 5}
	client := &engine.Client{Address: fake.start(t), Limits: quickLimits()}
	sink := &textSink{}
	outcome := client.Complete(context.Background(), dispatch(), sink)
	completed, ok := outcome.(engine.Completed)
	is.True(ok)
	is.Equal(completed.Tokens, 5)
	is.Equal(completed.Usage.Total(), 8)
	is.Equal(sink.text, wholeText(5))
	is.Equal(sink.begun, 1)
}

// Something between an instance and an engine resets the connection in the middle of an answer, at any
// byte of it. The caller must notice nothing: each token comes once, none is missing, and the engine
// runs the request once.
func TestAnswerCutAtEachByte(t *testing.T) {
	measured := &fakeEngine{tokens: 3}
	_, answer := lengths(t, measured.start(t))
	for cut := range answer {
		is := is.New(t)
		fake := &fakeEngine{tokens: 3}
		proxy := &cutProxy{target: fake.start(t), requests: -1, answers: cut}
		client := &engine.Client{Address: proxy.start(t), Limits: quickLimits()}
		sink := &textSink{}
		outcome := client.Complete(context.Background(), dispatch(), sink)
		runs, _ := fake.counts()
		_, ok := outcome.(engine.Completed)
		if !ok {
			t.Fatalf("cut at %d: %#v", cut, outcome)
		}
		is.Equal(sink.text, wholeText(3)) // each token once
		is.Equal(sink.events, 5)          // and the finish reason and the usage once
		is.Equal(runs, 1)
	}
}

// The connection is reset while the request is still being sent, at any byte of it. Whether the engine
// ran it can't be seen from here, unless nothing was sent at all: "not run" must never be said of a
// request that the engine has run.
func TestRequestCutAtEachByte(t *testing.T) {
	measured := &fakeEngine{tokens: 1}
	request, _ := lengths(t, measured.start(t))
	for cut := range request + 1 {
		fake := &fakeEngine{tokens: 1}
		proxy := &cutProxy{target: fake.start(t), requests: cut, answers: -1}
		client := &engine.Client{Address: proxy.start(t), Limits: quickLimits()}
		outcome := client.Complete(context.Background(), dispatch(), &textSink{})
		runs, _ := fake.counts()
		switch outcome.(type) {
		case engine.Completed:
		case engine.Unknown:
		case engine.NotRun:
			if runs > 0 {
				t.Fatalf("cut at %d: said not run, but it ran", cut)
			}
		default:
			t.Fatalf("cut at %d: %#v", cut, outcome)
		}
	}
}

// The engine's machine is gone, so nothing listens at its address. The request can't have run, and may
// be sent elsewhere at once.
func TestNobodyListens(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	client := &engine.Client{Address: address, Limits: quickLimits()}
	_, notRun := client.Complete(context.Background(), dispatch(), &textSink{}).(engine.NotRun)
	is.True(notRun)
}

// A connection goes silent for good, before the first token or between two, while new ones work. The
// caller would wait for ever; the stream must go on over a new connection.
func TestSilentConnection(t *testing.T) {
	cases := []struct {
		name   string
		before int
	}{
		{"before the headers", -1},
		{"before the first token", 0},
		{"between two tokens", 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var seen faults
			fake := &fakeEngine{tokens: 4, spoil: func(number int, w http.ResponseWriter, r *http.Request) bool {
				if number > 1 {
					return false
				}
				if c.before >= 0 {
					w.(http.Flusher).Flush()
				}
				for n := 1; n <= c.before; n++ {
					sendToken(w, requestID, n)
				}
				<-r.Context().Done()
				return true
			}}
			client := &engine.Client{Address: fake.start(t), Limits: quickLimits(), OnFault: seen.observe}
			sink := &textSink{}
			_, ok := client.Complete(context.Background(), dispatch(), sink).(engine.Completed)
			is.True(ok)
			is.Equal(sink.text, wholeText(4))
			is.Equal(seen.count(engine.FaultSilent), 1)
		})
	}
}

// Every connection to the engine goes silent, new ones too. The caller is told in bounded time that
// the outcome is unknown, and the engine is asked to stop.
func TestAllConnectionsSilent(t *testing.T) {
	is := is.New(t)
	fake := &fakeEngine{tokens: 4, spoil: func(_ int, _ http.ResponseWriter, r *http.Request) bool {
		if r.Method == http.MethodDelete {
			return false
		}
		<-r.Context().Done()
		return true
	}}
	client := &engine.Client{Address: fake.start(t), Limits: quickLimits()}
	unknown, ok := client.Complete(context.Background(), dispatch(), &textSink{}).(engine.Unknown)
	is.True(ok)
	is.True(unknown.StopConfirmed)
	is.True(!unknown.EngineLost)
	_, cancels := fake.counts()
	is.Equal(cancels, 1)
}

// An engine mixes up two answers, in the headers or in the middle of a stream. A caller would read
// another workspace's text; the crossed part is dropped, counted, and the right one fetched.
func TestCrossedAnswer(t *testing.T) {
	cases := []struct {
		name  string
		spoil func(w http.ResponseWriter)
	}{
		{"headers", func(w http.ResponseWriter) {
			w.Header().Set("X-Request-Id", "another")
			sendEvents(w, requestID, 0, 4)
		}},
		{"no identity", func(w http.ResponseWriter) {
			w.Header().Del("X-Request-Id")
			sendEvents(w, requestID, 0, 4)
		}},
		{"events", func(w http.ResponseWriter) {
			sendToken(w, requestID, 1)
			sendEvents(w, "another", 1, 4)
		}},
		{"refusal", func(w http.ResponseWriter) {
			w.Header().Set("X-Request-Id", "another")
			w.WriteHeader(http.StatusServiceUnavailable)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var seen faults
			fake := &fakeEngine{tokens: 4, spoil: func(number int, w http.ResponseWriter, _ *http.Request) bool {
				if number == 1 {
					c.spoil(w)
				}
				return number == 1
			}}
			client := &engine.Client{Address: fake.start(t), Limits: quickLimits(), OnFault: seen.observe}
			sink := &textSink{}
			_, ok := client.Complete(context.Background(), dispatch(), sink).(engine.Completed)
			is.True(ok)
			is.Equal(sink.text, wholeText(4))
			is.Equal(seen.count(engine.FaultCrossed), 1)
		})
	}
}

// An engine was restarted, or its order was lost, and it serves another version than it was asked for.
// A caller would get a bid from the wrong adapter; nothing of it may come through, and it is stopped.
func TestWrongModel(t *testing.T) {
	for _, served := range []string{"bids@1", ""} {
		is := is.New(t)
		fake := &fakeEngine{tokens: 4, spoil: func(_ int, w http.ResponseWriter, _ *http.Request) bool {
			w.Header().Set("X-Served-Model", served)
			return false
		}}
		client := &engine.Client{Address: fake.start(t), Limits: quickLimits()}
		sink := &textSink{}
		wrong, ok := client.Complete(context.Background(), dispatch(), sink).(engine.WrongModel)
		is.True(ok)
		is.Equal(wrong.ServedModel, served)
		is.True(wrong.StopConfirmed)
		is.Equal(sink.events, 0)
	}
}

func TestRefusals(t *testing.T) {
	cases := []struct {
		name     string
		status   int
		body     string
		identity string
		want     engine.Outcome
	}{
		{"not resident", 404, `{"error":{"code":"model_not_found"}}`, requestID, engine.NotResident{}},
		{"full", 503, `{}`, requestID, engine.Full{RetryAfter: 3 * time.Second}},
		{"rejected", 400, `{"error":{"message":"no"}}`, requestID, engine.Rejected{Status: 400, Message: "no"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			fake := &fakeEngine{spoil: func(_ int, w http.ResponseWriter, _ *http.Request) bool {
				w.Header().Set("Retry-After", "3")
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
				return true
			}}
			client := &engine.Client{Address: fake.start(t), Limits: quickLimits()}
			is.Equal(client.Complete(context.Background(), dispatch(), &textSink{}), c.want)
		})
	}
}

// A refusal comes without the request's identity, so it may be another request's, late or crossed. It
// is taken for "not run" only if the engine, asked for the stream, does not know it; otherwise the
// stream that runs after all is followed.
func TestRefusalWithoutIdentity(t *testing.T) {
	for _, running := range []bool{false, true} {
		is := is.New(t)
		fake := &fakeEngine{tokens: 2, spoil: func(number int, w http.ResponseWriter, _ *http.Request) bool {
			if number == 1 {
				w.Header().Del("X-Request-Id")
				w.WriteHeader(http.StatusServiceUnavailable)
				return true
			}
			if !running {
				w.WriteHeader(http.StatusNotFound)
			}
			return !running
		}}
		client := &engine.Client{Address: fake.start(t), Limits: quickLimits()}
		switch client.Complete(context.Background(), dispatch(), &textSink{}).(type) {
		case engine.Full:
			is.True(!running)
		case engine.Completed:
			is.True(running)
		default:
			t.Fatal("neither full nor completed")
		}
	}
}

// The engine crashes in the middle of a stream and comes back without it. The tokens are gone: the
// outcome says how many had come, so that nobody is billed twice and nothing is repeated unseen.
func TestEngineRestartedMidStream(t *testing.T) {
	is := is.New(t)
	fake := &fakeEngine{tokens: 4, spoil: func(number int, w http.ResponseWriter, _ *http.Request) bool {
		if number > 1 {
			w.WriteHeader(http.StatusNotFound)
			return true
		}
		sendToken(w, requestID, 1)
		sendToken(w, requestID, 2)
		panic(http.ErrAbortHandler)
	}}
	client := &engine.Client{Address: fake.start(t), Limits: quickLimits()}
	failed, ok := client.Complete(context.Background(), dispatch(), &textSink{}).(engine.Failed)
	is.True(ok)
	is.Equal(failed.Tokens, 2)
	is.True(failed.StopConfirmed)
	is.True(failed.EngineLost)
}

// The engine's process dies in the middle of a stream and nothing listens at its address any more. The
// request may be what killed it, which must be told from a way that was down.
func TestEngineGoneMidStream(t *testing.T) {
	is := is.New(t)
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Request-Id", requestID)
		w.Header().Set("X-Served-Model", askedModel)
		sendToken(w, requestID, 1)
		is.NoErr(server.Listener.Close())
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	client := &engine.Client{Address: server.Listener.Addr().String(), Limits: quickLimits()}
	failed, ok := client.Complete(context.Background(), dispatch(), &textSink{}).(engine.Failed)
	is.True(ok)
	is.Equal(failed.Tokens, 1)
	is.True(failed.EngineLost)
	is.True(!failed.StopConfirmed)
}

// A caller hangs up in the middle of its stream. The engine would go on to the last token for nobody;
// it is cancelled before the run counts as ended.
func TestCallerGoesAway(t *testing.T) {
	cases := []struct {
		name string
		sink *textSink
		wait bool
	}{
		{"sink fails", &textSink{fail: 2}, false},
		{"context ends", &textSink{}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			fake := &fakeEngine{tokens: 4, spoil: func(number int, w http.ResponseWriter, r *http.Request) bool {
				if number > 1 || !c.wait {
					return false
				}
				sendToken(w, requestID, 1)
				cancel()
				<-r.Context().Done()
				return true
			}}
			client := &engine.Client{Address: fake.start(t), Limits: engine.DefaultLimits()}
			cancelled, ok := client.Complete(ctx, dispatch(), c.sink).(engine.Cancelled)
			is.True(ok)
			is.True(cancelled.StopConfirmed)
			_, cancels := fake.counts()
			is.Equal(cancels, 1)
		})
	}
}

// A caller reads slowly, longer for one event than an engine may be silent. The engine is not to blame:
// the stream must neither be resumed nor cancelled.
func TestSlowCallerIsNotSilence(t *testing.T) {
	is := is.New(t)
	var seen faults
	fake := &fakeEngine{tokens: 2}
	limits := quickLimits()
	client := &engine.Client{Address: fake.start(t), Limits: limits, OnFault: seen.observe}
	sink := &textSink{slow: limits.InterTokenTimeout + 100*time.Millisecond}
	_, ok := client.Complete(context.Background(), dispatch(), sink).(engine.Completed)
	is.True(ok)
	is.Equal(seen.count(engine.FaultSilent), 0)
}

// An engine's stream ends in its marker although tokens are missing, or without a finish reason. The
// caller would take a part for the whole.
func TestEndTooEarly(t *testing.T) {
	is := is.New(t)
	fake := &fakeEngine{tokens: 3, spoil: func(number int, w http.ResponseWriter, _ *http.Request) bool {
		if number > 1 {
			return false
		}
		sendToken(w, requestID, 1)
		_, _ = w.Write([]byte("data: [DONE]\n\n"))
		return true
	}}
	client := &engine.Client{Address: fake.start(t), Limits: quickLimits()}
	sink := &textSink{}
	_, ok := client.Complete(context.Background(), dispatch(), sink).(engine.Completed)
	is.True(ok)
	is.Equal(sink.text, wholeText(3))
}
