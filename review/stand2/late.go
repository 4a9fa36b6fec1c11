//go:build review

package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pathLong is a path of streams that last longer than the time-out of their route, pathShort one of short streams.
const (
	pathLong  = pathStream + "r"
	pathShort = pathStream + "x"
	// lateTimeout is the time-out of the route in ms, and lateMargin how much longer than it instances keep in mind where a
	// stream began.
	lateTimeout = 8000
	lateMargin  = 5 * time.Second
)

// releases has the time of the first run, from which on the instances keep records of streams.
var releases struct {
	once     sync.Once
	firstRun time.Time
}

// answerLate answers with a stream that lasts longer than its route's time-out, or with a short one.
func (r *runner) answerLate(writer http.ResponseWriter, request *http.Request, _ []byte) {
	writer.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	events := 5
	if strings.HasSuffix(request.URL.Path, pathLong) {
		events = 300
	}
	releases.once.Do(func() { releases.firstRun = time.Now() })
	r.world.note("%s (%s) runs %s after event %d", r.id, r.version, request.Header.Get("X-Request-Id"), last)
	for number := last + 1; number <= events; number++ {
		if !work(request, eventPause) {
			return
		}
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: %s %d\n\n", number, r.version, number)
		writer.(http.Flusher).Flush()
	}
}

// leave removes the entry of a runner that does not report that it drains. It goes on with what runs there.
func (r *runner) leave() {
	r.mutex.Lock()
	r.stopped = true
	r.mutex.Unlock()
	r.world.store.remove("servers/" + r.id)
	r.world.note("the entry of %s is removed", r.id)
}

// playLate plays a release: the runners of one version leave, and those of the next one serve already. Clients take up the
// streams of the version that has left, late but within their deadlines.
func playLate(w *world) int {
	const (
		streams = 36
		// later is when a stream is taken up, from its beginning.
		later = 14500 * time.Millisecond
	)
	streamTimeout = lateTimeout
	var leaving []*runner
	for number := range 4 {
		one, err := w.addRunner(fmt.Sprintf("i-lm%d", number), engineService, zones[number%len(zones)], fmt.Sprintf("v%d", 1+number%2))
		if err != nil {
			return exitNotRun
		}
		one.serve = one.answerLate
		if one.version == "v1" {
			leaving = append(leaving, one)
		}
	}
	if _, err := w.addRunner("i-app0", plainService, "kgn", "v1"); err != nil || !w.start() {
		return exitNotRun
	}
	stop := make(chan struct{})
	var ongoing, traffic sync.WaitGroup
	for _, n := range w.nodes {
		traffic.Go(func() { n.sendShort(stop) })
	}
	// The instances drop the older half of their records each time that the time of a stream has passed.
	time.Sleep(time.Until(releases.firstRun.Add(lateTimeout*time.Millisecond + lateMargin - 700*time.Millisecond)))
	all := make([]*stream, streams)
	for number := range all {
		all[number] = newStream()
		ongoing.Go(func() {
			s, n := all[number], w.nodes[number%len(w.nodes)]
			err := s.read(n, nil)
			w.note("stream %s at %s: status %d, %d events of %v: %v", s.first, n.name, s.status, s.last, keys(s.versions), err)
		})
	}
	time.Sleep(600 * time.Millisecond)
	if w.trouble {
		for _, one := range leaving {
			one.leave()
		}
	}
	ongoing.Wait()
	for number, s := range all {
		if s.last == 0 || !s.versions["v1"] {
			continue
		}
		ongoing.Go(func() {
			time.Sleep(time.Until(s.began.Add(later)))
			held, n := s.last, w.nodes[(number+1)%len(w.nodes)]
			err := s.read(n, nil)
			w.note("taken up: %s after event %d at %s: status %d, event %d of %v: %v", s.first, held, n.name, s.status, s.last, keys(s.versions), err)
		})
	}
	ongoing.Wait()
	close(stop)
	traffic.Wait()
	return w.judgeVersions(all)
}

// judgeVersions counts the streams with events of both versions.
func (w *world) judgeVersions(all []*stream) int {
	mixed, ofFirst := 0, 0
	for _, s := range all {
		if s.versions["v1"] {
			ofFirst++
		}
		if len(s.versions) > 1 {
			mixed++
			w.note("ORDER: %s holds events of two software versions", s.first)
		}
	}
	w.note("%d streams began at v1, %d hold events of two versions", ofFirst, mixed)
	if ofFirst == 0 {
		return exitNotRun
	}
	if mixed > 2 {
		return exitBroken
	}
	return exitHeld
}

// sendShort sends one short stream after the other.
func (n *node) sendShort(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
		_ = n.send(request{method: http.MethodPost, path: pathShort, header: usual("a1"), body: []byte("{}"), timeout: 5 * time.Second})
	}
}
