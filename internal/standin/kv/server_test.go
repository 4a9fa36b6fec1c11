package kv_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/standin/kv"
)

func start(t *testing.T, s *kv.Server) *kv.Server {
	t.Helper()
	is := is.New(t)
	is.NoErr(s.Listen())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		is.NoErr(<-ended)
	})
	return s
}

type reply struct {
	status   int
	revision string
	lease    string
	body     string
}

func call(t *testing.T, s *kv.Server, method, path, body string) (reply, error) {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+s.Address+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer answer.Body.Close()
	read, err := io.ReadAll(answer.Body)
	return reply{
		status:   answer.StatusCode,
		revision: answer.Header.Get("X-Revision"),
		lease:    answer.Header.Get("X-Lease"),
		body:     string(read),
	}, err
}

func TestCalls(t *testing.T) {
	is := is.New(t)
	s := start(t, &kv.Server{})
	for _, tt := range []struct {
		name, method, path, body string
		status                   int
		revision, answer         string
	}{
		{name: "absent", method: "GET", path: "/v1/kv/a/b", status: 404},
		{name: "created", method: "PUT", path: "/v1/kv/a/b?expect=0", body: "1", status: 200, revision: "1"},
		{name: "exists", method: "PUT", path: "/v1/kv/a/b?expect=0", body: "2", status: 412},
		{name: "swapped", method: "PUT", path: "/v1/kv/a/b?expect=1", body: "2", status: 200, revision: "2"},
		{name: "escaped", method: "GET", path: "/v1/kv/a%2Fb", status: 200, revision: "2", answer: "2"},
		{name: "listed", method: "GET", path: "/v1/kv?prefix=a/", status: 200, answer: `[{"Key":"a/b","Value":"Mg==","Revision":2}]` + "\n"},
		{name: "watched", method: "GET", path: "/v1/watch/a/b?after=1&wait=1s", status: 200, revision: "2", answer: "2"},
		{name: "not changed", method: "GET", path: "/v1/watch/a/b?after=2&wait=10ms", status: 204},
		{name: "delete old", method: "DELETE", path: "/v1/kv/a/b?expect=1", status: 412},
		{name: "deleted", method: "DELETE", path: "/v1/kv/a/b?expect=2", status: 204},
		{name: "delete absent", method: "DELETE", path: "/v1/kv/a/b?expect=2", status: 404},
		{name: "expired lease", method: "PUT", path: "/v1/kv/c?expect=0&lease=none", status: 404},
	} {
		got, err := call(t, s, tt.method, tt.path, tt.body)
		is.NoErr(err)
		t.Log(tt.name)
		is.Equal(got.status, tt.status)
		is.Equal(got.revision, tt.revision)
		is.Equal(got.body, tt.answer)
	}
	counts := s.Record().Counts
	is.Equal(counts["put"], 4)
	is.Equal(counts["watch"], 2)
}

// A holder is paused for longer than the TTL of its lease. Its key must be deleted, and renewing the lease
// afterwards must fail.
func TestLeaseExpires(t *testing.T) {
	is := is.New(t)
	s := start(t, &kv.Server{})
	granted, err := call(t, s, "POST", "/v1/leases?ttl=100ms", "")
	is.NoErr(err)
	written, err := call(t, s, "PUT", "/v1/kv/held?expect=0&lease="+granted.lease, "x")
	is.NoErr(err)
	is.Equal(written.status, 200)
	renewed, err := call(t, s, "PUT", "/v1/leases/"+granted.lease, "")
	is.NoErr(err)
	is.Equal(renewed.status, 200)
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		got, err := call(t, s, "GET", "/v1/kv/held", "")
		is.NoErr(err)
		if got.status == 404 {
			break
		}
		is.True(time.Now().Before(deadline))
	}
	renewed, err = call(t, s, "PUT", "/v1/leases/"+granted.lease, "")
	is.NoErr(err)
	is.Equal(renewed.status, 404)
}

// The store has an outage, loses the answer to a write that took effect, or reads one write behind. A
// client that interprets a lost answer as "not written" writes twice or reports a wrong result.
func TestFaults(t *testing.T) {
	is := is.New(t)
	s := start(t, &kv.Server{})
	s.SetFaults(kv.Faults{LoseAnswers: 1})
	_, err := call(t, s, "PUT", "/v1/kv/a?expect=0", "1")
	is.True(err != nil)
	got, err := call(t, s, "GET", "/v1/kv/a", "")
	is.NoErr(err)
	is.Equal(got.body, "1")
	is.True(s.Record().Writes[0].Lost)

	got, err = call(t, s, "PUT", "/v1/kv/a?expect=1", "2")
	is.NoErr(err)
	is.Equal(got.status, 200)
	s.SetFaults(kv.Faults{StaleReads: true})
	got, err = call(t, s, "GET", "/v1/kv/a", "")
	is.NoErr(err)
	is.Equal(got.body, "1")

	s.SetFaults(kv.Faults{Outage: true})
	got, err = call(t, s, "PUT", "/v1/kv/a?expect=2", "3")
	is.NoErr(err)
	is.Equal(got.status, 503)
	is.Equal(s.Record().Revision, int64(2))
}

func TestRateLimit(t *testing.T) {
	is := is.New(t)
	s := start(t, &kv.Server{WritesPerSecond: 1})
	refused := 0
	for range 5 {
		got, err := call(t, s, "PUT", "/v1/kv/a?expect=99", "")
		is.NoErr(err)
		if got.status == http.StatusTooManyRequests {
			refused++
		}
	}
	is.True(refused > 0)
	is.Equal(s.Record().Refused, refused)
}
