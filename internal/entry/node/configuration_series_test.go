package node_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"lacewingrock.example/lacewingrock/internal/entry/node"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

const (
	// seriesTime is how long configurations come, one each seriesInterval.
	seriesTime     = 5 * time.Second
	seriesInterval = 130 * time.Millisecond
	seriesCallers  = 12
)

// reducedConfiguration is the usual configuration without the services of some routes, and without the routes if said.
func reducedConfiguration(t *testing.T, version int, withoutRoutes bool, services ...string) string {
	t.Helper()
	var c traffic.Configuration
	if err := json.Unmarshal([]byte(configuration(version, "/p/")), &c); err != nil {
		t.Fatal(err)
	}
	for _, service := range services {
		delete(c.Services, service)
		c.Routes = slices.DeleteFunc(c.Routes, func(route traffic.Route) bool { return withoutRoutes && route.Serves(service) })
	}
	return encoded(c)
}

// Guards against a request that gets neither a response nor a refusal, because a configuration removes its route or service
// while its instance has lost its links and sends through a peer, or its link comes back.
func TestConfigurationsInSeriesLoseNoRequestThroughPeers(t *testing.T) {
	t.Parallel()
	s := newStore()
	options := fleetOptions{
		shared: &engines{}, change: func(*node.Settings) {},
		upstream: func(t *testing.T) string { return newUpstream(t, seriesInterval) },
	}
	fleet := startFleetBefore(t, s, options, "a", "b", "c")
	fleet[0].links.set(linksSilent)
	eventually(t, 2*contactTime, "requests go through other instances", func() bool {
		return fleet[0].status("/p/") == http.StatusOK && fleet[0].generate("warm") == http.StatusOK
	})
	time.Sleep(contactTime)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var mutex sync.Mutex
	statuses := map[string]int{}
	for caller := range seriesCallers {
		callers.Go(func() {
			for round := 0; ; round++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("%d-%d", caller, round)
				kind, adapter := "/p/", ""
				switch round % 4 {
				case 1:
					kind = "/p/once/"
				case 2, 3:
					kind, adapter = "/p/generate/", fmt.Sprint("adapter", round/4%12)
				}
				status := fleet[0].sendAs(id, kind, adapter)
				mutex.Lock()
				statuses[fmt.Sprint(kind, " ", status)]++
				mutex.Unlock()
				if status != http.StatusOK {
					time.Sleep(20 * time.Millisecond)
				}
				switch status {
				case http.StatusOK, http.StatusNotFound, http.StatusServiceUnavailable:
				default:
					t.Errorf("%s %s: status %d", id, kind, status)
				}
			}
		})
	}
	version := 1
	for begun := time.Now(); time.Since(begun) < seriesTime; time.Sleep(seriesInterval) {
		version++
		switch version % 6 {
		case 0:
			s.put(keyConfiguration, reducedConfiguration(t, version, true, "llm"))
		case 2:
			s.put(keyConfiguration, reducedConfiguration(t, version, false, "app", "llm"))
		case 4:
			s.put(keyConfiguration, reducedConfiguration(t, version, true, "app"))
		default:
			s.put(keyConfiguration, configuration(version, "/p/"))
		}
		if time.Since(begun) > seriesTime/2 {
			fleet[0].links.set(linksWhole)
		}
	}
	close(stop)
	callers.Wait()
	t.Logf("statuses: %v", statuses)
}
