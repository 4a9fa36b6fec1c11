package exchange_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/upstream/exchange"
)

func do(t *testing.T, ctx context.Context, address string) (*http.Response, error) {
	t.Helper()
	transport := &exchange.Transport{ConnectTimeout: time.Second}
	return transport.Do(ctx, exchange.Request{
		Address: address,
		Method:  http.MethodPost,
		Target:  "/a?b=c",
		Header:  http.Header{"Idempotency-Key": {"k"}},
		Body:    []byte("body"),
	})
}

// An upstream points elsewhere. Following it would send the call, and its headers, a second time to an
// address that nobody declared.
func TestRedirectIsNotFollowed(t *testing.T) {
	is := is.New(t)
	calls := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls++
		http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
	}))
	defer server.Close()
	response, err := do(t, context.Background(), server.Listener.Addr().String())
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, http.StatusTemporaryRedirect)
	is.Equal(calls, 1)
}

// A faulty upstream answers with headers without end. The exchange must fail in bounded memory, as one
// whose request has left.
func TestHeadersWithoutEnd(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n")
		for err == nil {
			_, err = fmt.Fprintf(conn, "X-A: %s\r\n", strings.Repeat("a", 1000))
		}
	}))
	defer server.Close()
	_, err := do(t, context.Background(), server.Listener.Addr().String())
	var failure *exchange.Failure
	is.True(errors.As(err, &failure))
	is.True(failure.MaybeSent)
}

// The address takes connections but never answers, so the caller's limit ends the exchange. The request
// was sent, and only "left" is a true thing to say of it.
func TestSilentUpstream(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_, err = do(t, ctx, listener.Addr().String())
	var failure *exchange.Failure
	is.True(errors.As(err, &failure))
	is.True(failure.MaybeSent)
	is.True(errors.Is(err, context.DeadlineExceeded))
}

func TestReadAllIsBounded(t *testing.T) {
	is := is.New(t)
	content, err := exchange.ReadAll(strings.NewReader("abc"), 3)
	is.NoErr(err)
	is.Equal(string(content), "abc")
	_, err = exchange.ReadAll(strings.NewReader("abcd"), 3)
	is.True(errors.Is(err, exchange.ErrTooLarge))
}
