//go:build review

package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// versions.go: the runner of a service is replaced by one with another version of the software, and a configuration shortens the time-out
// of the route. The runner that leaves goes on serving the streams that it has begun for some seconds.

const (
	versionStreams  = 4
	usualPieces     = 2
	usualEvery      = 400 * time.Millisecond
	versionPieces   = 75
	versionDeadline = 15 * time.Second
	versionTimeout  = time.Second
	// The entry of the first runner is removed leavesAfter the streams have begun, and it exits exitsAfter that.
	leavesAfter = time.Second
	exitsAfter  = 11500 * time.Millisecond
)

// versionRunner streams pieces that name its software, from the one after Last-Event-Id on.
func versionRunner(id, version string) *runner {
	var r *runner
	r = newRunner(id, "lm-pool", "kgn", 64, func(c *runnerConnection, request *http.Request, _ []byte) bool {
		id := r.begin(request)
		last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
		pieces := versionPieces
		if strings.HasSuffix(request.RequestURI, "/short") {
			pieces = usualPieces
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Server-Stamp: stamp-%s\r\nX-Request-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n", id, id)
		for number := last + 1; number <= pieces; number++ {
			event := fmt.Sprintf("id: %d\ndata: %s\n\n", number, version)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
				return false
			}
			if number > last+1 || last == 0 {
				time.Sleep(pieceEvery)
			}
		}
		_, err := fmt.Fprintf(c, "0\r\n\r\n")
		return err == nil
	})
	r.version = version
	return r
}

// heldStream is what a client has of a stream over its tries.
type heldStream struct {
	versions []string
	last     string
	// leaves is when the client's connection breaks, unless it is zero.
	leaves time.Time
}

// send sends one attempt and adds the whole events that come to the stream. It reports whether the stream is complete, and when the client
// may come back.
func (t *heldStream) send(m *machine, target, id, resumes string, left time.Duration) (complete bool, retryAfter time.Duration) {
	connection, err := net.DialTimeout("tcp", m.frontend, time.Second)
	if err != nil {
		return false, 0
	}
	defer connection.Close()
	header := ""
	if t.last != "" {
		header = fmt.Sprintf("Last-Event-Id: %s\r\nResumes: %s\r\n", t.last, resumes)
	}
	note("client: sends request %s to %s: %s, last event %q", id, m.name, target, t.last)
	fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: lines.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n%sContent-Length: 2\r\n\r\n{}", target, id, left.Milliseconds(), header)
	until := time.Now().Add(left)
	if !t.leaves.IsZero() {
		until = t.leaves
	}
	_ = connection.SetReadDeadline(until)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		note("client: request %s: %v", id, err)
		return false, 0
	}
	if response.StatusCode != 200 {
		after, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		note("client: request %s: status %d, come back after %.1f s", id, response.StatusCode, after)
		return false, time.Duration(after * float64(time.Second))
	}
	body, err := io.ReadAll(response.Body)
	for _, event := range strings.SplitAfter(string(body[:max(bytes.LastIndex(body, []byte("\n\n"))+2, 0)]), "\n\n") {
		number, data, found := strings.Cut(strings.TrimPrefix(strings.TrimSpace(event), "id: "), "\ndata: ")
		if found {
			t.last = number
			t.versions = append(t.versions, data)
		}
	}
	note("client: request %s: events up to %s, end: %v", id, t.last, err)
	return err == nil && !errors.Is(err, io.ErrUnexpectedEOF), 0
}

func versions() verdict {
	services := []map[string]any{{"name": "lm-pool", "max-connections": 360, "health-path": "/healthz"}}
	b := newBed(3, configurationOf(3, services, route("brief", "/brief/", "streaming", "lm-pool", int(versionDeadline.Milliseconds()), 2, true)))
	first, second := versionRunner("lm-1", "v1"), versionRunner("lm-2", "v2")
	first.register(b.store)
	b.startAll()
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var usual sync.WaitGroup
	for i, m := range b.machines {
		usual.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(usualEvery):
				}
				var short heldStream
				short.send(m, "/brief/short", fmt.Sprintf("usual-%d-%d", i, n), "", time.Second)
			}
		})
	}
	time.Sleep(time.Second)
	streams := make([]heldStream, versionStreams)
	var group sync.WaitGroup
	for i := range streams {
		group.Go(func() {
			began := time.Now()
			id := fmt.Sprintf("r%d", i)
			m := b.machines[i%len(b.machines)]
			if complete, _ := streams[i].send(m, "/brief/a", id+"-1", "", versionDeadline); complete {
				return
			}
			streams[i].send(b.machines[(i+1)%len(b.machines)], "/brief/a", id+"-2", id+"-1", versionDeadline-time.Since(began))
		})
	}
	time.Sleep(500 * time.Millisecond)
	second.register(b.store)
	note("lm-2 has registered, with version v2")
	if disrupted() {
		b.store.put("op/config", configurationOf(7, services, route("brief", "/brief/", "streaming", "lm-pool", int(versionTimeout.Milliseconds()), 2, true)))
		note("operator: version 7 of the configuration shortens the time-out of the route")
	}
	time.Sleep(leavesAfter - 500*time.Millisecond)
	first.unregister(b.store)
	note("lm-1 leaves: its entry is removed, and it goes on serving")
	time.Sleep(exitsAfter)
	first.exit()
	note("lm-1 has exited")
	group.Wait()
	close(stop)
	usual.Wait()
	joined := 0
	for i, one := range streams {
		count := map[string]int{}
		for _, version := range one.versions {
			count[version]++
		}
		note("stream r%d has events %v", i, count)
		if len(count) > 1 {
			joined++
		}
		if count["v1"] == 0 {
			return couldNotRun
		}
	}
	note("ORDER: %d streams hold events of two versions of the software, 2 are allowed", joined)
	return verdictOf(joined <= 2)
}
