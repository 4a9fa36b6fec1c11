package engine_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/upstream/engine"
)

func TestCompletePlain(t *testing.T) {
	is := is.New(t)
	fake := &fakeEngine{tokens: 5}
	client := &engine.Client{Address: fake.start(t), Limits: shortLimits()}
	sink := &textSink{}
	outcome := client.Complete(context.Background(), dispatch(), sink)
	completed, ok := outcome.(engine.Completed)
	is.True(ok)
	is.Equal(completed.Tokens, 5)
	is.Equal(completed.Usage.Total(), 8)
	is.Equal(sink.text, fullText(5))
	is.Equal(sink.begun, 1)
}

// A device between the instance and the engine resets the connection at any byte of the response.
// The caller must not be affected: each token is delivered exactly once, and the engine runs the
// request once.
func TestResponseCutAtEachByte(t *testing.T) {
	measured := &fakeEngine{tokens: 3}
	_, response := measureExchange(t, measured.start(t))
	for cut := range response {
		is := is.New(t)
		fake := &fakeEngine{tokens: 3}
		proxy := &cutProxy{target: fake.start(t), requestLimit: -1, responseLimit: cut}
		client := &engine.Client{Address: proxy.start(t), Limits: shortLimits()}
		sink := &textSink{}
		outcome := client.Complete(context.Background(), dispatch(), sink)
		runs, _ := fake.counts()
		_, ok := outcome.(engine.Completed)
		if !ok {
			t.Fatalf("cut at %d: %#v", cut, outcome)
		}
		is.Equal(sink.text, fullText(3)) // each token once
		is.Equal(sink.events, 5)         // and the finish reason and the usage once
		is.Equal(runs, 1)
	}
}

// The connection is reset at any byte while the request is being sent. The client cannot tell
// whether the engine ran the request, unless nothing was sent. It must never report a request as
// not run if the engine ran it.
func TestRequestCutAtEachByte(t *testing.T) {
	measured := &fakeEngine{tokens: 1}
	request, _ := measureExchange(t, measured.start(t))
	for cut := range request + 1 {
		fake := &fakeEngine{tokens: 1}
		proxy := &cutProxy{target: fake.start(t), requestLimit: cut, responseLimit: -1}
		client := &engine.Client{Address: proxy.start(t), Limits: shortLimits()}
		outcome := client.Complete(context.Background(), dispatch(), &textSink{})
		runs, _ := fake.counts()
		switch outcome.(type) {
		case engine.Completed:
		case engine.Unknown:
		case engine.NotRun:
			if runs > 0 {
				t.Fatalf("cut at %d: reported as not run, but it ran", cut)
			}
		default:
			t.Fatalf("cut at %d: %#v", cut, outcome)
		}
	}
}

// Nothing listens at the engine's address, because its machine has failed. The request cannot have
// run, so it may be sent to another engine at once.
func TestConnectionRefused(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	client := &engine.Client{Address: address, Limits: shortLimits()}
	_, notRun := client.Complete(context.Background(), dispatch(), &textSink{}).(engine.NotRun)
	is.True(notRun)
}

// A connection delivers nothing more, before the first token or between two, while new connections
// work. The caller would wait forever; the stream must be resumed on a new connection.
func TestStalledConnectionIsResumed(t *testing.T) {
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
			var faults faultCounter
			fake := &fakeEngine{tokens: 4, intercept: func(number int, w http.ResponseWriter, r *http.Request) bool {
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
			client := &engine.Client{Address: fake.start(t), Limits: shortLimits(), OnFault: faults.observe}
			sink := &textSink{}
			_, ok := client.Complete(context.Background(), dispatch(), sink).(engine.Completed)
			is.True(ok)
			is.Equal(sink.text, fullText(4))
			is.Equal(faults.count(engine.FaultSilent), 1)
		})
	}
}

// Every connection to the engine stalls, new ones included. Within bounded time the outcome
// must be unknown, and the client must ask the engine to cancel the stream.
func TestAllConnectionsStalled(t *testing.T) {
	is := is.New(t)
	fake := &fakeEngine{tokens: 4, intercept: func(_ int, _ http.ResponseWriter, r *http.Request) bool {
		if r.Method == http.MethodDelete {
			return false
		}
		<-r.Context().Done()
		return true
	}}
	client := &engine.Client{Address: fake.start(t), Limits: shortLimits()}
	unknown, ok := client.Complete(context.Background(), dispatch(), &textSink{}).(engine.Unknown)
	is.True(ok)
	is.True(unknown.StopConfirmed)
	is.True(!unknown.EngineLost)
	_, cancels := fake.counts()
	is.Equal(cancels, 1)
}

