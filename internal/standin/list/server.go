// Package list is a stand-in for the platform's list of live and leaving instances and upstreams. Its
// answers lag behind the members that were set, and a fault makes it unreachable.
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

// Faults of the list. LagMillis is the age of its answers. Unreachable cuts every connection without an
// answer.
type Faults struct {
	LagMillis   int
	Unreachable bool
}

// Member is one entry of the list. The field names are those of the wire format.
type Member struct {
	Name       string
	Role       string
	Address    string
	DataCentre string
	Leaving    bool
}

// Record holds the number of calls and the members that were set last.
type Record struct {
	Calls   int
	Members []Member
}

// Server is the list. POST /control/members replaces its members.
type Server struct {
	endpoint.Endpoint
	LagMillis int

	faults fault.Setting[Faults]

	mu        sync.Mutex
	snapshots []snapshot
	calls     int
}

// snapshot holds the members that were set at one time.
type snapshot struct {
	at      time.Time
	members []Member
}

// maxSnapshots is the number of snapshots retained to simulate the lag.
const maxSnapshots = 1000

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	s.Verb = "list"
	if s.LagMillis != 0 {
		s.faults.Set(Faults{LagMillis: s.LagMillis})
	}
	members := fault.NewRouter()
	members.GET("/v1/members", s.serveMembers)
	routes := (&fault.Control[Faults]{Faults: &s.faults, Record: func() any { return s.Record() }}).Routes()
	routes.POST("/control/members", s.serveSet)
	return s.Serve(ctx, members, routes)
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) { s.faults.Set(faults) }

// SetMembers replaces the members. Readers see the change after the lag.
func (s *Server) SetMembers(members []Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshots = append(s.snapshots, snapshot{at: time.Now(), members: append([]Member{}, members...)})
	if len(s.snapshots) > maxSnapshots {
		s.snapshots = s.snapshots[len(s.snapshots)-maxSnapshots:]
	}
}

// Record returns the members that were set last and the number of calls.
func (s *Server) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := Record{Calls: s.calls, Members: []Member{}}
	if len(s.snapshots) > 0 {
		record.Members = s.snapshots[len(s.snapshots)-1].members
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
	for i := len(s.snapshots) - 1; i >= 0; i-- {
		if !s.snapshots[i].at.After(moment) {
			return s.snapshots[i].members
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
