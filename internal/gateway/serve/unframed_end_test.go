package serve_test

// The end of a process while it forwards a response without a length or chunks, and whole responses of that kind.

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"lacewingrock.example/lacewingrock/internal/gateway/backlog"
	"lacewingrock.example/lacewingrock/internal/gateway/memory"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/gateway/socket"
)

// kernelListener keeps the sockets of the connections that it accepts.
type kernelListener struct {
	net.Listener
	mutex   sync.Mutex
	sockets []net.Conn
}

// Accept waits for the next connection.
func (l *kernelListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.sockets = append(l.sockets, accepted)
	return accepted, setSendBuffer(accepted, 32<<10)
}

// endProcess closes all sockets as the kernel does when a process ends, without a word to the server.
func (l *kernelListener) endProcess() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, one := range l.sockets {
		one.Close()
	}
}

// endingServer is a harness whose sockets can be closed like those of a process that ends.
type endingServer struct {
	*harness
	kernel   *kernelListener
	backlogs *backlog.Backlogs
}

// newEndingServer returns one with or without backlogs.
func newEndingServer(t *testing.T, withBacklog bool, respond http.HandlerFunc) *endingServer {
	t.Helper()
	h := newHarness(t, respond)
	h.server.Close()
	opened, err := socket.Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &endingServer{harness: h, kernel: &kernelListener{Listener: opened}}
	var listener net.Listener = s.kernel
	if withBacklog {
		h.handler.Memory = &memory.Account{Limit: 64 << 20, Scope: tally.NoopScope}
		s.backlogs = &backlog.Backlogs{Account: h.handler.Memory, Log: zerolog.Nop(), Scope: tally.NoopScope, ProgressInterval: 200 * time.Millisecond}
		listener = s.backlogs.Listener(s.kernel)
	}
	h.server = httptest.NewUnstartedServer(h.handler)
	h.server.Listener.Close()
	h.server.Listener = listener
	h.server.Config.ConnContext = serve.WithConnection
	h.server.Start()
	t.Cleanup(h.server.Close)
	return s
}

// send sends a request on a connection that takes few bytes which are not read.
func (s *endingServer) send(path, proto string) *net.TCPConn {
	s.t.Helper()
	connection, err := slowDialer().Dial("tcp", s.server.Listener.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { connection.Close() })
	_, err = fmt.Fprintf(connection, "POST %s %s\r\nHost: a.example\r\n%s: id1\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", path, proto, headerID, headerKey, key)
	if err != nil {
		s.t.Fatal(err)
	}
	return connection.(*net.TCPConn)
}

// unframedCases are the ways in which a response can end with its connection.
var unframedCases = []struct {
	name, path, proto string
	respond           func(rw http.ResponseWriter, r *http.Request, body string)
	// held: with an account, the response is forwarded once it is whole. lengthens: it then gets a length.
	held, lengthens bool
}{
	{"stream", "/single/", "HTTP/1.1", respondUnframed, false, false},
	{"plain", "/once/", "HTTP/1.1", respondUnframed, true, false},
	{"stream to a caller without chunks", "/single/", "HTTP/1.0", respondInChunks, false, false},
	{"plain to a caller without chunks", "/once/", "HTTP/1.0", respondInChunks, true, true},
}

// Guards against a response without a length or chunks that looks complete, because the process that forwards it ends and its
// kernel closes the connection in order.
func TestUnframedResponseIsResetWhenTheProcessEnds(t *testing.T) {
	for _, withBacklog := range []bool{false, true} {
		for _, c := range unframedCases {
			if withBacklog && c.held {
				continue
			}
			t.Run(fmt.Sprintf("%s, backlog %t", c.name, withBacklog), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				ctx, end := context.WithCancel(t.Context())
				defer end()
				s := newEndingServer(t, withBacklog, func(rw http.ResponseWriter, r *http.Request) {
					body := strings.Repeat(event(1), 40<<10)
					if c.proto == "HTTP/1.0" {
						rw.Header().Set(headerSigned, "s1")
						_, _ = io.WriteString(rw, body)
						rw.(http.Flusher).Flush()
						<-ctx.Done()
						return
					}
					connection := writeUnframed(rw, r, "HTTP/1.1", body)
					<-ctx.Done()
					connection.Close()
				})
				t.Cleanup(end)
				connection := s.send(c.path, c.proto)
				first := make([]byte, 4<<10)
				_, err := io.ReadFull(connection, first)
				is.NoErr(err)
				s.kernel.endProcess()
				_, err = io.ReadAll(connection)
				is.True(errors.Is(err, syscall.ECONNRESET))
			})
		}
	}
}

// Guards against a whole response that loses its tail, because its connection is still to be reset when it is closed: the caller
// reads slowly, has sent its next request already, or has ended what it sends.
func TestWholeUnframedResponseArrives(t *testing.T) {
	body := strings.Repeat(event(1), 300<<10/len(event(1)))
	for _, withBacklog := range []bool{false, true} {
		for _, c := range unframedCases {
			for _, caller := range []struct {
				name         string
				pause        time.Duration
				next, closes bool
			}{
				{"reads at once", 0, false, false},
				{"reads slowly", 10 * time.Millisecond, false, false},
				{"has sent its next request", 0, true, false},
				{"reads slowly and has sent its next request", 10 * time.Millisecond, true, false},
				{"has ended what it sends", 0, false, true},
			} {
				if !withBacklog && caller.pause > 0 && caller.next {
					continue // closing after lingerTime resets a connection with bytes that were not read
				}
				t.Run(fmt.Sprintf("%s, backlog %t, %s", c.name, withBacklog, caller.name), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					s := newEndingServer(t, withBacklog, func(rw http.ResponseWriter, r *http.Request) { c.respond(rw, r, body) })
					connection := s.send(c.path, c.proto)
					if caller.next {
						_, err := fmt.Fprintf(connection, "POST %s %s\r\nHost: a.example\r\n", c.path, c.proto)
						is.NoErr(err)
					}
					if caller.closes && withBacklog { // net/http takes it for a caller that has left
						time.Sleep(300 * time.Millisecond)
						is.NoErr(connection.CloseWrite())
					}
					got := readInParts(connection, caller.pause)
					is.NoErr(got.err)
					is.True(strings.HasSuffix(got.text, "\r\n\r\n"+body))
				})
			}
		}
	}
}

// received is what a caller has read, and the error at the end.
type received struct {
	text string
	err  error
}

func readInParts(connection io.Reader, pause time.Duration) (got received) {
	var text strings.Builder
	buffer := make([]byte, 32<<10)
	for got.err == nil {
		time.Sleep(pause)
		var n int
		n, got.err = connection.Read(buffer)
		text.Write(buffer[:n])
	}
	if errors.Is(got.err, io.EOF) {
		got.err = nil
	}
	got.text = text.String()
	return got
}

// Guards against a response that looks complete to a caller who has read nothing for so long that the rest was dropped.
func TestUnframedResponseOfACallerThatStalledIsReset(t *testing.T) {
	for _, c := range unframedCases {
		if c.lengthens {
			continue
		}
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newEndingServer(t, true, func(rw http.ResponseWriter, r *http.Request) {
				c.respond(rw, r, strings.Repeat(event(1), 40<<10))
			})
			connection := s.send(c.path, c.proto)
			time.Sleep(1500 * time.Millisecond) // until it is given up
			is.Equal(s.backlogs.Count(), int64(0))
			got := readInParts(connection, 0)
			is.True(errors.Is(got.err, syscall.ECONNRESET))
		})
	}
}
