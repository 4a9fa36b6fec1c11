package serve_test

// Streams while upstreams of several software versions serve side by side.

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// declareSoftware declares the software version of each upstream.
func (h *harness) declareSoftware(versions ...string) {
	h.handler.State.WithLock(func(state *serve.SharedState) {
		for i, version := range versions {
			state.Pool.Declare(time.Now(), traffic.Upstream{
				ID: h.upstreams[i].id, Service: "app", Address: strings.TrimPrefix(h.upstreams[i].server.URL, "http://"),
				BatchSlots: 10, Software: version,
			})
		}
	})
}

// breakFirstRuns returns a responder for all upstreams that breaks the first run of each request after two of four events.
func breakFirstRuns() http.HandlerFunc {
	var mutex sync.Mutex
	begun := map[string]bool{}
	return func(rw http.ResponseWriter, r *http.Request) {
		mutex.Lock()
		first := !begun[r.Header.Get(headerID)]
		begun[r.Header.Get(headerID)] = true
		mutex.Unlock()
		rw.Header().Set(headerSigned, "s1")
		from, _ := strconv.Atoi(r.Header.Get(headerLastEvent)) // 0 for a new stream
		if first {
			_, _ = io.WriteString(rw, event(from+1)+event(from+2))
			rw.(http.Flusher).Flush()
			time.Sleep(5 * time.Millisecond)
			reset(rw, r)
			return
		}
		for id := from + 1; id <= 4; id++ {
			_, _ = io.WriteString(rw, event(id))
		}
	}
}

// reachedBy lists the upstreams that a request reached, by index.
func (h *harness) reachedBy(id string) (indices []int) {
	for i, u := range h.upstreams {
		for _, request := range u.requests() {
			if request.Header.Get(headerID) == id {
				indices = append(indices, i)
			}
		}
	}
	return indices
}

// Guards against a stream that is continued at another software version within its response: its parts do not fit together.
func TestStreamGoesOnAtTheSoftwareThatBeganIt(t *testing.T) {
	for _, c := range []struct {
		name     string
		software []string
		// resumed are the versions of which another upstream is left when one breaks. An unknown version is equal to none.
		resumed string
	}{
		{"one version", []string{"v1", "v1", "v1"}, "v1"},
		{"two versions", []string{"v1", "v2", "v1", "v2", "v1", "v2"}, "v1 v2"},
		{"each has its own version", []string{"v1", "v2", "v3"}, ""},
		{"two versions are unknown", []string{"", "v1", "", "v1"}, "v1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			respond := breakFirstRuns()
			var responders []http.HandlerFunc
			for range c.software {
				responders = append(responders, respond)
			}
			h := newHarness(t, responders...)
			h.declareSoftware(c.software...)
			for number := range 12 {
				id := fmt.Sprint("stream", number)
				_, body, err := h.call("/stream/", "b", headerID, id)
				reached := h.reachedBy(id)
				versions := map[string]bool{}
				for _, index := range reached {
					versions[c.software[index]] = true
				}
				is.Equal(len(versions), 1) // all parts are of one software version
				if begun := c.software[reached[0]]; begun == "" || !strings.Contains(c.resumed, begun) {
					is.True(err != nil) // the caller can tell that the stream is incomplete
					is.Equal(body, event(1)+event(2))
					is.Equal(len(reached), 1)
					continue
				}
				is.NoErr(err)
				is.Equal(body, event(1)+event(2)+event(3)+event(4))
			}
		})
	}
}
