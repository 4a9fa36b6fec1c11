package node_test

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/entry/node"
)

// statement is what an upstream has stated to the instance that a request came from.
type statement struct {
	at           time.Time
	backpressure time.Duration
	leaving      bool
}

// statingUpstreams are upstreams that state their backpressure or leaving, and record what reaches them afterwards.
type statingUpstreams struct {
	mutex sync.Mutex
	// count is how many were started.
	count int
	// backpressure and leaving are what they state now.
	backpressure time.Duration
	leaving      bool
	// stated is the first statement of each upstream to each instance.
	stated map[sending]statement
	// late are the arrivals from an instance to which the upstream had made a statement grace ago.
	late map[sending]int
}

// sending is an upstream and the links of the instance that sends to it.
type sending struct {
	upstream int
	links    *upstreamLinks
}

// grace is for requests that were on their way when an upstream made its statement.
const grace = 150 * time.Millisecond

func (u *statingUpstreams) start(t *testing.T) string {
	u.mutex.Lock()
	u.count++
	number := u.count
	u.mutex.Unlock()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		u.serve(number, w, r)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func (u *statingUpstreams) serve(number int, w http.ResponseWriter, r *http.Request) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	w.Header().Set(headerID, r.Header.Get(headerID))
	w.Header().Set(headerSigned, "s")
	if u.backpressure == 0 && !u.leaving {
		return
	}
	from := sending{upstream: number}
	if links, known := senders.Load(r.RemoteAddr); known {
		from.links = links.(*upstreamLinks)
	}
	before, stated := u.stated[from]
	switch {
	case !stated:
		u.stated[from] = statement{at: time.Now(), backpressure: u.backpressure, leaving: u.leaving}
	case time.Since(before.at) > grace && (before.leaving || time.Since(before.at) < before.backpressure):
		u.late[from]++
	}
	if u.leaving {
		w.Header().Set(headerLeaving, "1")
		return
	}
	w.Header().Set(headerBackpressure, strconv.Itoa(int(u.backpressure.Milliseconds())))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Guards against instances that send for others to upstreams which have asked them for no requests, or stated to them that
// they are leaving: the upstream sees the peer as the sender, and the peer does not see the responses that it carries.
func TestPeerSendsNothingWhereTheUpstreamWantsNothingFromIt(t *testing.T) {
	for _, c := range []struct {
		name         string
		backpressure time.Duration
		leaving      bool
	}{{"backpressure", 2 * time.Second, false}, {"leaving", 0, true}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newStore()
			u := &statingUpstreams{stated: map[sending]statement{}, late: map[sending]int{}}
			fleet := startFleetBefore(t, s, fleetOptions{shared: &engines{}, upstream: u.start, change: func(settings *node.Settings) {
				settings.Upstreams.MaxBackpressure = time.Minute
			}}, "a", "b", "c", "d")
			for _, member := range fleet[:3] {
				member.links.set(linksSilent) // all but d
			}
			time.Sleep(contactTime)
			for _, member := range fleet {
				eventually(t, time.Second, member.name+" serves", func() bool { return member.status("/p/") == 200 })
			}
			u.mutex.Lock()
			u.backpressure, u.leaving = c.backpressure, c.leaving
			u.mutex.Unlock()
			for _, member := range fleet {
				for range 10 {
					member.status("/p/")
				}
				time.Sleep(2 * grace)
			}
			u.mutex.Lock()
			defer u.mutex.Unlock()
			is.True(len(u.stated) > 0)
			is.Equal(len(u.late), 0)
		})
	}
}
