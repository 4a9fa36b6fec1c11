package responsehead_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/gateway/responsehead"
)

// sender responds to each request with the same bytes, and keeps its connections open.
type sender struct {
	listener    net.Listener
	response    string
	connections atomic.Int32
}

func startSender(t *testing.T, response string) *sender {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	s := &sender{listener: listener, response: response}
	go s.run()
	return s
}

func (s *sender) run() {
	for {
		connection, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.connections.Add(1)
		go s.serve(connection)
	}
}

func (s *sender) serve(connection net.Conn) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		if _, err := io.WriteString(connection, s.response); err != nil {
			return
		}
	}
}

func get(t *testing.T, base *http.Transport, s *sender) (body string, err error) {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://"+s.listener.Addr().String(), nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := responsehead.Transport{Base: base}.RoundTrip(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return string(content), err
}

// Guards against answers of an upstream in trouble that are believed and passed on because the library could parse them.
func TestMalformedResponsesFail(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nX-Sound: v\r\n%sContent-Length: 5\r\n\r\nwhole"
	const chunked = "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n%s\r\n"
	for _, c := range []struct {
		name      string
		response  string
		malformed bool
	}{
		{"sound", fmt.Sprintf(sound, ""), false},
		{"sound, with bytes beyond ASCII in a value", fmt.Sprintf(sound, "X-Name: caf\xc3\xa9\r\n"), false},
		{"sound, without a reason", "HTTP/1.1 200\r\nContent-Length: 5\r\n\r\nwhole", false},
		{"sound, of HTTP/1.0", "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nwhole", false},
		{"sound, in chunks with a trailer", fmt.Sprintf(chunked, "", "X-Sum: 1\r\n"), false},
		{"sound, after an informational one", "HTTP/1.1 103 Early Hints\r\n\r\n" + fmt.Sprintf(sound, ""), false},
		{"status 000", "HTTP/1.1 000 None\r\nContent-Length: 5\r\n\r\nwhole", true},
		{"status 000 without a body", "HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n", true},
		{"status 001", "HTTP/1.1 001 None\r\nContent-Length: 5\r\n\r\nwhole", true},
		{"status 099", "HTTP/1.1 099 None\r\nContent-Length: 5\r\n\r\nwhole", true},
		{"status with a sign", "HTTP/1.1 +20 None\r\nContent-Length: 5\r\n\r\nwhole", true},
		{"status 101, which was not asked for", "HTTP/1.1 101 Switching\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\nwhole", true},
		{"status 600", "HTTP/1.1 600 None\r\nContent-Length: 5\r\n\r\nwhole", true},
		{"status 999", "HTTP/1.1 999 None\r\nContent-Length: 5\r\n\r\nwhole", true},
		{"another protocol", "HTTP/2.0 200 OK\r\nContent-Length: 5\r\n\r\nwhole", true},
		{"a blank in a name", fmt.Sprintf(sound, "X-Bad Name: v\r\n"), true},
		{"a blank after a name", fmt.Sprintf(sound, "X-Bad : v\r\n"), true},
		{"a hidden length", fmt.Sprintf(sound, "Content-Length : 2\r\n"), true},
		{"a hidden encoding", fmt.Sprintf(sound, "Transfer-Encoding : chunked\r\n"), true},
		{"a tab in a name", fmt.Sprintf(sound, "X-Bad\tName: v\r\n"), true},
		{"a tab after a name", fmt.Sprintf(sound, "X-Bad\t: v\r\n"), true},
		{"a control byte in a name", fmt.Sprintf(sound, "X-Bad\x01Name: v\r\n"), true},
		{"a zero byte in a name", fmt.Sprintf(sound, "X-Bad\x00Name: v\r\n"), true},
		{"a delete byte in a name", fmt.Sprintf(sound, "X-Bad\x7fName: v\r\n"), true},
		{"a byte beyond ASCII in a name", fmt.Sprintf(sound, "X-Bad\xe9Name: v\r\n"), true},
		{"no name", fmt.Sprintf(sound, ": v\r\n"), true},
		{"a control byte in a value", fmt.Sprintf(sound, "X-Bad: v\x01\r\n"), true},
		{"a blank in a name of the trailer", fmt.Sprintf(chunked, "", "X Sum: 1\r\n"), true},
		{"a blank in a name of the announced trailer", fmt.Sprintf(chunked, "Trailer: X-Sum\r\n", "X-Sum : 1\r\n"), true},
		{"a control byte in a name of the trailer", fmt.Sprintf(chunked, "", "X\x01Sum: 1\r\n"), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := startSender(t, c.response)
			base := &http.Transport{}
			defer base.CloseIdleConnections()
			body, err := get(t, base, s)
			is.Equal(err != nil, c.malformed)
			is.True(c.malformed || body == "whole")
			_, _ = get(t, base, s)
			if c.malformed {
				is.Equal(s.connections.Load(), int32(2)) // the connection is not used again
			}
		})
	}
}