// An engine accepts each resume and sends nothing for longer than all resumes may take together, because it is slow. The
// caller must get the whole response, and the engine must neither be asked to cancel the stream nor run it again.
func TestSilentEngineThatAcceptsResumesIsAwaited(t *testing.T) {
	cases := []struct {
		name   string
		before int
	}{
		{"before the first token", 0},
		{"between two tokens", 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var faults faultCounter
			limits := shortLimits()
			silentConnections := limits.MaxResumes + 5
			fake := &fakeEngine{tokens: 4, intercept: func(number int, w http.ResponseWriter, r *http.Request) bool {
				if number > silentConnections {
					return false
				}
				w.(http.Flusher).Flush()
				for n := 1; number == 1 && n <= c.before; n++ {
					sendToken(w, requestID, n)
				}
				<-r.Context().Done()
				return true
			}}
			client := &engine.Client{Address: fake.start(t), Limits: limits, OnFault: faults.observe}
			sink := &textSink{}
			_, ok := client.Complete(t.Context(), dispatch(), sink).(engine.Completed)
			is.True(ok)
			is.Equal(sink.text, fullText(4))
			is.Equal(faults.count(engine.FaultSilent), silentConnections)
			runs, cancels := fake.counts()
			is.Equal(runs, 1)
			is.Equal(cancels, 0)
		})
	}
}

// An engine accepts resumes in silence until it is lost. The loss must be noticed with the next resumes, or the caller
// would wait for a response that no engine works on any more.
func TestEngineLostAfterSilentResumes(t *testing.T) {
	const acceptedResumes = 4
	cases := []struct {
		name   string
		lose   func(w http.ResponseWriter, r *http.Request)
		lost   bool
		resume int
	}{
		{"it does not know the stream", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusNotFound)
		}, true, 1},
		{"it does not respond", func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
		}, false, 2},
		{"it refuses the resume", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusInternalServerError)
		}, false, 2},
		{"it ends each response", func(w http.ResponseWriter, _ *http.Request) {
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}, false, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var resumes atomic.Int32
			fake := &fakeEngine{tokens: 4, intercept: func(number int, w http.ResponseWriter, r *http.Request) bool {
				switch {
				case r.Method == http.MethodDelete:
					return false
				case number > 1+acceptedResumes:
					resumes.Add(1)
					c.lose(w, r)
					return true
				case number == 1:
					sendToken(w, requestID, 1)
				}
				w.(http.Flusher).Flush()
				<-r.Context().Done()
				return true
			}}
			client := &engine.Client{Address: fake.start(t), Limits: shortLimits()}
			failed, ok := client.Complete(t.Context(), dispatch(), &textSink{}).(engine.Failed)
			is.True(ok)
			is.Equal(failed.Tokens, 1)
			is.Equal(failed.EngineLost, c.lost)
			is.True(failed.StopConfirmed)
			is.Equal(int(resumes.Load()), c.resume)
		})
	}
}

// An engine accepts each resume and never sends anything. The wait must end at the deadline of the request, with the
// stream cancelled, or the caller and the batch slot would be held without bound.
func TestSilentEngineIsAwaitedUntilTheDeadline(t *testing.T) {
	is := is.New(t)
	fake := &fakeEngine{tokens: 4, intercept: func(_ int, w http.ResponseWriter, r *http.Request) bool {
		if r.Method == http.MethodDelete {
			return false
		}
		w.(http.Flusher).Flush()
		<-r.Context().Done()
		return true
	}}
	client := &engine.Client{Address: fake.start(t), Limits: shortLimits()}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	cancelled, ok := client.Complete(ctx, dispatch(), &textSink{}).(engine.Cancelled)
	is.True(ok)
	is.Equal(cancelled.Err, context.DeadlineExceeded)
	is.True(cancelled.StopConfirmed)
	is.True(cancelled.EngineSilent)
	_, cancels := fake.counts()
	is.Equal(cancels, 1)
}

// An engine sends the response of another request, from the headers on or from the middle of a
// stream. The caller would read the text of another workspace. The wrong part must be discarded and
// counted, and the right one fetched.
func TestResponseToAnotherRequest(t *testing.T) {
	cases := []struct {
		name    string
		corrupt func(w http.ResponseWriter)
	}{
		{"headers", func(w http.ResponseWriter) {
			w.Header().Set("X-Request-Id", "another")
			sendEvents(w, requestID, 0, 4)
		}},
		{"no request ID", func(w http.ResponseWriter) {
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
			var faults faultCounter
			fake := &fakeEngine{tokens: 4, intercept: func(number int, w http.ResponseWriter, _ *http.Request) bool {
				if number == 1 {
					c.corrupt(w)
				}
				return number == 1
			}}
			client := &engine.Client{Address: fake.start(t), Limits: shortLimits(), OnFault: faults.observe}
			sink := &textSink{}
			_, ok := client.Complete(context.Background(), dispatch(), sink).(engine.Completed)
			is.True(ok)
			is.Equal(sink.text, fullText(4))
			is.Equal(faults.count(engine.FaultCrossed), 1)
		})
	}
}

