//go:build review

package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// playSilence plays a sound runner that falls silent in the middle of a stream for a second or so, works on and goes on.
func playSilence(w *world) int {
	const (
		streams = 8
		silence = 1900 * time.Millisecond
		// prefill is the time that a runner takes to read the prompt and what was written of the answer.
		prefill = 600 * time.Millisecond
		// overlap is how long the runner before may still work.
		overlap = 400 * time.Millisecond
	)
	type run struct {
		runner, last string
		began, ended time.Time
	}
	var mutex sync.Mutex
	runs := make(map[string][]*run)
	if !w.startRunners() || !w.start() {
		return exitNotRun
	}
	for _, one := range w.runners {
		if !one.engine {
			continue
		}
		one.serve = func(writer http.ResponseWriter, request *http.Request, _ []byte) {
			id, from := request.Header.Get("X-Request-Id"), request.Header.Get("Last-Event-Id")
			this := &run{runner: one.id, last: from, began: time.Now()}
			mutex.Lock()
			runs[id] = append(runs[id], this)
			mutex.Unlock()
			w.note("request %s runs at %s from event %q", id, one.id, from)
			defer func() {
				mutex.Lock()
				this.ended = time.Now()
				mutex.Unlock()
				w.note("request %s ends at %s", id, one.id)
			}()
			writer.Header().Set("Content-Type", "text/event-stream")
			last, _ := strconv.Atoi(from)
			if last > 0 && !work(request, prefill) {
				return
			}
			for number := last + 1; number <= 12; number++ {
				pause := 30 * time.Millisecond
				if number == 6 && from == "" && w.trouble {
					pause = silence
				}
				if !work(request, pause) {
					return
				}
				_, _ = fmt.Fprintf(writer, "id: %d\ndata: v1 %d\n\n", number, number)
				writer.(http.Flusher).Flush()
			}
		}
	}
	for number := range streams {
		n := w.nodes[number%len(w.nodes)]
		seen := n.send(request{
			method: http.MethodPost, path: pathStream + "s", header: usual("a1"), body: []byte("{}"), timeout: 15 * time.Second,
		})
		w.note("request %s at %s: %s", seen.id, n.name, seen)
	}
	time.Sleep(time.Second)
	broken := 0
	mutex.Lock()
	defer mutex.Unlock()
	for id, all := range runs {
		for _, later := range all[1:] {
			first := all[0]
			if still := first.ended.Sub(later.began); later.runner != first.runner && still > overlap {
				broken++
				w.note("TWICE: %s went on at %s after event %s, and %s still worked on it %d ms later", id, later.runner, later.last, first.runner, still.Milliseconds())
			}
		}
	}
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}

// work waits as a runner works, and returns false once the request was dropped with its connection.
func work(request *http.Request, length time.Duration) bool {
	select {
	case <-time.After(length):
		return true
	case <-request.Context().Done():
		return false
	}
}