// Guards against an error that does not say what was wrong.
func TestErrorNamesWhatIsMalformed(t *testing.T) {
	is := is.New(t)
	_, err := get(t, &http.Transport{}, startSender(t, "HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n"))
	is.True(errors.Is(err, responsehead.ErrMalformed))
	is.True(strings.Contains(err.Error(), "status 000"))
	_, err = get(t, &http.Transport{}, startSender(t, "HTTP/1.1 200 OK\r\nX-Bad Name: v\r\nContent-Length: 0\r\n\r\n"))
	is.True(errors.Is(err, responsehead.ErrMalformed))
	is.True(strings.Contains(err.Error(), `"X-Bad Name"`))
}

// FuzzHead guards against heads that the library and the check let through together: a line whose name is none, or a status of
// no final response.
func FuzzHead(f *testing.F) {
	for _, seed := range []string{
		"200 OK\r\nContent-Length: 5\r\n", "000 None\r\n", "200 OK\r\nContent-Length : 5\r\n", "200 OK\r\nX: a\r\n b\r\n",
		"200 OK\r\nX\x01: a\r\n", "200 OK\r\n: a\r\n", "+20 OK\r\n", "200 OK\nX: a\n", "200 OK\r\n X: a\r\n", "200\r\n\r\nX Y: a\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, head []byte) {
		response := roundTrip(t, append([]byte("HTTP/1.1 "), head...))
		if response == nil {
			return
		}
		defer response.Body.Close()
		lines := strings.Split(string(head), "\n")
		if response.StatusCode < 200 || response.StatusCode > 599 {
			t.Errorf("status %d", response.StatusCode)
		}
		if strings.HasPrefix(lines[0], "1") {
			return // the head of an informational response, which nobody sees, comes first
		}
		for _, line := range lines[1:] {
			if strings.TrimSuffix(line, "\r") == "" {
				break // the head ends here
			}
			if line[0] == ' ' || line[0] == '\t' {
				continue // the line before goes on
			}
			name, _, _ := strings.Cut(line, ":")
			if strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r >= 0x7f }) || name == "" {
				t.Errorf("name %q", name)
			}
		}
	})
}

// roundTrip returns the response that the head makes, nil if it is none.
func roundTrip(t *testing.T, head []byte) *http.Response {
	t.Helper()
	near, far := net.Pipe()
	base := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return near, nil }}
	t.Cleanup(func() {
		near.Close()
		far.Close()
		base.CloseIdleConnections()
	})
	go func() {
		if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
			return
		}
		_, _ = far.Write(bytes.Join([][]byte{head, []byte("\r\n\r\n")}, nil))
		far.Close()
	}()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://upstream.example", nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := responsehead.Transport{Base: base}.RoundTrip(request)
	if err != nil {
		return nil
	}
	return response
}
