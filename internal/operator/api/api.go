// Package api is what an instance answers operators: changes and look-ups of resources, keys, watches,
// where a revision is in force, and the burn report. It speaks JSON over HTTP. What it needs of the
// rest of the instance comes through the small interfaces below.
package api

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"lacewingrock.example/lacewingrock/internal/catalog/configuration"
	"lacewingrock.example/lacewingrock/internal/catalog/repository"
	"lacewingrock.example/lacewingrock/internal/operator/message"
)

const (
	// maxBody bounds what an operator may send. A file of 45,000 adapters with a version each is some
	// 15 MB; the limit keeps one call from using up the instance's memory.
	maxBody = 32 << 20
	// commitWithin bounds a change. It is long enough to find out what became of a swap whose answer
	// was lost in a short outage, and short enough for someone who waits at a terminal.
	commitWithin = 10 * time.Second
	// longestWait bounds waiting for a revision to be in force, or for the next one.
	longestWait = 25 * time.Second
)

// Configurations is the repository.
type Configurations interface {
	Current() repository.Snapshot
	Apply(
		ctx context.Context, decide func(c configuration.Configuration) (configuration.Change, error),
	) (revision int64, err error)
	ChangesAfter(
		ctx context.Context, after int64,
	) (current repository.Snapshot, changed []repository.ResourceChange, complete bool)
}

// InstanceStatus is what is known of one member.
type InstanceStatus struct {
	Name       string
	DataCentre string
	// Revision is the one in force there, as last heard, and InForceSince since when.
	Revision     int64
	InForceSince time.Time
	// Reachable is false when nothing was heard of it lately.
	Reachable bool
}

// Fleet knows how far the members are.
type Fleet interface {
	Status() []InstanceStatus
	// WaitInForce returns nil once the revision is in force everywhere, or the context's error.
	WaitInForce(ctx context.Context, revision int64) error
}

// BurnLine is one objective of one workspace; see message.BurnLine.
type BurnLine struct {
	Workspace  string
	Objective  string
	Target     float64
	ShortBurn  float64
	LongBurn   float64
	BudgetLeft float64
	Good       int64
	Bad        int64
}

// Report is the burn report over all instances, the worst workspace first.
type Report struct {
	ShortWindow time.Duration
	LongWindow  time.Duration
	Lines       []BurnLine
}

// Reports makes the burn report.
type Reports interface {
	BurnReport(ctx context.Context) (Report, error)
}

// Server answers operators. Set the exported fields before Handler is called.
type Server struct {
	Configurations Configurations
	Fleet          Fleet
	Reports        Reports
	// TokenHashes are the SHA-256, in lower-case hex, of the tokens that operators may present.
	TokenHashes []string
	// Log takes one line for each call.
	Log zerolog.Logger
}

// Handler gives the HTTP handler.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.HTTPErrorHandler = s.fail
	e.Use(s.logged, s.authenticated)
	e.POST("/v1/apply", s.apply)
	e.GET("/v1/resources/:kind", s.list)
	e.GET("/v1/resources/:kind/:name", s.get)
	e.DELETE("/v1/resources/:kind/:name", s.remove)
	e.GET("/v1/watch", s.watch)
	e.POST("/v1/keys", s.grant)
	e.POST("/v1/keys/:name/withdraw", s.withdraw)
	e.GET("/v1/status", s.status)
	e.GET("/v1/report/burn", s.burn)
	return e
}

func (s *Server) status(c echo.Context) error {
	answer := message.Status{Revision: s.Configurations.Current().Head.Revision, Instances: []message.Instance{}}
	for _, i := range s.Fleet.Status() {
		instance := message.Instance{
			Name: i.Name, DataCentre: i.DataCentre, Revision: i.Revision, Reachable: i.Reachable,
		}
		if !i.InForceSince.IsZero() {
			instance.InForceSince = i.InForceSince.UTC().Format(time.RFC3339Nano)
		}
		answer.Instances = append(answer.Instances, instance)
	}
	return c.JSON(http.StatusOK, answer)
}

func (s *Server) burn(c echo.Context) error {
	report, err := s.Reports.BurnReport(c.Request().Context())
	if err != nil {
		return err
	}
	answer := message.Burn{
		ShortWindow: report.ShortWindow.String(), LongWindow: report.LongWindow.String(), Lines: []message.BurnLine{},
	}
	for _, line := range report.Lines {
		answer.Lines = append(answer.Lines, message.BurnLine(line))
	}
	return c.JSON(http.StatusOK, answer)
}
