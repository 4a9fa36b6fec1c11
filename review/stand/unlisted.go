//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// unlisted.go: as the machines start, the store carries out the first entry of each in the list of machines late, and does not answer
// that call. It is no case of the review.

const (
	unlistedRate  = 8000
	unlistedBurst = 16000
	unlistedCost  = 2000
	carriedOut    = 2 * time.Second
	// forgotten is longer than machines remember others that have left the list.
	forgotten = 28 * time.Second
)

func unlisted() verdict {
	order := route("order", "/order/", "idempotent", "coop-app", 1500, 1, false)
	order["public"] = false
	configuration := configurationOf(3, []map[string]any{{"name": "coop-app", "max-connections": 400, "health-path": "/healthz"}}, order)
	configuration["tenants"] = []any{map[string]any{
		"name": "t1", "api-keys": []string{"key-1"}, "unit": "tokens", "plain-tokens": 200, "rate-per-s": unlistedRate, "burst": unlistedBurst,
	}}
	b := newBed(3, configuration)
	var mutex sync.Mutex
	lost := map[string]bool{}
	b.store.intercept = func(w http.ResponseWriter, r *http.Request, body map[string]any) bool {
		if r.URL.Path != "/v1/kv-txn" || !disrupted() {
			return false
		}
		puts, _ := body["puts"].([]any)
		for _, put := range puts {
			key, _ := put.(map[string]any)["key"].(string)
			mutex.Lock()
			first := strings.HasPrefix(key, "fleet/instances/") && !lost[key]
			lost[key] = true
			mutex.Unlock()
			if first {
				note("store: the write of %s gets no answer, and is carried out %s later", key, carriedOut)
				time.AfterFunc(carriedOut, func() { b.store.handle(&discard{header: http.Header{}}, r, body) })
				<-r.Context().Done()
				return true
			}
		}
		return false
	}
	var tokens [100]atomic.Int64
	app := newRunner("app-1", "coop-app", "kgn", 64, func(c *runnerConnection, r *http.Request, _ []byte) bool {
		tokens[min(int(time.Since(started).Seconds()), len(tokens)-1)].Add(unlistedCost)
		return c.answer(r, 200, "X-Server-Stamp: s\r\n", "ok")
	})
	app.register(b.store)
	b.startAll()
	time.Sleep(forgotten)
	listed := 0
	for _, m := range b.machines {
		if b.store.value("fleet/instances/"+m.name) != nil {
			listed++
		}
	}
	note("%d of %d machines are in the list", listed, len(b.machines))
	stop := time.Now().Add(12 * time.Second)
	var group sync.WaitGroup
	for i, m := range b.machines {
		for k := range 4 {
			group.Go(func() {
				for n := 0; time.Now().Before(stop); n++ {
					send(m, request{
						method: "POST", target: "/order/a", id: fmt.Sprintf("q-%d-%d-%d", i, k, n), body: "{}",
						header:   "Authorization: Bearer key-1\r\nX-Token-Count: 1900,100\r\n",
						deadline: 1500 * time.Millisecond, patience: 2 * time.Second, pause: time.Second,
					})
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
	}
	group.Wait()
	most := int64(0)
	for at := range len(tokens) - 8 {
		sum := int64(0)
		for second := at; second < at+8; second++ {
			sum += tokens[second].Load()
		}
		most = max(most, sum)
	}
	bound := float64(unlistedRate*8+unlistedBurst)*1.1 + 17000
	note("QUOTA: of tenant t1 at most %d tokens ran in 8 s, %.0f are allowed", most, bound)
	return verdictOf(float64(most) <= bound)
}

// discard is the answer to a call that gets none.
type discard struct{ header http.Header }

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(p []byte) (int, error) { return len(p), nil }
func (d *discard) WriteHeader(int)             {}
