//go:build review

package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// taken_up.go: two versions of the software of a service serve side by side, six machines of seven are killed at once, and the clients of
// their streams take these up at the machine that is left.

const (
	killedStreams    = 10 // at each machine that will be killed
	takeUpTries      = 2
	restartDelay     = time.Second
	killAfter        = 3 * time.Second
	leastTakenUp     = 12
	newStreamsPeriod = 150 * time.Millisecond
)

// takenUp counts the streams that go on, and the new ones that begin, at the machine that is left.
func takenUp() verdict {
	services := []map[string]any{{"name": "lm-pool", "max-connections": 360, "health-path": "/healthz"}}
	b := newBed(7, configurationOf(3, services, route("brief", "/brief/", "streaming", "lm-pool", int(versionDeadline.Milliseconds()), 2, true)))
	for id, version := range map[string]string{"lm-1": "v1", "lm-2": "v1", "lm-3": "v2", "lm-4": "v2"} {
		versionRunner(id, version).register(b.store)
	}
	b.startAll()
	left, killed := b.machines[6], b.machines[:6]
	time.Sleep(4 * time.Second)

	stop := make(chan struct{})
	var usual, group sync.WaitGroup
	// struck is set once the machines have been killed, or would have been.
	var struck atomic.Bool
	var asked, begun, triedAgain, wentOn, mixed atomic.Int64
	usual.Go(func() {
		var tries sync.WaitGroup
		defer tries.Wait()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(newStreamsPeriod):
			}
			tries.Go(func() {
				var short heldStream
				counted := struck.Load()
				short.send(left, "/brief/short", fmt.Sprintf("new-%d", n), "", 4*time.Second)
				if counted {
					asked.Add(1)
					if short.last != "" {
						begun.Add(1)
					}
				}
			})
		}
	})
	strike := time.Now().Add(killAfter)
	for i, m := range killed {
		for j := range killedStreams {
			group.Go(func() {
				id := fmt.Sprintf("r%d-%d", i+1, j+1)
				time.Sleep(time.Duration(j) * 100 * time.Millisecond)
				began := time.Now()
				one := heldStream{}
				if !disrupted() {
					one.leaves = strike
				}
				if complete, _ := one.send(m, "/brief/a", id+"-1", "", versionDeadline); complete || one.last == "" {
					return
				}
				before := len(one.versions)
				triedAgain.Add(1)
				one.leaves = time.Time{}
				for try := range takeUpTries {
					rest := versionDeadline - time.Since(began)
					complete, after := one.send(left, "/brief/a", fmt.Sprintf("%s-%d", id, try+2), id+"-1", rest)
					if complete || len(one.versions) > before || after > rest/3 {
						break
					}
					time.Sleep(max(after, 200*time.Millisecond))
				}
				if len(one.versions) > before {
					wentOn.Add(1)
					if one.versions[before] != one.versions[0] {
						mixed.Add(1)
					}
				}
			})
		}
	}
	time.Sleep(time.Until(strike))
	if disrupted() {
		for _, m := range killed {
			m.signal(syscall.SIGKILL)
		}
		note("platform: all machines but %s are killed", left.name)
	} else {
		note("the connections of the streams break")
	}
	struck.Store(true)
	if disrupted() {
		time.Sleep(restartDelay)
		for _, m := range killed {
			<-m.ended
			b.start(m)
		}
		note("platform: the machines have been started again")
	}
	group.Wait()
	close(stop)
	usual.Wait()
	again, on, new, starts := triedAgain.Load(), wentOn.Load(), asked.Load(), begun.Load()
	note("LOST: of %d streams that clients took up again %d went on, %d of them at another version; of %d new streams %d began", again, on, mixed.Load(), new, starts)
	if again < leastTakenUp || new < leastTakenUp {
		return couldNotRun
	}
	return verdictOf(2*on*new >= starts*again)
}
