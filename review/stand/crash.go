//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// crash.go: many users come at once to a machine that holds a model runner, with long bodies, of which it refuses some for lack of
// memory. Requests to that runner follow at another machine, of which not all fit into the memory of the runner.

const (
	burstRequests = 20
	burstBody     = 4 << 20
	crashRounds   = 12
)

func crash() verdict {
	order := route("order", "/order/", "non_idempotent", "coop-app", 8000, 1, false)
	brief := route("brief", "/brief/", "streaming", "lm-pool", 15000, 1, false)
	services := []map[string]any{{"name": "coop-app", "max-connections": 100, "health-path": "/healthz"}, engineService(adapterSlots, 123223)}
	b := newBed(2, configurationOf(3, services, order, brief))
	b.contracts, b.memory = ",pressure", "UpstreamBound = on\n"
	var app *runner
	app = newRunner("app-1", "coop-app", "kgn", 64, func(c *runnerConnection, r *http.Request, _ []byte) bool {
		id := app.begin(r)
		time.Sleep(time.Second)
		return c.answer(r, 200, "X-Server-Stamp: stamp-"+id+"\r\n", "ok")
	})
	app.register(b.store)
	lm := newModelRunner("lm-1", "kgn", "a1")
	lm.register(b.store)
	b.startAll()
	time.Sleep(5 * time.Second)
	var holder struct{ Instance string }
	must(json.Unmarshal(b.store.value("fleet/holders/lm-1"), &holder))
	held, other := b.machines[0], b.machines[1]
	if holder.Instance == other.name {
		held, other = other, held
	}
	note("%s holds lm-1", held.name)
	var group sync.WaitGroup
	if disrupted() {
		for i := range burstRequests {
			group.Go(func() {
				send(held, request{
					method: "POST", target: "/order/a", id: fmt.Sprintf("burst-%d", i+1), body: strings.Repeat("x", burstBody),
					deadline: 8 * time.Second, patience: 8 * time.Second, pause: 2 * time.Second,
				})
			})
		}
		group.Wait()
	}
	for round := range crashRounds {
		for i := range 30 {
			group.Go(func() {
				send(other, request{
					method: "POST", target: "/brief/a", id: fmt.Sprintf("brief-%d-%d", round+1, i+1), body: "{}",
					header:   "X-Model: m0/a1\r\nX-Token-Count: 6800,40\r\nX-Prompt-Prefix: aa:350,b1:6450\r\n",
					deadline: 15 * time.Second, patience: 4 * time.Second, pause: 2 * time.Second,
				})
			})
		}
		group.Wait()
		time.Sleep(300 * time.Millisecond)
		if held.hasEnded() {
			text, _ := os.ReadFile(held.log)
			reason := ""
			if at := strings.Index(string(text), "panic:"); at >= 0 {
				reason, _, _ = strings.Cut(string(text)[at:], "\n")
			}
			note("%s has ended by itself (%s): %s", held.name, held.command.ProcessState, reason)
			return ruleBroken
		}
	}
	return verdictOf(!other.hasEnded())
}
