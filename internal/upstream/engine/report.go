package engine

// Load reports and cache events of an engine. Both are only hints: the report is out of date when
// it arrives, and the events arrive late and with gaps.

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/upstream/exchange"
)

// Report is an engine's load report; Age is how old it is. Resident lists the loaded adapter
// versions as "adapter@version". RunningModels lists the versions that requests are running on, in
// the same form; it is nil if the engine does not report them. If Incarnation differs from that of
// the previous report, the engine was restarted and has no adapters loaded.
type Report struct {
	Incarnation string
	Slots       int
	Batch       int
	Running     int
	Waiting     int
	Resident    []string
	Age         time.Duration

	RunningModels []string
}

// CacheEvent reports a change in an engine's memory. Kind is "loaded", "evicted" or "prefix".
type CacheEvent struct {
	Number  int64
	Kind    string
	Adapter string
	Version string
	Prefix  string
}

type wireReport struct {
	Incarnation string
	Slots       int
	Batch       int
	Running     int
	Waiting     int
	Resident    []string
	AgeMillis   int64

	RunningModels []string
}

type wireEvents struct {
	Next   int64
	Events []wireEvent
}

type wireEvent struct {
	Number  int64
	Kind    string
	Adapter string
	Version string
	Prefix  string
}

// Report fetches the engine's load report.
func (c *Client) Report(ctx context.Context) (report Report, err error) {
	defer func() { err = errors.WithMessage(err, "report") }()
	var wire wireReport
	if err := c.getJSON(ctx, "/report", &wire); err != nil {
		return Report{}, err
	}
	return Report{
		Incarnation: wire.Incarnation,
		Slots:       wire.Slots,
		Batch:       wire.Batch,
		Running:     wire.Running,
		Waiting:     wire.Waiting,
		Resident:    wire.Resident,
		Age:         time.Duration(wire.AgeMillis) * time.Millisecond,

		RunningModels: wire.RunningModels,
	}, nil
}

// Events fetches the cache events with numbers above after. It returns the number to pass as after
// in the next call.
func (c *Client) Events(ctx context.Context, after int64) (events []CacheEvent, next int64, err error) {
	defer func() { err = errors.WithMessage(err, "events") }()
	var wire wireEvents
	if err := c.getJSON(ctx, "/events?after="+strconv.FormatInt(after, 10), &wire); err != nil {
		return nil, after, err
	}
	for _, event := range wire.Events {
		events = append(events, CacheEvent(event))
	}
	return events, wire.Next, nil
}

func (c *Client) getJSON(ctx context.Context, target string, into any) error {
	c.initialize()
	ctx, cancel := context.WithTimeout(ctx, c.limits.ReportTimeout)
	defer cancel()
	id := uuid.NewString()
	response, err := c.transport.Do(ctx, exchange.Request{
		Address: c.Address,
		Method:  http.MethodGet,
		Target:  target,
		Header:  http.Header{headerRequestID: {id}},
	})
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", response.StatusCode)
	}
	if isForOtherRequest(response, id) {
		c.reportFault(FaultCrossed)
		return errors.New("response to another request")
	}
	body, err := exchange.ReadAll(response.Body, c.limits.MaxResponseBytes)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, into)
}
