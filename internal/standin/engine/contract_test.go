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

// text collects what a stream delivers.
type text struct {
	t    *testing.T
	data []string
}

func (s *text) Begin(string) error { return nil }

func (s *text) Event(event stream.Event, _ int) error {
	s.data = append(s.data, string(event.Data))
	return nil
}

// The instances' own client of engines must read the stand-in's answers as the protocol means them,
// also those of a stand-in with a fault set.
func TestEngineClientAgrees(t *testing.T) {
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
			using := &client.Client{Address: s.Address}
			ctx := context.Background()
			asked := client.Dispatch{
				ID:    "r1",
				API:   completion.Text,
				Model: "a@1",
				Body:  []byte(`{"model":"a@1","prompt":"p","max_tokens":8,"stream":true,"stream_options":{"include_usage":true}}`),
			}
			_, notResident := using.Complete(ctx, asked, &text{t: t}).(client.NotResident)
			is.True(notResident)
			is.NoErr(using.Load(ctx, client.Order{Adapter: "a", Version: "1", Source: "a/1", Fence: 3}))
			s.SetFaults(tt.faults)
			sink := &text{t: t}
			outcome := using.Complete(ctx, asked, sink)
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

// Orders that the stand-in refuses must be told apart by the client, since the holder does something
// else after each.
func TestOrderRefusalsAgree(t *testing.T) {
	is := is.New(t)
	s := start(t, &engine.Server{Slots: 1, LoadTime: time.Millisecond, CheckFencing: true, ProtectInUse: true})
	using := &client.Client{Address: s.Address}
	ctx := context.Background()
	order := func(adapter string, fence int64) client.Order {
		return client.Order{Adapter: adapter, Version: "1", Source: "x", Fence: fence}
	}
	is.NoErr(using.Load(ctx, order("a", 5)))
	is.True(errors.Is(using.Load(ctx, order("b", 4)), client.ErrStaleFence))
	is.True(errors.Is(using.Load(ctx, order("b", 5)), client.ErrNoSlot))
	answer, err := post(t, s, "/v1/completions", "r1", `{"model":"a@1","prompt":"p","max_tokens":100,"stream":true}`)
	is.NoErr(err)
	is.True(errors.Is(using.Unload(ctx, order("a", 5)), client.ErrInUse))
	_, whole := events(answer)
	is.True(whole)
	is.NoErr(using.Unload(ctx, order("a", 5)))
	s.SetFaults(engine.Faults{FailLoads: 1})
	is.True(errors.Is(using.Load(ctx, order("a", 5)), client.ErrLoadFailed))
	until(t, "the report catches up", func() bool {
		report, err := using.Report(ctx)
		return err == nil && report.Slots == 1 && len(report.Resident) == 0 && report.Incarnation != ""
	})
}

// An instance died while its request runs. The report is all that tells a new holder of it, so it must
// name the version, in a form that the client reads, and drop it once the request has ended.
func TestReportNamesWhatRuns(t *testing.T) {
	is := is.New(t)
	s := start(t, &engine.Server{LoadTime: time.Millisecond, ReportLag: time.Millisecond})
	using := &client.Client{Address: s.Address}
	ctx := context.Background()
	is.NoErr(using.Load(ctx, client.Order{Adapter: "a", Version: "1", Source: "x"}))
	answer, err := post(t, s, "/v1/completions", "r1", `{"model":"a@1","prompt":"p","max_tokens":1000,"stream":true}`)
	is.NoErr(err)
	defer answer.Body.Close()
	until(t, "the running version is named", func() bool {
		report, err := using.Report(ctx)
		return err == nil && slices.Equal(report.RunningModels, []string{"a@1"})
	})
	is.NoErr(using.Cancel(ctx, "r1"))
	until(t, "nothing runs", func() bool {
		report, err := using.Report(ctx)
		return err == nil && len(report.RunningModels) == 0
	})
}
