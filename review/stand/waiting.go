//go:build review

package main

import (
	"fmt"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// waiting.go: requests wait at a machine for an adapter, because all places for adapters are in use, while it gets SIGTERM.

const (
	// The figures of a kind of request of the sheets: "coach-hint", with an objective of 2 s, pauses of 0.4 s and a deadline of 15 s.
	// Its clients leave after a gap of four times the objective.
	waitingObjective = 2 * time.Second
	waitingPause     = 400 * time.Millisecond
	waitingDeadline  = 15 * time.Second
	waitingPatience  = 4 * waitingObjective

	waitingRunners = 9
	adapterSlots   = 5
	waitingCount   = 3
	// usualTokens is the longest output of the streams that use all places, which last 9 s, and beforeTerm how long after their start the requests that wait
	// are sent: some places are free 7.5 s later, before their clients leave.
	usualTokens   = 180
	waitingTokens = 40
	beforeTerm    = 1500 * time.Millisecond
)

func waiting() verdict {
	brief := route("brief", "/brief/", "streaming", "lm-pool", int(waitingDeadline.Milliseconds()), 2, true)
	brief["latency-target-ms"] = waitingObjective.Milliseconds()
	brief["max-gap-ms"] = waitingPause.Milliseconds()
	b := newBed(7, configurationOf(3, []map[string]any{engineService(adapterSlots, 123223)}, brief))
	var runners []*modelRunner
	for i := range waitingRunners {
		var adapters []string
		for slot := range adapterSlots {
			adapters = append(adapters, "a"+strconv.Itoa(adapterSlots*i+slot+1))
		}
		one := newModelRunner(fmt.Sprintf("lm-%d", i+1), zoneOf(i), adapters...)
		one.register(b.store)
		runners = append(runners, one)
	}
	b.startAll()
	time.Sleep(6 * time.Second)
	ask := func(m *machine, id string, adapter, tokens int) seen {
		return send(m, request{
			method: "POST", target: "/brief/a", id: id, body: "{}", deadline: waitingDeadline, patience: waitingPatience, pause: waitingPatience,
			header: fmt.Sprintf("X-Model: %s/a%d\r\nX-Token-Count: 1400,%d\r\nX-Prompt-Prefix: aa:350,%x:1050\r\n", modelName, adapter, tokens, 4096+adapter),
		})
	}
	var group sync.WaitGroup
	usual := make([]seen, waitingRunners*adapterSlots)
	for i := range usual {
		m := b.machines[1+i%(len(b.machines)-1)]
		group.Go(func() { usual[i] = ask(m, fmt.Sprintf("usual-%d", i+1), i+1, usualTokens) })
	}
	time.Sleep(beforeTerm)
	stopped := b.machines[0]
	answers := make([]seen, waitingCount)
	for i := range answers {
		group.Go(func() { answers[i] = ask(stopped, fmt.Sprintf("waits-%d", i+1), 1000+i, waitingTokens) })
	}
	time.Sleep(200 * time.Millisecond)
	if disrupted() {
		stopped.terminate()
	}
	group.Wait()
	for _, one := range usual {
		if one.status != 200 || !one.whole {
			note("a stream that was to use a place was not served")
			return couldNotRun
		}
	}
	held := true
	for i, one := range answers {
		id := fmt.Sprintf("waits-%d", i+1)
		passedOn := 0
		for _, r := range runners {
			passedOn += r.runs(id)
		}
		if one.status == 0 && !one.left {
			note("LOST: request %s was read, passed on to %d runners, and its connection was closed without an answer %.1f s after it was sent",
				id, passedOn, one.took.Seconds())
			held = false
		}
	}
	return verdictOf(held)
}

// terminate stops a machine as the platform does: with SIGTERM, and with SIGKILL after grace-s.
func (m *machine) terminate() {
	note("platform: SIGTERM to %s", m.name)
	m.signal(syscall.SIGTERM)
	go func() {
		select {
		case <-m.ended:
			note("platform: %s has ended by itself", m.name)
		case <-time.After(graceTime):
			note("platform: SIGKILL to %s after grace-s", m.name)
			m.kill()
		}
	}()
}
