//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Routes that a later configuration adds, to the same service as the first routes for plain requests.
const (
	pathAdded     = "/added/"
	pathAddedToo  = "/added-too/"
	configApplied = 2 * time.Second
)

// share is how many requests were sent and served.
type share struct{ sent, served int }

func (s share) plus(other share) share { return share{s.sent + other.sent, s.served + other.served} }

func (s share) part() float64 { return float64(s.served) / float64(max(s.sent, 1)) }

// playOutage plays a store that is down once, so that leases and the entries of runners run out. The runners live, and their
// entries are back at their next heartbeat.
func playOutage(w *world) int {
	const (
		outage = 4500 * time.Millisecond
		// settled is the time after the outage from which on the instances are in touch and the state is steady. It is more than
		// contact-ms and than the two seconds within which entries are back.
		settled = 9 * time.Second
	)
	for number := range 4 {
		if _, err := w.addRunner(fmt.Sprintf("i-lm%d", number), engineService, zones[number%3], "v1"); err != nil {
			return exitNotRun
		}
	}
	for number := range 3 {
		if _, err := w.addRunner(fmt.Sprintf("i-app%d", number), plainService, zones[number%3], "v1"); err != nil {
			return exitNotRun
		}
	}
	// Entries are back within two seconds of the store's return.
	for number, one := range w.runners {
		one.returnsAfter = time.Second + time.Duration(number)*100*time.Millisecond
	}
	w.further = 5
	if !w.start() {
		return exitNotRun
	}
	first := w.sendToAll("before", 30*time.Second, pathIdem)[pathIdem]
	if w.trouble {
		w.store.setDown(true)
		time.Sleep(outage)
		w.store.setDown(false)
	}
	time.Sleep(settled)
	w.configure(pathAdded, pathAddedToo)
	time.Sleep(configApplied + time.Second)
	after := w.sendToAll("after", 20*time.Second, pathIdem, pathAdded, pathAddedToo)
	first = first.plus(after[pathIdem])
	added := after[pathAdded].plus(after[pathAddedToo])
	w.note("first routes: %d of %d served; added routes: %d of %d served", first.served, first.sent, added.served, added.sent)
	if first.served == 0 || added.sent < 20 {
		return exitNotRun
	}
	if 4*added.part() < first.part() {
		w.note("CONFIG: the added routes are served less than a quarter as often as the first ones")
		return exitBroken
	}
	return exitHeld
}

// sendToAll sends requests on some routes to all instances in turn for some time.
func (w *world) sendToAll(what string, lasts time.Duration, paths ...string) map[string]share {
	var mutex sync.Mutex
	var ongoing sync.WaitGroup
	routes := make(map[string]share)
	instances := make(map[string]share)
	for until, number := time.Now().Add(lasts), 0; time.Now().Before(until); number++ {
		n := w.nodes[number%len(w.nodes)]
		path := paths[number/len(w.nodes)%len(paths)]
		ongoing.Go(func() {
			seen := n.send(request{method: http.MethodGet, path: path + "o", timeout: 1500 * time.Millisecond})
			one := share{sent: 1}
			if seen.ok() {
				one.served = 1
			}
			mutex.Lock()
			defer mutex.Unlock()
			routes[path] = routes[path].plus(one)
			instances[n.name] = instances[n.name].plus(one)
			w.note("request %s on %s at %s: %s", seen.id, path, n.name, seen)
		})
		time.Sleep(40 * time.Millisecond)
	}
	ongoing.Wait()
	for _, n := range w.nodes {
		w.note("%s: %s has served %d of %d", what, n.name, instances[n.name].served, instances[n.name].sent)
	}
	return routes
}