// After a restart or a lost order, an engine serves another adapter version than the requested one.
// The caller would get a bid from the wrong adapter. No event may reach the caller, and the stream
// must be cancelled.
func TestWrongModel(t *testing.T) {
	for _, served := range []string{"bids@1", ""} {
		is := is.New(t)
		fake := &fakeEngine{tokens: 4, intercept: func(_ int, w http.ResponseWriter, _ *http.Request) bool {
			w.Header().Set("X-Served-Model", served)
			return false
		}}
		client := &engine.Client{Address: fake.start(t), Limits: shortLimits()}
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
		name      string
		status    int
		body      string
		requestID string
		want      engine.Outcome
	}{
		{"not resident", 404, `{"error":{"code":"model_not_found"}}`, requestID, engine.NotResident{}},
		{"full", 503, `{}`, requestID, engine.Full{RetryAfter: 3 * time.Second}},
		{"rejected", 400, `{"error":{"message":"no"}}`, requestID, engine.Rejected{Status: 400, Message: "no"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			fake := &fakeEngine{intercept: func(_ int, w http.ResponseWriter, _ *http.Request) bool {
				w.Header().Set("Retry-After", "3")
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
				return true
			}}
			client := &engine.Client{Address: fake.start(t), Limits: shortLimits()}
			is.Equal(client.Complete(context.Background(), dispatch(), &textSink{}), c.want)
		})
	}
}

// A refusal without a request ID may belong to another request. It counts as not run only if the
// engine, when asked for the stream, does not know it. Otherwise the client follows the running
// stream.
func TestRefusalWithoutRequestID(t *testing.T) {
	for _, running := range []bool{false, true} {
		is := is.New(t)
		fake := &fakeEngine{tokens: 2, intercept: func(number int, w http.ResponseWriter, _ *http.Request) bool {
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
		client := &engine.Client{Address: fake.start(t), Limits: shortLimits()}
		switch client.Complete(context.Background(), dispatch(), &textSink{}).(type) {
		case engine.Full:
			is.True(!running)
		case engine.Completed:
			is.True(running)
		default:
			t.Fatal("outcome is neither Full nor Completed")
		}
	}
}

// The engine crashes in the middle of a stream and restarts without it. The outcome must state how
// many tokens were received, so that nobody is billed twice and nothing is retried unnoticed.
func TestEngineRestartedMidStream(t *testing.T) {
	is := is.New(t)
	fake := &fakeEngine{tokens: 4, intercept: func(number int, w http.ResponseWriter, _ *http.Request) bool {
		if number > 1 {
			w.WriteHeader(http.StatusNotFound)
			return true
		}
		sendToken(w, requestID, 1)
		sendToken(w, requestID, 2)
		panic(http.ErrAbortHandler)
	}}
	client := &engine.Client{Address: fake.start(t), Limits: shortLimits()}
	failed, ok := client.Complete(context.Background(), dispatch(), &textSink{}).(engine.Failed)
	is.True(ok)
	is.Equal(failed.Tokens, 2)
	is.True(failed.StopConfirmed)
	is.True(failed.EngineLost)
}

// The engine process dies in the middle of a stream, and nothing listens at its address any more.
// The request may have crashed it, so this must be distinguished from a network failure.
func TestEngineDiesMidStream(t *testing.T) {
	is := is.New(t)
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Request-Id", requestID)
		w.Header().Set("X-Served-Model", requestedModel)
		sendToken(w, requestID, 1)
		is.NoErr(server.Listener.Close())
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	client := &engine.Client{Address: server.Listener.Addr().String(), Limits: shortLimits()}
	failed, ok := client.Complete(context.Background(), dispatch(), &textSink{}).(engine.Failed)
	is.True(ok)
	is.Equal(failed.Tokens, 1)
	is.True(failed.EngineLost)
	is.True(!failed.StopConfirmed)
}

// A caller disconnects in the middle of its stream. The engine would otherwise generate up to the
// last token for nobody; the stream must be cancelled before the run counts as ended.
func TestCallerDisconnects(t *testing.T) {
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
			fake := &fakeEngine{tokens: 4, intercept: func(number int, w http.ResponseWriter, r *http.Request) bool {
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

// A slow caller takes longer to read one event than the engine's idle timeout. The engine is not at
// fault, so the stream must be neither resumed nor cancelled.
func TestSlowCallerDoesNotTriggerIdleTimeout(t *testing.T) {
	is := is.New(t)
	var faults faultCounter
	fake := &fakeEngine{tokens: 2}
	limits := shortLimits()
	client := &engine.Client{Address: fake.start(t), Limits: limits, OnFault: faults.observe}
	sink := &textSink{slow: limits.InterTokenTimeout + 100*time.Millisecond}
	_, ok := client.Complete(context.Background(), dispatch(), sink).(engine.Completed)
	is.True(ok)
	is.Equal(faults.count(engine.FaultSilent), 0)
}

// An engine sends [DONE] although tokens or the finish reason are missing. The caller would treat a
// partial response as complete.
func TestPrematureEndOfStream(t *testing.T) {
	is := is.New(t)
	fake := &fakeEngine{tokens: 3, intercept: func(number int, w http.ResponseWriter, _ *http.Request) bool {
		if number > 1 {
			return false
		}
		sendToken(w, requestID, 1)
		_, _ = w.Write([]byte("data: [DONE]\n\n"))
		return true
	}}
	client := &engine.Client{Address: fake.start(t), Limits: shortLimits()}
	sink := &textSink{}
	_, ok := client.Complete(context.Background(), dispatch(), sink).(engine.Completed)
	is.True(ok)
	is.Equal(sink.text, fullText(3))
}
