package service_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/upstream/service"
)

func call() service.Call {
	return service.Call{
		ID:             "request-1",
		Method:         http.MethodPost,
		Path:           "/orders",
		RawQuery:       "a=1",
		Header:         http.Header{"Authorization": {"Bearer secret"}, "X-Colour": {"white"}},
		Body:           []byte(`{"Litres":20}`),
		IdempotencyKey: "order-7",
	}
}

func client() *service.Client {
	limits := service.DefaultLimits()
	limits.ResponseTimeout = 300 * time.Millisecond
	limits.MaxResponseBytes = 100
	return &service.Client{Limits: limits}
}

func TestCallAndAnswer(t *testing.T) {
	is := is.New(t)
	var got *http.Request
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("Set-Cookie", "a=b")
		w.Header().Set("X-Order", "9")
		w.WriteHeader(http.StatusConflict)
		fmt.Fprint(w, "booked before")
	}))
	defer server.Close()
	ran, ok := client().Do(context.Background(), server.Listener.Addr().String(), call()).(service.Ran)
	is.True(ok)
	is.Equal(ran.Response.Status, http.StatusConflict)
	is.Equal(string(ran.Response.Body), "booked before")
	is.Equal(ran.Response.Header.Get("X-Order"), "9")
	is.Equal(ran.Response.Header.Get("Set-Cookie"), "")
	is.Equal(got.URL.String(), "/orders?a=1")
	is.Equal(got.Header.Get("Authorization"), "") // no upstream sees the key
	is.Equal(got.Header.Get("X-Colour"), "white")
	is.Equal(got.Header.Get("Idempotency-Key"), "order-7")
}

// A service, or the way to it, closes the connection at some step of a call. A library that repeats
// the call by itself, as net/http does on reused connections and with an Idempotency-Key header, would
// book an order twice. The service must see one call, with a body or without, after an earlier good
// call or not.
func TestCutCallIsNeverSentTwice(t *testing.T) {
	cases := []struct {
		name   string
		method string
		body   []byte
	}{
		{"with a body", http.MethodPost, []byte("{}")},
		{"without a body", http.MethodPost, nil},
		{"repeatable by its method", http.MethodDelete, nil},
		{"reading", http.MethodGet, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var calls atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if calls.Add(1) > 1 {
					panic(http.ErrAbortHandler)
				}
				w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
			}))
			defer server.Close()
			cut := call()
			cut.Method, cut.Body = c.method, c.body
			client := client()
			address := server.Listener.Addr().String()
			_, ran := client.Do(context.Background(), address, cut).(service.Ran)
			is.True(ran)
			_, unknown := client.Do(context.Background(), address, cut).(service.Unknown)
			is.True(unknown)
			is.Equal(calls.Load(), int32(2))
		})
	}
}

// The connection is reset after each number of bytes of the call has come through. "Not run" would be
// a lie as soon as one byte left, since nobody knows what a service does with it.
func TestCallCutAtEachByte(t *testing.T) {
	const longerThanTheCall = 300
	for cut := 0; cut < longerThanTheCall; cut += 1 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		accepted := make(chan int, 4)
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					close(accepted)
					return
				}
				conn.SetDeadline(time.Now().Add(20 * time.Millisecond))
				read := 0
				reader := bufio.NewReader(conn)
				for read < cut {
					if _, err := reader.ReadByte(); err != nil {
						break
					}
					read++
				}
				conn.Close()
				accepted <- read
			}
		}()
		outcome := client().Do(context.Background(), listener.Addr().String(), call())
		listener.Close()
		connections, bytes := 0, 0
		for read := range accepted {
			connections++
			bytes += read
		}
		if connections != 1 {
			t.Fatalf("cut at %d: %d connections", cut, connections)
		}
		switch outcome.(type) {
		case service.Unknown:
		case service.NotRun:
			if bytes > 0 {
				t.Fatalf("cut at %d: said not run after %d bytes", cut, bytes)
			}
		default:
			t.Fatalf("cut at %d: %#v", cut, outcome)
		}
	}
}

// A service answers too late, for another call, in part, or with more than can be kept. The call may
// have run all the same, and its caller must not be told otherwise.
func TestUnusableAnswer(t *testing.T) {
	cases := []struct {
		name   string
		answer func(w http.ResponseWriter, r *http.Request)
	}{
		{"late", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }},
		{"crossed", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Request-Id", "another") }},
		{"without identity", func(http.ResponseWriter, *http.Request) {}},
		{"cut", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
			w.Header().Set("Content-Length", "50")
			fmt.Fprint(w, "part")
		}},
		{"large", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
			fmt.Fprint(w, strings.Repeat("x", 101))
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = bufio.NewReader(r.Body).Discard(len(call().Body))
				_, _ = r.Body.Read(make([]byte, 1)) // to the end, so that a gone caller is noticed
				c.answer(w, r)
			}))
			defer server.Close()
			_, unknown := client().Do(context.Background(), server.Listener.Addr().String(), call()).(service.Unknown)
			is.True(unknown)
		})
	}
}

// The service's machine is gone, or the caller gave up while the connection was still opening. Nothing
// left, so the caller may safely send the call again.
func TestNothingLeft(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	_, notRun := client().Do(context.Background(), address, call()).(service.NotRun)
	is.True(notRun)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	outcome, notRun := client().Do(ended, address, call()).(service.NotRun)
	is.True(notRun)
	is.True(errors.Is(outcome.Err, context.Canceled))
}
