//go:build review

package main

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// unframed.go: a runner answers without a length, so that the answer ends with its connection, and the machine that relays it is
// stopped or killed meanwhile.

const unframedPieces = 60

// unframedStream: a stream, and SIGTERM.
func unframedStream() verdict {
	b := newBed(3, configurationOf(3, []map[string]any{{"name": "lm-pool", "max-connections": 360, "health-path": "/healthz"}},
		route("brief", "/brief/", "streaming", "lm-pool", 15000, 1, false)))
	var server *runner
	server = newRunner("lm-1", "lm-pool", "kgn", 64, func(c *runnerConnection, r *http.Request, _ []byte) bool {
		id := server.begin(r)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Server-Stamp: stamp-%s\r\nX-Request-Id: %s\r\nConnection: close\r\n\r\n", id, id)
		for number := 1; number <= unframedPieces; number++ {
			if _, err := fmt.Fprintf(c, "id: %d\ndata: piece %d of %d\n\n", number, number, unframedPieces); err != nil {
				note("lm-1: request %s: the connection was closed after %d pieces", id, number-1)
				return false
			}
			time.Sleep(pieceEvery)
		}
		note("lm-1: request %s: all %d pieces are sent", id, unframedPieces)
		return false // closes the connection in order, which ends the answer
	})
	server.register(b.store)
	b.startAll()
	time.Sleep(4 * time.Second)
	m := b.machines[0]
	if disrupted() {
		time.AfterFunc(2*time.Second, m.terminate)
	}
	s := send(m, request{method: "POST", target: "/brief/a", id: "r1", body: "{}", deadline: 15 * time.Second, patience: 4 * time.Second, pause: 2 * time.Second})
	if s.status != 200 || s.stamp != "stamp-r1" {
		return couldNotRun
	}
	got := strings.Count(string(s.body), "data: ")
	note("client: %d pieces of %d, looks complete: %v", got, unframedPieces, s.whole)
	return verdictOf(got == unframedPieces || !s.whole)
}

const (
	bodyPart  = 32 << 10
	bodyParts = 40
)

// unframedBody: an answer that is no stream, and SIGKILL.
func unframedBody() verdict {
	b := newBed(3, configurationOf(3, []map[string]any{{"name": "coop-app", "max-connections": 100, "health-path": "/healthz"}},
		route("lookup", "/lookup/", "idempotent", "coop-app", 8000, 1, false)))
	whole := bytes.Repeat([]byte("0123456789abcdef"), bodyPart*bodyParts/16)
	var server *runner
	server = newRunner("app-1", "coop-app", "kgn", 6, func(c *runnerConnection, r *http.Request, _ []byte) bool {
		id := server.begin(r)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Server-Stamp: stamp-%s\r\nX-Request-Id: %s\r\nConnection: close\r\n\r\n", id, id)
		for part := range bodyParts {
			if _, err := c.Write(whole[part*bodyPart : (part+1)*bodyPart]); err != nil {
				note("app-1: request %s: the connection was closed after %d bytes", id, part*bodyPart)
				return false
			}
			time.Sleep(pieceEvery / 2)
		}
		note("app-1: request %s: all %d bytes are sent", id, len(whole))
		return false
	})
	server.register(b.store)
	b.startAll()
	time.Sleep(4 * time.Second)
	m := b.machines[0]
	if disrupted() {
		time.AfterFunc(3*time.Second, func() {
			note("platform: SIGKILL to %s", m.name)
			m.kill()
		})
	}
	s := send(m, request{method: "GET", target: "/lookup/a", id: "r1", deadline: 8 * time.Second, patience: 8 * time.Second, pause: 8 * time.Second})
	if s.status != 200 || s.stamp != "stamp-r1" {
		return couldNotRun
	}
	note("client: %d bytes of %d, looks complete: %v", len(s.body), len(whole), s.whole)
	return verdictOf(bytes.Equal(s.body, whole) || !s.whole)
}
