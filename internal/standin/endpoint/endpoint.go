// Package endpoint runs the two HTTP servers of a stand-in: the one it works at and the one it is
// controlled at. It announces both addresses on one line, from which whoever started the process
// learns them when it asked for free ports.
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

// Limits of both servers. No measured reason yet: they are far above what the tests need and keep a
// slow or flooding sender from holding a stand-in's memory.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	// MaxBodyBytes bounds the body of a call.
	MaxBodyBytes = 4 << 20
	// stopTimeout is how long running calls may take to end once Run is told to stop.
	stopTimeout = 2 * time.Second
)

// Loopback is the address that lets the system choose a free port.
const Loopback = "127.0.0.1:0"

// Endpoint is embedded in each stand-in. Address and ControlAddress are "IP:port" (empty means
// Loopback); once Listen has returned they are the addresses in use. Announce, if not nil, gets the
// line that names them.
type Endpoint struct {
	Verb           string
	Address        string
	ControlAddress string
	Announce       io.Writer

	work    *fault.Listener
	control net.Listener
}

// Listen opens both sockets. Run does so too; a test that needs the addresses calls it before.
func (e *Endpoint) Listen() (err error) {
	defer func() { err = errors.WithMessagef(err, "endpoint %s: listen", e.Verb) }()
	if e.work != nil {
		return nil
	}
	work, err := net.Listen("tcp", orLoopback(e.Address))
	if err != nil {
		return err
	}
	control, err := net.Listen("tcp", orLoopback(e.ControlAddress))
	if err != nil {
		work.Close()
		return err
	}
	e.work = &fault.Listener{Listener: work}
	e.control = control
	e.Address = work.Addr().String()
	e.ControlAddress = control.Addr().String()
	return nil
}

// SilenceOpen makes the connections now open at the work address silent for good.
func (e *Endpoint) SilenceOpen() int {
	if e.work == nil {
		return 0
	}
	return e.work.SilenceOpen()
}

// Serve listens, announces and serves until ctx ends; then running calls get stopTimeout to end.
func (e *Endpoint) Serve(ctx context.Context, work, control http.Handler) (err error) {
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
	addServer(&group, e.work, work)
	addServer(&group, e.control, control)
	ended, stop := context.WithCancel(ctx)
	group.Add(func() error {
		<-ended.Done()
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

// stopServer lets running calls end, and cuts those that do not.
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
