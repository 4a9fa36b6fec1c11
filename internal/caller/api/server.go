package api

// The lifecycle of the server: listening, the limits on connections, and the graceful shutdown.

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/caller/completion"
)

// Limits of the callers' API. Each bounds how much of the shared resources one caller can use.
type Limits struct {
	Completion completion.Limits
	// Limits on the body of a plain service's call and on an assembled answer.
	MaxServiceBodyBytes, MaxAnswerBytes int
	// Limits on the size and the time of a request's headers, and on the time of its body.
	MaxHeaderBytes             int
	HeaderTimeout, BodyTimeout time.Duration
	// WriteTimeout is how long a caller may take to accept the next part of its answer.
	WriteTimeout time.Duration
	// IdleTimeout is how long a connection is kept open between requests.
	IdleTimeout time.Duration
	// Limits on open connections and on requests in flight.
	MaxConnections, MaxRequests int
	// How long a stopping server continues to accept new requests, and how long it then waits for requests in flight.
	// The first must be longer than the load balancer takes to detect the stop.
	ShutdownDelay, DrainTimeout time.Duration
}

// DefaultLimits returns the limits for a small instance.
func DefaultLimits() Limits {
	return Limits{
		Completion:          completion.DefaultLimits(),
		MaxServiceBodyBytes: 1 << 20,
		MaxAnswerBytes:      4 << 20,
		MaxHeaderBytes:      32 << 10,
		HeaderTimeout:       5 * time.Second,
		BodyTimeout:         10 * time.Second,
		WriteTimeout:        15 * time.Second,
		IdleTimeout:         60 * time.Second,
		MaxConnections:      4096,
		MaxRequests:         1024,
		ShutdownDelay:       3 * time.Second,
		DrainTimeout:        10 * time.Minute,
	}
}

// Server serves the callers' API. Listener and Pipeline are set before Run. The zero Limits mean DefaultLimits.
// OnRequestDone, if set, is called after each request. ErrorLog receives the connection errors of net/http, which may
// contain callers' addresses but no keys.
type Server struct {
	Listener      net.Listener
	Pipeline      Pipeline
	Limits        Limits
	OnRequestDone func(RequestRecord)
	ErrorLog      io.Writer

	stopping        atomic.Bool
	openConnections atomic.Int64
	inFlight        chan struct{}
}

// Run serves until ctx ends, then stops without aborting a request. At first it continues to serve, since the load
// balancer and callers with open connections have not detected the stop yet, and asks each connection to close with
// its next answer. Then it stops listening and waits for the requests in flight.
//
// Closing idle connections at once, as net/http does, would reset connections with requests already on their way, and
// their callers would not know whether the requests ran.
func (s *Server) Run(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "callers' server") }()
	server := s.httpServer()
	served := make(chan error, 1)
	go s.serve(server, served)
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	s.stopping.Store(true)
	time.Sleep(s.Limits.ShutdownDelay)
	draining, cancel := context.WithTimeout(context.Background(), s.Limits.DrainTimeout)
	defer cancel()
	return server.Shutdown(draining)
}

func (s *Server) serve(server *http.Server, served chan<- error) {
	served <- server.Serve(&limitedListener{Listener: s.Listener, open: &s.openConnections, limit: int64(s.Limits.MaxConnections)})
}

func (s *Server) httpServer() *http.Server {
	if s.Limits == (Limits{}) {
		s.Limits = DefaultLimits()
	}
	errorLog := s.ErrorLog
	if errorLog == nil {
		errorLog = io.Discard
	}
	return &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: s.Limits.HeaderTimeout,
		IdleTimeout:       s.Limits.IdleTimeout,
		MaxHeaderBytes:    s.Limits.MaxHeaderBytes,
		ErrorLog:          log.New(errorLog, "", 0),
	}
}
