//go:build review

package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Streams of the kind of safety-brief: many events, within a deadline of 15 s.
const (
	streamEvents = 86
	eventPause   = 50 * time.Millisecond
	streamTime   = 15 * time.Second
)

// stream is a stream as its client has it, over all its tries.
type stream struct {
	first    string // the id of the try that brought the first event
	last     int
	versions map[string]bool
	began    time.Time
	complete bool
	status   int
	// retryAfter is that of the last answer.
	retryAfter time.Duration
}

// read makes one try: it begins the stream, or takes it up. The client leaves when leave is closed.
func (s *stream) read(n *node, leave <-chan struct{}) error {
	id := fmt.Sprintf("%016x", requestIDs.Add(1))
	ctx, cancel := context.WithDeadline(context.Background(), s.began.Add(streamTime))
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.frontend+pathStream+"r", bytes.NewReader([]byte("{}")))
	if err != nil {
		return err
	}
	request.Host = host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(time.Until(s.began.Add(streamTime)).Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer "+keyUsual)
	for name, value := range usual("a1") {
		request.Header.Set(name, value)
	}
	if s.last > 0 {
		request.Header.Set("Last-Event-Id", strconv.Itoa(s.last))
		request.Header.Set("Resumes", s.first)
	}
	transport := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	response, err := transport.RoundTrip(request)
	if err != nil {
		s.status = 0
		return err
	}
	defer response.Body.Close()
	s.status = response.StatusCode
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	s.retryAfter = time.Duration(seconds * float64(time.Second))
	go func() {
		select {
		case <-leave:
			cancel()
		case <-ctx.Done():
		}
	}()
	lines := bufio.NewScanner(response.Body)
	number := 0
	for lines.Scan() {
		if text, is := strings.CutPrefix(lines.Text(), "id: "); is {
			number, _ = strconv.Atoi(text)
		}
		text, is := strings.CutPrefix(lines.Text(), "data: ")
		if !is {
			continue
		}
		version, _, _ := strings.Cut(text, " ")
		if s.last == 0 {
			s.first = id
		}
		s.last = number
		s.versions[version] = true
	}
	s.complete = lines.Err() == nil && s.last == streamEvents
	return lines.Err()
}

// answerLong answers with a long stream.
func (r *runner) answerLong(writer http.ResponseWriter, request *http.Request, _ []byte) {
	writer.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	r.world.note("%s (%s) runs %s after event %d", r.id, r.version, request.Header.Get("X-Request-Id"), last)
	for number := last + 1; number <= streamEvents; number++ {
		if !work(request, eventPause) {
			return
		}
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: %s %d\n\n", number, r.version, number)
		writer.(http.Flusher).Flush()
	}
}

func newStream() *stream { return &stream{began: time.Now(), versions: make(map[string]bool)} }

// playResume plays two software versions of one service beside each other, while all processes are killed at the same
// moment. The clients take up their streams once the instances are in touch again.
func playResume(w *world) int {
	const (
		streams = 24
		before  = 1500 * time.Millisecond
		restart = 500 * time.Millisecond
	)
	for number := range 4 {
		one, err := w.addRunner(fmt.Sprintf("i-lm%d", number), engineService, zones[number%len(zones)], fmt.Sprintf("v%d", 1+number%2))
		if err != nil {
			return exitNotRun
		}
		one.serve = one.answerLong
	}
	if _, err := w.addRunner("i-app0", plainService, "kgn", "v1"); err != nil || !w.start() {
		return exitNotRun
	}
	leave := make(chan struct{})
	all := make([]*stream, streams)
	var ongoing sync.WaitGroup
	for number := range all {
		all[number] = newStream()
		ongoing.Go(func() {
			err := all[number].read(w.nodes[number%len(w.nodes)], leave)
			w.note("stream %s: status %d, %d events of %v: %v", all[number].first, all[number].status, all[number].last, keys(all[number].versions), err)
		})
	}
	time.Sleep(before)
	if w.trouble {
		w.note("all processes are killed")
		for _, n := range w.nodes {
			n.signal(syscall.SIGKILL)
		}
	} else {
		w.note("the clients lose their connections")
		close(leave)
	}
	ongoing.Wait()
	time.Sleep(restart)
	if w.trouble {
		for _, n := range w.nodes {
			<-n.done
			if n.start() != nil {
				return exitNotRun
			}
		}
	}
	time.Sleep(contact + time.Second)
	// All instances are in touch from here on.
	wentOn, begun, mixed := 0, 0, 0
	var mutex sync.Mutex
	for number := range all {
		ongoing.Go(func() {
			s := all[number]
			held := s.last
			for try := 1; try <= 3 && s.last == held; try++ {
				n := w.nodes[(number+try)%len(w.nodes)]
				err := s.read(n, nil)
				w.note("taken up: %s after event %d at %s: status %d, event %d of %v, Retry-After %v: %v", s.first, held, n.name, s.status, s.last,
					keys(s.versions), s.retryAfter, err)
				time.Sleep(max(s.retryAfter, 50*time.Millisecond))
			}
			mutex.Lock()
			defer mutex.Unlock()
			if s.last > held {
				wentOn++
			}
			if len(s.versions) > 1 {
				mixed++
			}
		})
		ongoing.Go(func() {
			s := newStream()
			_ = s.read(w.nodes[number%len(w.nodes)], nil)
			w.note("new stream %s: status %d, %d events of %v", s.first, s.status, s.last, keys(s.versions))
			mutex.Lock()
			defer mutex.Unlock()
			if s.last > 0 {
				begun++
			}
		})
	}
	ongoing.Wait()
	w.note("%d of %d streams went on, %d of %d new streams began; %d hold events of two versions", wentOn, streams, begun, streams, mixed)
	if begun == 0 {
		return exitNotRun
	}
	if 2*wentOn < begun {
		w.note("LOST: the share that went on is under half of the share of new streams that began")
		return exitBroken
	}
	return exitHeld
}

func keys(versions map[string]bool) (names []string) {
	for name := range versions {
		names = append(names, name)
	}
	return names
}
