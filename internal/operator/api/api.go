// Package api implements the operators' API of an instance: changes and look-ups of resources, keys,
// watches, the revision in force on each instance, and the burn report. It uses JSON over HTTP. The
// interfaces below are its dependencies on the rest of the instance.
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
	// maxBody bounds a request body. A file of 45,000 adapters with a version each is about 15 MB; the
	// limit keeps one call from exhausting the instance's memory.
	maxBody = 32 << 20
	// commitTimeout bounds a change. It is long enough to determine the outcome of a compare-and-swap
	// whose response was lost in a short outage, and short enough for someone waiting at a terminal.
	commitTimeout = 10 * time.Second
	// maxWait bounds waiting for a revision to be in force, or for the next revision.
	maxWait = 25 * time.Second
)

// Configurations reads and changes the configuration; the catalog's repository implements it.
type Configurations interface {
	Current() repository.Snapshot
	Apply(
		ctx context.Context, decide func(c configuration.Configuration) (configuration.Change, error),
	) (revision int64, err error)
	ChangesAfter(
		ctx context.Context, after int64,
	) (current repository.Snapshot, changed []repository.ResourceChange, complete bool)
}

// InstanceStatus is the last known state of one instance.
type InstanceStatus struct {
	Name       string
	DataCentre string
	// Revision is the last reported revision in force there, and InForceSince the time it came into
	// force.
	Revision     int64
	InForceSince time.Time
	// Reachable is false when neither a heartbeat nor a reply of the instance has arrived recently.
	Reachable bool
}

// Fleet reports which revision is in force on each instance.
type Fleet interface {
	Status() []InstanceStatus
	// WaitInForce returns nil once the revision is in force on every instance, or the context's error.
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

// Report is the burn report over all instances, sorted with the worst workspace first.
type Report struct {
	ShortWindow time.Duration
	LongWindow  time.Duration
	Lines       []BurnLine
}

// Reports produces the burn report.
type Reports interface {
	BurnReport(ctx context.Context) (Report, error)
}

// Server serves the operators' API. Set the exported fields before calling Handler.
type Server struct {
	Configurations Configurations
	Fleet          Fleet
	Reports        Reports
	// TokenHashes are the SHA-256 hashes, in lower-case hex, of the accepted operator tokens.
	TokenHashes []string
	// Log receives one line for each call.
	Log zerolog.Logger
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.HTTPErrorHandler = s.writeFailure
	e.Use(s.logCall, s.authenticate)
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
	response := message.Status{Revision: s.Configurations.Current().Head.Revision, Instances: []message.Instance{}}
	for _, i := range s.Fleet.Status() {
		instance := message.Instance{
			Name: i.Name, DataCentre: i.DataCentre, Revision: i.Revision, Reachable: i.Reachable,
		}
		if !i.InForceSince.IsZero() {
			instance.InForceSince = i.InForceSince.UTC().Format(time.RFC3339Nano)
		}
		response.Instances = append(response.Instances, instance)
	}
	return c.JSON(http.StatusOK, response)
}

func (s *Server) burn(c echo.Context) error {
	report, err := s.Reports.BurnReport(c.Request().Context())
	if err != nil {
		return err
	}
	response := message.Burn{
		ShortWindow: report.ShortWindow.String(), LongWindow: report.LongWindow.String(), Lines: []message.BurnLine{},
	}
	for _, line := range report.Lines {
		response.Lines = append(response.Lines, message.BurnLine(line))
	}
	return c.JSON(http.StatusOK, response)
}
