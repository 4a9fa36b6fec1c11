package service_test

import (
	"context"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/standin/service"
)

func start(t *testing.T, s *service.Server) *service.Server {
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

func book(s *service.Server, key string) (int, string, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+s.Address+"/orders", strings.NewReader("two pallets"))
	if err != nil {
		return 0, "", err
	}
	request.Header.Set("Idempotency-Key", key)
	// Disables retries by the HTTP client, which would add further calls to the record.
	request.GetBody = nil
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return answer.StatusCode, string(body), err
}

// A connection is cut before the call runs, or after it ran and before its answer. The caller sees the
// same reset in both cases. The record must show whether the booking was made.
func TestRecordShowsWhatRan(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "service.jsonl")
	s := start(t, &service.Server{Name: "bookings", RecordPath: path})
	for _, tt := range []struct {
		name    string
		faults  service.Faults
		status  int
		cut     bool
		outcome string
	}{
		{name: "answered", status: 200, outcome: service.OutcomeAnswered},
		{name: "status", faults: service.Faults{Status: 500}, status: 500, outcome: service.OutcomeAnswered},
		{name: "cut before run", faults: service.Faults{CutBeforeRun: 1}, cut: true, outcome: service.OutcomeNotRun},
		{name: "cut before answer", faults: service.Faults{CutBeforeAnswer: 1}, cut: true, outcome: service.OutcomeCut},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s.SetFaults(tt.faults)
			status, _, err := book(s, tt.name)
			is.Equal(err != nil, tt.cut)
			is.Equal(status, tt.status)
			calls := s.Record().Calls
			last := calls[len(calls)-1]
			is.Equal(last.IdempotencyKey, tt.name)
			is.Equal(last.Outcome, tt.outcome)
			is.Equal(last.BodyHash, service.BodyHash([]byte("two pallets")))
		})
	}
	restarted := &service.Server{RecordPath: path}
	start(t, restarted)
	_, body, err := book(restarted, "later")
	is.NoErr(err)
	is.True(strings.Contains(body, `"Number":5`))
}
