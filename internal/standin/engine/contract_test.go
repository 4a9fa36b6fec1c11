package engine_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/caller/completion"
	"lacewingrock.example/lacewingrock/internal/caller/stream"
	"lacewingrock.example/lacewingrock/internal/standin/engine"
	client "lacewingrock.example/lacewingrock/internal/upstream/engine"
)

// streamSink collects the data of the events of a stream.
type streamSink struct {
	t    *testing.T
	data []string
}

func (s *streamSink) Begin(string) error { return nil }

func (s *streamSink) Event(event stream.Event, _ int) error {
	s.data = append(s.data, string(event.Data))
	return nil
}

// The engine client of the instances must interpret the responses of the stand-in as the protocol
// defines them, with and without faults.
func TestEngineClientContract(t *testing.T) {
	for _, tt := range []struct {
		name   string
		faults engine.Faults
	}{
		{name: "no fault"},
		{name: "cut in the middle", faults: engine.Faults{CutAfterTokens: 3}},
		{name: "late", faults: engine.Faults{LateMillis: 50}},
		{name: "crossed", faults: engine.Faults{CrossAnswers: true}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := start(t, &engine.Server{LoadTime: time.Millisecond})
			engineClient := &client.Client{Address: s.Address}
			ctx := context.Background()
			dispatch := client.Dispatch{
				ID:    "r1",
				API:   completion.Text,
				Model: "a@1",
				Body:  []byte(`{"model":"a@1","prompt":"p","max_tokens":8,"stream":true,"stream_options":{"include_usage":true}}`),
			}
			_, notResident := engineClient.Complete(ctx, dispatch, &streamSink{t: t}).(client.NotResident)
			is.True(notResident)
			is.NoErr(engineClient.Load(ctx, client.Order{Adapter: "a", Version: "1", Source: "a/1", Fence: 3}))
			s.SetFaults(tt.faults)
			sink := &streamSink{t: t}
			outcome := engineClient.Complete(ctx, dispatch, sink)
			completed, ok := outcome.(client.Completed)
			if !ok {
				t.Fatalf("outcome %#v", outcome)
			}
			is.Equal(completed.Tokens, 8)
			is.Equal(completed.Usage.CompletionTokens, 8)
			is.Equal(streamText(t, sink.data), engine.Text("a@1", "p", 8))
			is.Equal(len(s.Record().Requests), 1)
		})
	}
}

// The client must distinguish the reasons for which the stand-in refuses an order, because the holder
// handles each of them differently.
func TestOrderRefusalContract(t *testing.T) {
	is := is.New(t)
	s := start(t, &engine.Server{Slots: 1, LoadTime: time.Millisecond, CheckFencing: true, ProtectInUse: true})
	engineClient := &client.Client{Address: s.Address}
	ctx := context.Background()
	order := func(adapter string, fence int64) client.Order {
		return client.Order{Adapter: adapter, Version: "1", Source: "x", Fence: fence}
	}
	is.NoErr(engineClient.Load(ctx, order("a", 5)))
	is.True(errors.Is(engineClient.Load(ctx, order("b", 4)), client.ErrStaleFence))
	is.True(errors.Is(engineClient.Load(ctx, order("b", 5)), client.ErrNoSlot))
	answer, err := post(t, s, "/v1/completions", "r1", `{"model":"a@1","prompt":"p","max_tokens":100,"stream":true}`)
	is.NoErr(err)
	is.True(errors.Is(engineClient.Unload(ctx, order("a", 5)), client.ErrInUse))
	_, complete := events(answer)
	is.True(complete)
	is.NoErr(engineClient.Unload(ctx, order("a", 5)))
	s.SetFaults(engine.Faults{FailLoads: 1})
	is.True(errors.Is(engineClient.Load(ctx, order("a", 5)), client.ErrLoadFailed))
	until(t, "the report is up to date", func() bool {
		report, err := engineClient.Report(ctx)
		return err == nil && report.Slots == 1 && len(report.Resident) == 0 && report.Incarnation != ""
	})
}

// An instance crashes while its request is running. The report is the only source from which a new holder
// learns of that request. It must list the adapter version in the form that the client reads, and remove it
// once the request has ended.
func TestReportListsRunningVersions(t *testing.T) {
	is := is.New(t)
	s := start(t, &engine.Server{LoadTime: time.Millisecond, ReportLag: time.Millisecond})
	engineClient := &client.Client{Address: s.Address}
	ctx := context.Background()
	is.NoErr(engineClient.Load(ctx, client.Order{Adapter: "a", Version: "1", Source: "x"}))
	answer, err := post(t, s, "/v1/completions", "r1", `{"model":"a@1","prompt":"p","max_tokens":1000,"stream":true}`)
	is.NoErr(err)
	defer answer.Body.Close()
	until(t, "the report lists the running version", func() bool {
		report, err := engineClient.Report(ctx)
		return err == nil && slices.Equal(report.RunningModels, []string{"a@1"})
	})
	is.NoErr(engineClient.Cancel(ctx, "r1"))
	until(t, "the report lists no running version", func() bool {
		report, err := engineClient.Report(ctx)
		return err == nil && len(report.RunningModels) == 0
	})
}
