//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// stale.go: the link between a runner that checks no fences and the machine that holds it loses the packet of an order twice in a row,
// and the machine gets SIGTERM before the packet has come through.

const (
	// retransmitted is how long a packet takes that is lost twice: TCP sends it again after 200 ms, and then after 400 ms.
	retransmitted = 600 * time.Millisecond
	staleAfter    = 20 * time.Millisecond
)

func stale() verdict {
	brief := route("brief", "/brief/", "streaming", "lm-pool", 5000, 2, true)
	b := newBed(4, configurationOf(3, []map[string]any{engineService(2, 123223)}, brief))
	b.unfenced = true
	lm := newModelRunner("lm-1", "kgn", "a1", "a2")
	lm.unfenced = true
	var armed, done atomic.Bool
	var mutex sync.Mutex
	var orders []seenOrder
	held := true
	inner := lm.runner.run
	lm.runner.run = func(c *runnerConnection, r *http.Request, body []byte) bool {
		if r.URL.Path != "/v1/order" {
			return inner(c, r, body)
		}
		var order seenOrder
		must(json.Unmarshal(body, &order))
		delayed := armed.CompareAndSwap(true, false)
		if delayed {
			note("network: the packet with the order of %s with fence %d is lost twice", order.Holder, order.Fence)
			time.AfterFunc(staleAfter, func() {
				for _, m := range b.machines {
					if m.name == order.Holder {
						m.terminate()
					}
				}
			})
			time.Sleep(retransmitted)
		}
		mutex.Lock()
		for _, before := range orders {
			if before.Fence > order.Fence {
				note("ONE: the order of %s with fence %d arrives after one of %s with fence %d", order.Holder, order.Fence, before.Holder, before.Fence)
				held = false
				break
			}
		}
		orders = append(orders, order)
		mutex.Unlock()
		if delayed {
			note("%s: the delayed order arrives: %s", lm.id, body)
			done.Store(true)
		}
		return inner(c, r, body)
	}
	lm.register(b.store)
	b.startAll()
	time.Sleep(6 * time.Second)
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i, m := range b.machines {
		group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(150 * time.Millisecond):
				}
				group.Go(func() {
					send(m, request{
						method: "POST", target: "/brief/a", id: fmt.Sprintf("brief-%d-%d", i, n), body: "{}",
						header:   fmt.Sprintf("X-Model: m0/a%d\r\nX-Token-Count: 1400,4\r\nX-Prompt-Prefix: aa:350,b1:1050\r\n", 1+n%7),
						deadline: 5 * time.Second, patience: 4 * time.Second, pause: 2 * time.Second,
					})
				})
			}
		})
	}
	time.Sleep(2 * time.Second)
	if disrupted() {
		armed.Store(true)
	}
	time.Sleep(4 * time.Second)
	close(stop)
	group.Wait()
	if disrupted() && !done.Load() {
		return couldNotRun
	}
	return verdictOf(held)
}

type seenOrder struct {
	Holder string `json:"holder"`
	Fence  int    `json:"fencing-token"`
}
