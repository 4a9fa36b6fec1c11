package engine

// What an engine tells of itself. Both answers are hints: the report lags and the events come late and
// with gaps.

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

// Report is an engine's own view of itself; Age says how old it is. Resident names "adapter@version", as
// does RunningModels, the versions that requests run on; nil from an engine that does not tell.
// An Incarnation other than the last one means that the engine was restarted and holds nothing.
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

// CacheEvent tells of a change in an engine's memory. Kind is "loaded", "evicted" or "prefix".
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

// Report asks for the engine's load report.
func (c *Client) Report(ctx context.Context) (report Report, err error) {
	defer func() { err = errors.WithMessage(err, "report") }()
	var wire wireReport
	if err := c.get(ctx, "/report", &wire); err != nil {
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

// Events asks for the cache events after a number, and returns the number to ask after next.
func (c *Client) Events(ctx context.Context, after int64) (events []CacheEvent, next int64, err error) {
	defer func() { err = errors.WithMessage(err, "events") }()
	var wire wireEvents
	if err := c.get(ctx, "/events?after="+strconv.FormatInt(after, 10), &wire); err != nil {
		return nil, after, err
	}
	for _, event := range wire.Events {
		events = append(events, CacheEvent(event))
	}
	return events, wire.Next, nil
}

func (c *Client) get(ctx context.Context, target string, into any) error {
	c.prepare()
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
	if crossed(response, id) {
		c.observe(FaultCrossed)
		return errors.New("answer to another request")
	}
	body, err := exchange.ReadAll(response.Body, c.limits.MaxResponseBytes)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, into)
}
