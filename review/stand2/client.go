//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var requestIDs atomic.Int64

// request is one attempt of a client.
type request struct {
	method, path string
	header       map[string]string
	body         []byte
	timeout      time.Duration
}

// outcome is what the client has seen of an attempt.
type outcome struct {
	id     string
	status int
	body   string
	err    error
	took   time.Duration
}

func (o outcome) ok() bool { return o.err == nil && o.status == http.StatusOK }

func (o outcome) String() string {
	if o.err != nil {
		return fmt.Sprintf("status %d, %d bytes, %v, %d ms", o.status, len(o.body), o.err, o.took.Milliseconds())
	}
	return fmt.Sprintf("status %d, %d bytes, whole, %d ms", o.status, len(o.body), o.took.Milliseconds())
}

// send sends an attempt on a new connection, as clients do.
func (n *node) send(r request) (seen outcome) {
	began := time.Now()
	seen.id = fmt.Sprintf("%016x", requestIDs.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), r.timeout)
	defer cancel()
	defer func() { seen.took = time.Since(began) }()
	sent, err := http.NewRequestWithContext(ctx, r.method, "http://"+n.frontend+r.path, bytes.NewReader(r.body))
	if err != nil {
		seen.err = err
		return seen
	}
	sent.Host = host
	sent.Header.Set("X-Request-Id", seen.id)
	sent.Header.Set("X-Deadline-Ms", fmt.Sprint(r.timeout.Milliseconds()))
	sent.Header.Set("Authorization", "Bearer "+keyUsual)
	for name, value := range r.header {
		sent.Header.Set(name, value)
	}
	transport := &http.Transport{
		DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}
	response, err := transport.RoundTrip(sent)
	if err != nil {
		seen.err = err
		return seen
	}
	defer response.Body.Close()
	seen.status = response.StatusCode
	body, err := io.ReadAll(response.Body)
	seen.body, seen.err = string(body), err
	return seen
}

// usual are the headers of a generation with an adapter.
func usual(adapter string) map[string]string {
	return map[string]string{"X-Model": modelName + "/" + adapter, "X-Token-Count": "1800,20", "X-Prompt-Prefix": "a1:341,b2:227,c3:1232"}
}

// awaitServing waits until an instance serves both services.
func (n *node) awaitServing() bool {
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		plain := n.send(request{method: http.MethodGet, path: pathIdem + "x", timeout: time.Second})
		stream := n.send(request{method: http.MethodPost, path: pathStream + "x", header: usual("a1"), body: []byte("{}"), timeout: 8 * time.Second})
		if plain.ok() && stream.ok() {
			return true
		}
	}
	return false
}
