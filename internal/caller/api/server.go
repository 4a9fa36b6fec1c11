package api

// The server's life: listening, the limits on what a connection may do, and the planned stop.

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

// Limits of the callers' side. None has a measured reason yet; each bounds what one caller can take
// from the others.
type Limits struct {
	Completion completion.Limits
	// MaxServiceBodyBytes bounds the body of a plain service's call, MaxAnswerBytes an assembled answer.
	MaxServiceBodyBytes, MaxAnswerBytes int
	// MaxHeaderBytes and HeaderWithin bound a request's headers, BodyWithin its body.
	MaxHeaderBytes             int
	HeaderTimeout, BodyTimeout time.Duration
	// WriteTimeout is how long a caller may take to make room for the next part of its answer.
	WriteTimeout time.Duration
	// IdleTimeout is how long a connection is kept open between two requests.
	IdleTimeout time.Duration
	// MaxConnections bounds the open connections, MaxRequests the requests in flight.
	MaxConnections, MaxRequests int
	// ShutdownDelay is how long a stopping server goes on serving new requests, which is to be longer than the
	// balancer takes to notice; DrainTimeout is how long it then waits for requests in flight.
	ShutdownDelay, DrainTimeout time.Duration
}

// DefaultLimits suit a small instance.
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

// Server answers callers. Listener and Pipeline are set before Run; the zero Limits mean
// DefaultLimits. Observe, when set, is told of each request that has ended. ErrorLog receives what
// net/http has to say about connections, which may hold callers' addresses but no keys.
type Server struct {
	Listener      net.Listener
	Pipeline      Pipeline
	Limits        Limits
	OnRequestDone func(RequestRecord)
	ErrorLog      io.Writer

	stopping atomic.Bool
	open     atomic.Int64
	places   chan struct{}
}

// Run serves until ctx ends, and then stops without cutting a request: for Settle it goes on serving,
// since the balancer and callers with open connections don't know yet, and tells each connection with
// its next answer to close. Only then it stops listening and waits for the requests in flight.
//
// Closing idle connections at once, as net/http does, would meet requests that are already on their
// way; their callers would see a reset and not know whether they ran.
func (s *Server) Run(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "callers' server") }()
	server := s.httpServer()
	served := make(chan error, 1)
	go s.run(server, served)
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

func (s *Server) run(server *http.Server, served chan<- error) {
	served <- server.Serve(&limitedListener{Listener: s.Listener, open: &s.open, most: int64(s.Limits.MaxConnections)})
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
