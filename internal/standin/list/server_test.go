package list_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/standin/list"
)

// The list reports a leaving upstream seconds late, or cannot be reached at all. A client that relies on
// the list alone keeps sending requests to a machine that is about to stop.
func TestLagAndUnreachableFault(t *testing.T) {
	is := is.New(t)
	s := &list.Server{LagMillis: 200}
	is.NoErr(s.Listen())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	defer func() {
		cancel()
		is.NoErr(<-ended)
	}()
	get := func() (string, error) {
		answer, err := http.Get("http://" + s.Address + "/v1/members")
		if err != nil {
			return "", err
		}
		defer answer.Body.Close()
		body, err := io.ReadAll(answer.Body)
		return strings.TrimSpace(string(body)), err
	}
	answer, err := http.Post("http://"+s.ControlAddress+"/control/members", "application/json",
		strings.NewReader(`[{"Name":"e1","Role":"engine","Address":"127.0.0.1:1","DataCentre":"north","Leaving":true}]`))
	is.NoErr(err)
	answer.Body.Close()
	is.Equal(answer.StatusCode, http.StatusOK)
	setAt := time.Now()
	for {
		body, err := get()
		is.NoErr(err)
		if body != "[]" {
			is.Equal(body, `[{"Name":"e1","Role":"engine","Address":"127.0.0.1:1","DataCentre":"north","Leaving":true}]`)
			break
		}
		is.True(time.Since(setAt) < 10*time.Second)
		time.Sleep(10 * time.Millisecond)
	}
	is.True(time.Since(setAt) >= 100*time.Millisecond)
	s.SetFaults(list.Faults{Unreachable: true})
	_, err = get()
	is.True(err != nil)
}
