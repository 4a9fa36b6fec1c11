//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

// playLives plays runners of one software version that crash and start again under their ids, one after the other. Long
// after, clients lose their connections and take up their streams.
func playLives(w *world) int {
	const (
		streams = 32
		// settled is longer than the time in which a stream can be taken up.
		settled = 25 * time.Second
	)
	for number := range 4 {
		one, err := w.addRunner(fmt.Sprintf("i-lm%d", number), engineService, zones[number%len(zones)], "v1")
		if err != nil {
			return exitNotRun
		}
		one.serve = one.answerLong
	}
	w.further = 5
	if _, err := w.addRunner("i-app0", plainService, "kgn", "v1"); err != nil || !w.start() {
		return exitNotRun
	}
	// Some traffic goes on all the while.
	stop := make(chan struct{})
	var ongoing sync.WaitGroup
	for number := range w.nodes {
		ongoing.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(500 * time.Millisecond):
				}
				_ = newStream().read(w.nodes[number], nil)
			}
		})
	}
	time.Sleep(2 * time.Second)
	for _, one := range w.runners {
		if w.trouble && one.engine {
			if one.restart(2*time.Second) != nil {
				return exitNotRun
			}
		}
		time.Sleep(4 * time.Second)
	}
	close(stop)
	ongoing.Wait()
	time.Sleep(settled)
	leave := make(chan struct{})
	all := make([]*stream, streams)
	for number := range all {
		all[number] = newStream()
		ongoing.Go(func() {
			s, n := all[number], w.nodes[number%len(w.nodes)]
			err := s.read(n, leave)
			w.note("stream %s at %s: status %d, %d events: %v", s.first, n.name, s.status, s.last, err)
		})
	}
	time.Sleep(1500 * time.Millisecond)
	close(leave)
	ongoing.Wait()
	wentOn, begun := 0, 0
	var mutex sync.Mutex
	for number := range all {
		ongoing.Go(func() {
			s := all[number]
			held := s.last
			n := w.nodes[(number+1)%len(w.nodes)]
			err := s.read(n, nil)
			w.note("taken up: %s after event %d at %s: status %d, event %d: %v", s.first, held, n.name, s.status, s.last, err)
			mutex.Lock()
			defer mutex.Unlock()
			if s.last > held {
				wentOn++
			}
		})
		ongoing.Go(func() {
			s := newStream()
			_ = s.read(w.nodes[number%len(w.nodes)], nil)
			w.note("new stream %s at %s: status %d, %d events", s.first, w.nodes[number%len(w.nodes)].name, s.status, s.last)
			mutex.Lock()
			defer mutex.Unlock()
			if s.last > 0 {
				begun++
			}
		})
	}
	ongoing.Wait()
	w.note("%d of %d streams went on, %d of %d new streams began", wentOn, streams, begun, streams)
	if begun == 0 {
		return exitNotRun
	}
	if 2*wentOn < begun {
		w.note("LOST: the share that went on is under half of the share of new streams that began")
		return exitBroken
	}
	return exitHeld
}
