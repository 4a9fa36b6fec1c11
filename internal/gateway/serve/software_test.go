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
	"lacewingrock.example/lacewingrock/internal/placement/origin"
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

// respondWithSoftware returns a responder that sends the events up to the fourth after those that the caller has.
func respondWithSoftware() http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(headerSigned, "s1")
		from, _ := strconv.Atoi(r.Header.Get(headerLastEvent)) // 0 for a new stream
		for id := from + 1; id <= 4; id++ {
			_, _ = io.WriteString(rw, event(id))
		}
	}
}

// Guards against a stream that its caller takes up and that goes on at another software version, and against one that is
// refused although it is known which version may continue it.
func TestStreamIsTakenUpAtTheSoftwareThatBeganIt(t *testing.T) {
	known := map[origin.Stream]origin.Origin{
		{Workspace: "own", ID: "first"}:     {Service: "app", Software: "v2"},
		{Workspace: "other", ID: "foreign"}: {Service: "app", Software: "v2"},
		{Workspace: "own", ID: "moved"}:     {Service: "gone", Software: "v2"},
		{Workspace: "own", ID: "unstated"}:  {Service: "app"},
		{Workspace: "own", ID: "ended"}:     {Service: "app", Software: "v9"},
	}
	for _, c := range []struct {
		name    string
		headers []string
		// sole is the only version, if that is proven.
		sole string
		// software is the version that serves the request, empty if it is refused, "any" if it may be each.
		software string
	}{
		{"known", []string{headerResumes, "first", headerHas, "2"}, "", "v2"},
		{"of another workspace", []string{headerResumes, "foreign", headerHas, "2"}, "", ""},
		{"unknown", []string{headerResumes, "never", headerHas, "2"}, "", ""},
		{"unknown, one version proven", []string{headerResumes, "never", headerHas, "2"}, "v1", "v1"},
		{"without the request that began it", []string{headerHas, "2"}, "", ""},
		{"without it, one version proven", []string{headerHas, "2"}, "v1", "v1"},
		{"without an event: a new stream", []string{headerResumes, "first"}, "", "any"},
		{"the route has moved to another service", []string{headerResumes, "moved", headerHas, "2"}, "", ""},
		{"begun at an unknown version", []string{headerResumes, "unstated", headerHas, "2"}, "", ""},
		{"no upstream of the version is left", []string{headerResumes, "ended", headerHas, "2"}, "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			software := []string{"v1", "v2", "v1", "v2"}
			respond := respondWithSoftware()
			h := newHarness(t, respond, respond, respond, respond)
			h.declareSoftware(software...)
			for stream, began := range known {
				h.fleet.RecordOrigin(stream, began, 0)
			}
			h.fleet.sole = c.sole
			for number := range 8 {
				id := fmt.Sprint("again", number)
				response, body, err := h.call("/stream/", "b", append([]string{headerID, id}, c.headers...)...)
				is.NoErr(err)
				reached := h.reachedBy(id)
				if c.software == "" {
					is.Equal(response.StatusCode, http.StatusServiceUnavailable)
					is.Equal(response.Header.Get(headerSigned), "")
					is.Equal(len(reached), 0) // not run, as the refusal states
					continue
				}
				is.Equal(response.StatusCode, http.StatusOK)
				is.Equal(len(reached), 1)
				if c.software == "any" {
					is.Equal(body, event(1)+event(2)+event(3)+event(4))
					continue
				}
				is.Equal(body, event(3)+event(4))
				is.Equal(software[reached[0]], c.software)
				is.Equal(h.fleet.origins[origin.Stream{Workspace: "own", ID: id}].Software, c.software) // may be taken up again
			}
		})
	}
}

// Guards against a stream that breaks a second time, after its caller took it up, and goes on at another version then.
func TestStreamThatWasTakenUpGoesOnAtItsSoftware(t *testing.T) {
	is := is.New(t)
	software := []string{"v1", "v2", "v1", "v2", "v1", "v2"}
	respond := breakFirstRuns()
	var responders []http.HandlerFunc
	for range software {
		responders = append(responders, respond)
	}
	h := newHarness(t, responders...)
	h.declareSoftware(software...)
	h.fleet.RecordOrigin(origin.Stream{Workspace: "own", ID: "first"}, origin.Origin{Service: "app", Software: "v2"}, 0)
	for number := range 12 {
		id := fmt.Sprint("again", number)
		_, body, err := h.call("/stream/", "b", headerID, id, headerResumes, "first", headerHas, "1")
		is.NoErr(err)
		is.Equal(body, event(2)+event(3)+event(4))
		reached := h.reachedBy(id)
		is.Equal(len(reached), 2)
		for _, index := range reached {
			is.Equal(software[index], "v2")
		}
	}
}

// Guards against a stream that counts as begun by an attempt that ended before its first event.
func TestAttemptWithoutAnEventBindsNothing(t *testing.T) {
	is := is.New(t)
	var mutex sync.Mutex
	first := ""
	respond := func(rw http.ResponseWriter, r *http.Request) {
		mutex.Lock()
		failing := first == ""
		if failing {
			first = r.Header.Get(headerUpstream)
		}
		mutex.Unlock()
		if failing {
			rw.Header().Set(headerSigned, "s1")
			rw.WriteHeader(http.StatusOK)
			_, _ = io.WriteString(rw, "id: 1\ndata: pie") // the headers and a part of an event
			rw.(http.Flusher).Flush()
			reset(rw, r)
			return
		}
		respondWithSoftware()(rw, r)
	}
	h := newHarness(t, respond, respond)
	h.declareSoftware("v1", "v2")
	_, body, err := h.call("/stream/", "b")
	is.NoErr(err)
	is.Equal(body, event(1)+event(2)+event(3)+event(4))
	software := map[string]string{"u0": "v2", "u1": "v1"} // that of the upstream that did not fail
	is.Equal(h.fleet.origins[origin.Stream{Workspace: "own", ID: "id1"}].Software, software[first])
}
