package node

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/gateway/serve"
)

// connectionServer is a server of callers with some files.
func connectionServer(t *testing.T, files int, handler http.HandlerFunc) (*httptest.Server, *callerConnections) {
	t.Helper()
	connections := newCallerConnections(files)
	connections.minUnused = 0
	server := httptest.NewUnstartedServer(connections.serve(handler))
	server.Config.ConnState = connections.setState
	server.Config.ConnContext = serve.WithConnection
	server.Start()
	t.Cleanup(server.Close)
	return server, connections
}

// Guards against connections that callers keep without using them and that take the files of those which are used, and against a
// connection that is closed while a request runs on it.
func TestLongestIdleConnectionsAreClosed(t *testing.T) {
	is := is.New(t)
	const files, callers = 20, 50
	release := make(chan struct{})
	server, connections := connectionServer(t, files, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			<-release
		}
		_, _ = io.WriteString(w, "whole")
	})
	var running sync.WaitGroup
	var whole atomic.Int64
	get := func(path string) {
		transport := &http.Transport{}
		t.Cleanup(transport.CloseIdleConnections)
		response, err := (&http.Client{Transport: transport}).Get(server.URL + path)
		if err != nil {
			return
		}
		defer response.Body.Close()
		if body, err := io.ReadAll(response.Body); err == nil && string(body) == "whole" {
			whole.Add(1)
		}
	}
	for range files {
		running.Go(func() { get("/long") }) // more than may be open
	}
	time.Sleep(200 * time.Millisecond)
	for range callers {
		get("/")
	}
	close(release)
	running.Wait()
	is.Equal(whole.Load(), int64(files+callers))
	time.Sleep(200 * time.Millisecond)
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	is.True(len(connections.open) <= connections.limit)
	is.Equal(connections.idle.Len(), len(connections.open))
}

// Guards against the close of connections whose callers are about to send the next request, and against those that stay open since
// they were in use when a connection too many was opened.
func TestConnectionsInUseAreNotClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const callers = 10
		c := newCallerConnections(callers)
		connect := func() net.Conn {
			connection, other := net.Pipe()
			t.Cleanup(func() { connection.Close(); other.Close() })
			c.setState(connection, http.StateNew)
			c.setState(connection, http.StateActive)
			c.setState(connection, http.StateIdle)
			return connection
		}
		for range callers {
			connect()
		}
		is.Equal(c.closing, 0) // all have just been used
		time.Sleep(minUnused)
		last := connect()
		is.Equal(len(c.open)-c.closing, c.limit)
		is.True(!c.isClosing(last))
	})
}

// Guards against a request that is run although its connection was closed as an idle one while it arrived: its caller would never
// get the response.
func TestRequestThatCrossesTheCloseIsNotRun(t *testing.T) {
	is := is.New(t)
	const callers, each = 16, 200
	var runs, whole atomic.Int64
	server, _ := connectionServer(t, callers, func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		_, _ = io.WriteString(w, "whole")
	})
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			client := &http.Client{Transport: transport}
			for range each {
				request, _ := http.NewRequest(http.MethodPost, server.URL, nil) // a method that the client does not send again
				response, err := client.Do(request)
				if err != nil {
					continue
				}
				if body, err := io.ReadAll(response.Body); err == nil && string(body) == "whole" {
					whole.Add(1)
				}
				response.Body.Close()
			}
		})
	}
	running.Wait()
	t.Logf("%d sent, %d run", callers*each, runs.Load())
	is.Equal(runs.Load(), whole.Load())
}
