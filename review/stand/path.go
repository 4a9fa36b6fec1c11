//go:build review

package main

import (
	"net/http"
	"sync"
	"time"
)

// path.go: a configuration adds a route with the prefix "/", and clients send requests whose path begins with two slashes.

func path() verdict {
	service := []map[string]any{{"name": "coop-app", "max-connections": 100, "health-path": "/healthz"}}
	first := route("order", "/order/", "non_idempotent", "coop-app", 800, 1, false)
	b := newBed(3, configurationOf(3, service, first))
	var mutex sync.Mutex
	ran := map[string]string{}
	var server *runner
	server = newRunner("app-1", "coop-app", "kgn", 6, func(c *runnerConnection, r *http.Request, _ []byte) bool {
		id := server.begin(r)
		mutex.Lock()
		ran[id] = r.RequestURI
		mutex.Unlock()
		return c.answer(r, 200, "X-Server-Stamp: stamp-"+id+"\r\n", "ok")
	})
	server.register(b.store)
	b.startAll()
	time.Sleep(3 * time.Second)
	if disrupted() {
		b.store.put("op/config", configurationOf(7, service, first, route("any", "/", "non_idempotent", "coop-app", 800, 1, false)))
		note("operator: version 7 adds a route with the prefix /")
	}
	time.Sleep(4 * time.Second)
	sent := map[string]string{"r1": "/order/17", "r2": "//order/17", "r3": "//paint/order?crew=4"}
	for id, target := range sent {
		s := send(b.machines[0], request{method: "POST", target: target, id: id, body: "{}", deadline: 1500 * time.Millisecond, patience: 2 * time.Second, pause: time.Second})
		if id == "r1" && s.status != 200 {
			return couldNotRun
		}
	}
	held := true
	for id, target := range ran {
		if target != sent[id] {
			note("UNASKED: request %s was sent as %s and run as %s", id, sent[id], target)
			held = false
		}
	}
	return verdictOf(held)
}

// encoded: a configuration adds a longer prefix, and clients send a path that begins with it only once it is decoded. It is no case of
// the review.
func encoded() verdict {
	services := []map[string]any{{"name": "coop-app", "max-connections": 100, "health-path": "/healthz"}, {"name": "pay-app", "max-connections": 100, "health-path": "/healthz"}}
	first := route("order", "/order/", "non_idempotent", "coop-app", 800, 1, false)
	b := newBed(3, configurationOf(3, services, first))
	serve := func(id, service string) *runner {
		var server *runner
		server = newRunner(id, service, "kgn", 6, func(c *runnerConnection, r *http.Request, _ []byte) bool {
			return c.answer(r, 200, "X-Server-Stamp: stamp-"+server.begin(r)+"\r\n", "ok")
		})
		server.register(b.store)
		return server
	}
	app, pay := serve("app-1", "coop-app"), serve("pay-1", "pay-app")
	b.startAll()
	time.Sleep(3 * time.Second)
	if disrupted() {
		b.store.put("op/config", configurationOf(7, services, first, route("pay", "/order/pay/", "non_idempotent", "pay-app", 800, 1, false)))
		note("operator: version 7 adds a route with the prefix /order/pay/ to another service")
	}
	time.Sleep(4 * time.Second)
	s := send(b.machines[0], request{method: "POST", target: "/order/pay%2F17", id: "r1", body: "{}", deadline: 1500 * time.Millisecond, patience: 2 * time.Second, pause: time.Second})
	if s.status != 200 || app.runs("r1")+pay.runs("r1") != 1 {
		return couldNotRun
	}
	return verdictOf(app.runs("r1") == 1)
}
