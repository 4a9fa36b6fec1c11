// Package endpoint runs the two HTTP servers of a stand-in: the service and its control interface. It
// prints both addresses on one line, from which the parent process learns them when the ports are chosen
// by the system.
package endpoint

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/standin/fault"
)

// Limits of both servers. They are far above what the tests need, and prevent a slow or flooding client from
// exhausting the memory of a stand-in.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	// MaxBodyBytes is the largest size of a request body.
	MaxBodyBytes = 4 << 20
	// stopTimeout is how long running calls may take to end after Serve's context has ended.
	stopTimeout = 2 * time.Second
)

// Loopback is the loopback address with a free port chosen by the system.
const Loopback = "127.0.0.1:0"

// Endpoint is embedded in each stand-in. Address and ControlAddress are "IP:port" (empty means Loopback).
// Once Listen has returned, they are the addresses in use. Announce, if not nil, receives the line that
// contains them.
type Endpoint struct {
	Verb           string
	Address        string
	ControlAddress string
	Announce       io.Writer

	service *fault.Listener
	control net.Listener
}

// Listen opens both sockets. Serve calls it too. A test that needs the addresses calls it first.
func (e *Endpoint) Listen() (err error) {
	defer func() { err = errors.WithMessagef(err, "endpoint %s: listen", e.Verb) }()
	if e.service != nil {
		return nil
	}
	service, err := net.Listen("tcp", orLoopback(e.Address))
	if err != nil {
		return err
	}
	control, err := net.Listen("tcp", orLoopback(e.ControlAddress))
	if err != nil {
		service.Close()
		return err
	}
	e.service = &fault.Listener{Listener: service}
	e.control = control
	e.Address = service.Addr().String()
	e.ControlAddress = control.Addr().String()
	return nil
}

// SilenceOpen permanently silences the connections that are open at the service address, and returns their
// number.
func (e *Endpoint) SilenceOpen() int {
	if e.service == nil {
		return 0
	}
	return e.service.SilenceOpen()
}

// Serve listens, announces the addresses and serves until ctx ends. Running calls then have stopTimeout to
// end.
func (e *Endpoint) Serve(ctx context.Context, service, control http.Handler) (err error) {
	defer func() { err = errors.WithMessagef(err, "endpoint %s", e.Verb) }()
	if err := e.Listen(); err != nil {
		return err
	}
	if e.Announce != nil {
		_, err := fmt.Fprintf(e.Announce, "event=listening program=lacewingstand verb=%s Address=%s ControlAddress=%s\n",
			e.Verb, e.Address, e.ControlAddress)
		if err != nil {
			return err
		}
	}
	var group run.Group
	addServer(&group, e.service, service)
	addServer(&group, e.control, control)
	serveCtx, stop := context.WithCancel(ctx)
	group.Add(func() error {
		<-serveCtx.Done()
		return nil
	}, func(error) { stop() })
	return group.Run()
}

func addServer(group *run.Group, listener net.Listener, handler http.Handler) {
	server := &http.Server{
		Handler:           http.MaxBytesHandler(handler, MaxBodyBytes),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	group.Add(func() error {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	}, func(error) { stopServer(server) })
}

// stopServer waits up to stopTimeout for running calls to end, and cuts the others.
func stopServer(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		server.Close()
	}
}

func orLoopback(address string) string {
	if address == "" {
		return Loopback
	}
	return address
}
