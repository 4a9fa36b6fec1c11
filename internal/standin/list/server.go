// Package list stands in for the platform's list of live and leaving instances and upstreams. What it
// answers lags behind what it was told, and on demand it cannot be reached.
package list

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"lacewingrock.example/lacewingrock/internal/standin/endpoint"
	"lacewingrock.example/lacewingrock/internal/standin/fault"
)

// Faults of the list. LagMillis is how old its answers are; Unreachable cuts every connection
// without an answer.
type Faults struct {
	LagMillis   int
	Unreachable bool
}

// Member is one line of the list, named as on the wire.
type Member struct {
	Name       string
	Role       string
	Address    string
	DataCentre string
	Leaving    bool
}

// Record counts the calls and shows the members as last set.
type Record struct {
	Calls   int
	Members []Member
}

// Server is the list. POST /control/members replaces its members.
type Server struct {
	endpoint.Endpoint
	LagMillis int

	faults fault.Setting[Faults]

	mu    sync.Mutex
	told  []telling
	calls int
}

// telling is the members as told at one moment.
type telling struct {
	at      time.Time
	members []Member
}

// maxTold bounds how many earlier tellings are kept for the lag.
const maxTold = 1000

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	s.Verb = "list"
	if s.LagMillis != 0 {
		s.faults.Set(Faults{LagMillis: s.LagMillis})
	}
	work := fault.NewRouter()
	work.GET("/v1/members", s.serveMembers)
	routes := (&fault.Control[Faults]{Faults: &s.faults, Record: func() any { return s.Record() }}).Routes()
	routes.POST("/control/members", s.serveSet)
	return s.Serve(ctx, work, routes)
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) { s.faults.Set(faults) }

// SetMembers replaces the members; readers see it once the lag has passed.
func (s *Server) SetMembers(members []Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told = append(s.told, telling{at: time.Now(), members: append([]Member{}, members...)})
	if len(s.told) > maxTold {
		s.told = s.told[len(s.told)-maxTold:]
	}
}

// Record returns what the list was told last and how often it was asked.
func (s *Server) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := Record{Calls: s.calls, Members: []Member{}}
	if len(s.told) > 0 {
		record.Members = s.told[len(s.told)-1].members
	}
	return record
}

func (s *Server) serveMembers(c echo.Context) error {
	faults := s.faults.Get()
	members := s.asOf(time.Now().Add(-time.Duration(faults.LagMillis) * time.Millisecond))
	if faults.Unreachable {
		fault.Cut(c.Response().Writer)
		return nil
	}
	return c.JSON(http.StatusOK, members)
}

func (s *Server) asOf(moment time.Time) []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	for i := len(s.told) - 1; i >= 0; i-- {
		if !s.told[i].at.After(moment) {
			return s.told[i].members
		}
	}
	return []Member{}
}

func (s *Server) serveSet(c echo.Context) error {
	var members []Member
	if err := fault.Decode(c.Request(), &members); err != nil {
		return c.String(http.StatusBadRequest, err.Error()+"\n")
	}
	s.SetMembers(members)
	return c.JSON(http.StatusOK, s.Record())
}
