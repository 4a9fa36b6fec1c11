package api_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"lacewingrock.example/lacewingrock/internal/caller/api"
	"lacewingrock.example/lacewingrock/internal/caller/completion"
	"lacewingrock.example/lacewingrock/internal/caller/refusal"
	"lacewingrock.example/lacewingrock/internal/caller/stream"
	"lacewingrock.example/lacewingrock/internal/upstream/service"
)

// fakePipeline accepts one key, "secret", and counts the requests that would have reached an upstream. By default
// Complete answers with three tokens and Call with the call itself.
type fakePipeline struct {
	complete func(ctx context.Context, request completion.Request, sink api.Sink) error
	call     func(call api.ServiceCall) (service.Response, error)
	calls    atomic.Int32
}

func (p *fakePipeline) Authenticate(secret string) (api.Identity, error) {
	if secret != "secret" {
		return api.Identity{}, refusal.New(refusal.InvalidKey, "no such key")
	}
	return api.Identity{Workspace: "blue", Key: "key-1"}, nil
}

func (p *fakePipeline) Models(api.Identity) ([]api.Model, error) {
	return []api.Model{{Name: "bids", Owner: "blue", Created: time.Unix(5, 0)}}, nil
}

func (p *fakePipeline) Complete(ctx context.Context, _ api.Identity, request completion.Request, sink api.Sink) error {
	p.calls.Add(1)
	if p.complete != nil {
		return p.complete(ctx, request, sink)
	}
	return sendThreeTokens(sink)
}

func (p *fakePipeline) Call(_ context.Context, _ api.Identity, call api.ServiceCall) (service.Response, error) {
	p.calls.Add(1)
	if p.call != nil {
		return p.call(call)
	}
	return service.Response{Status: http.StatusCreated, Body: []byte(call.Call.Method + " " + call.Call.Path)}, nil
}

// sendThreeTokens sends a complete stream.
func sendThreeTokens(sink api.Sink) error {
	if err := sink.Begin(api.Served{Model: "bids@2"}); err != nil {
		return err
	}
	for n := 1; n <= 3; n++ {
		if err := sendToken(sink, n); err != nil {
			return err
		}
	}
	last := `{"id":"x","choices":[{"index":0,"text":"","finish_reason":"stop"}]}`
	if err := sink.Event(stream.Event{ID: "3", Data: []byte(last)}, 3); err != nil {
		return err
	}
	usage := `{"id":"x","choices":[],"usage":{"prompt_tokens":2,"completion_tokens":3}}`
	return sink.Event(stream.Event{ID: "3", Data: []byte(usage)}, 3)
}

func sendToken(sink api.Sink, n int) error {
	data := fmt.Sprintf(`{"id":"x","model":"bids@2","choices":[{"index":0,"text":"t%d ","finish_reason":null}]}`, n)
	return sink.Event(stream.Event{ID: fmt.Sprint(n), Data: []byte(data)}, n)
}

// ---------------------------------------------------------------------------------------------

// testServer is a server on the loopback interface.
type testServer struct {
	address string
	stop    context.CancelFunc
	ended   chan error
}

func start(t *testing.T, pipeline api.Pipeline, limits api.Limits) *testServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &testServer{address: listener.Addr().String(), stop: cancel, ended: make(chan error, 1)}
	server := &api.Server{Listener: listener, Pipeline: pipeline, Limits: limits}
	go func() { r.ended <- server.Run(ctx) }()
	t.Cleanup(cancel)
	return r
}

// limits returns the default limits without a delay at the stop. No test asserts a lower bound on any of the times.
func limits() api.Limits {
	limits := api.DefaultLimits()
	limits.ShutdownDelay = 0
	return limits
}

func (r *testServer) url(path string) string { return "http://" + r.address + path }

// blockingPipeline blocks its streams after the first token until they are released.
type blockingPipeline struct {
	fakePipeline
	started, release chan struct{}
}

func (p *blockingPipeline) Complete(_ context.Context, _ api.Identity, _ completion.Request, sink api.Sink) error {
	if err := sink.Begin(api.Served{Model: "bids@2"}); err != nil {
		return err
	}
	if err := sendToken(sink, 1); err != nil {
		return err
	}
	close(p.started)
	<-p.release
	return sendThreeTokens(sink)
}
