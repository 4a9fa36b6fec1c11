//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// contact is contact-ms of the sheets.
const contact = 3 * time.Second

func main() {
	if len(os.Args) > 2 && os.Args[1] == "runner" {
		os.Exit(runProcess(os.Args[2:]))
	}
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "stand2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	play, found := map[string]func(w *world) int{
		"outage": playOutage, "late": playLate, "unframed": playUnframed, "lives": playLives, "resume": playResume,
		"silence": playSilence, // no case, see REPORT-2.md
	}[os.Args[1]]
	if !found {
		fmt.Fprintln(os.Stderr, "stand2: no such case:", os.Args[1])
		os.Exit(exitNotRun)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand2:", err)
		os.Exit(exitNotRun)
	}
	code := play(w)
	w.note("exit %d", code)
	w.end()
	os.Exit(code)
}

var zones = []string{"kgn", "spt", "mdv"}

// startRunners starts the usual runners: three of each service.
func (w *world) startRunners() bool {
	for number, zone := range zones {
		if _, err := w.addRunner(fmt.Sprintf("i-lm%d", number), engineService, zone, "v1"); err != nil {
			return false
		}
		if _, err := w.addRunner(fmt.Sprintf("i-app%d", number), plainService, zone, "v1"); err != nil {
			return false
		}
	}
	return true
}

// start starts one instance in each zone and the further ones, and waits until all of them serve and are in touch.
func (w *world) start() bool {
	w.configure()
	for number := range len(zones) + w.further {
		zone := zones[number%len(zones)]
		if _, err := w.addNode(fmt.Sprintf("edge-%s-%d", zone, 1+number/len(zones)), zone); err != nil {
			w.note("start: %v", err)
			return false
		}
	}
	var serving atomic.Int64
	var ongoing sync.WaitGroup
	for _, n := range w.nodes {
		ongoing.Go(func() {
			if n.awaitServing() {
				serving.Add(1)
			}
		})
	}
	ongoing.Wait()
	w.note("%d of %d instances serve", serving.Load(), len(w.nodes))
	time.Sleep(contact + time.Second)
	return int(serving.Load()) == len(w.nodes)
}
