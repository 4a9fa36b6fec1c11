package node_test

import (
	"math/rand/v2"
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

// statingUpstreams are upstreams that state their backpressure or leaving to the instances that send to them, and record what
// those send afterwards.
type statingUpstreams struct {
	mutex   sync.Mutex
	random  *rand.Rand
	members []statingUpstream
	// statements are those of each upstream to each instance.
	statements map[sending][]*statement
}

// statingUpstream is what one upstream states now. One that is under backpressure refuses a part of the requests.
type statingUpstream struct {
	backpressure time.Duration
	refusing     float64
	leaving      bool
}

// sending is an upstream and the links of the instance that sends to it.
type sending struct {
	upstream int
	links    *upstreamLinks
}

// statement is one statement, and how many requests arrived before its end later than grace after it.
type statement struct {
	at    time.Time
	until time.Time
	late  int
}

// lastLong is longer than a test.
const lastLong = time.Hour

func newStatingUpstreams(seed uint64) *statingUpstreams {
	return &statingUpstreams{random: rand.New(rand.NewPCG(seed, 2)), statements: map[sending][]*statement{}}
}

// add adds an upstream, which does not state anything yet, and returns its number.
func (u *statingUpstreams) add() (number int) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.members = append(u.members, statingUpstream{})
	return len(u.members) - 1
}

// start starts a plain upstream or engine that serves what it does not refuse.
func (u *statingUpstreams) start(t *testing.T) string {
	number := u.add()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { u.respond(number, w, r) }))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// set sets what an upstream states.
func (u *statingUpstreams) set(number int, now statingUpstream) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.members[number] = now
}

// respond writes the header of a response, and reports whether the request is refused.
func (u *statingUpstreams) respond(number int, w http.ResponseWriter, r *http.Request) (refused bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	w.Header().Set(headerID, r.Header.Get(headerID))
	w.Header().Set(headerSigned, "s")
	from := sending{upstream: number}
	if links, known := senders.Load(r.RemoteAddr); known {
		from.links = links.(*upstreamLinks)
	}
	now := time.Now()
	for _, made := range u.statements[from] {
		if now.Sub(made.at) > grace && now.Before(made.until) {
			made.late++
		}
	}
	member := u.members[number]
	switch {
	case member.leaving:
		w.Header().Set(headerLeaving, "1")
		u.statements[from] = append(u.statements[from], &statement{at: now, until: now.Add(lastLong)})
	case member.backpressure > 0 && u.random.Float64() < member.refusing:
		w.Header().Set(headerBackpressure, strconv.Itoa(int(member.backpressure.Milliseconds())))
		w.WriteHeader(http.StatusServiceUnavailable)
		u.statements[from] = append(u.statements[from], &statement{at: now, until: now.Add(member.backpressure)})
		return true
	}
	return false
}

// mostLate returns the most requests that arrived late after one statement, and how many statements were made.
func (u *statingUpstreams) mostLate() (late, statements int) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	for _, list := range u.statements {
		statements += len(list)
		for _, made := range list {
			late = max(late, made.late)
		}
	}
	return late, statements
}

// grace is for requests that were on their way when an upstream made its statement.
const grace = 500 * time.Millisecond

// Guards against instances that send for others to upstreams which have asked them for no requests, or stated to them that
// they are leaving: the upstream sees the peer as the sender, and the peer does not see the responses that it carries.
func TestPeerSendsNothingWhereTheUpstreamWantsNothingFromIt(t *testing.T) {
	for _, c := range []struct {
		name   string
		stated statingUpstream
	}{
		{"backpressure", statingUpstream{backpressure: 5 * time.Second, refusing: 1}},
		{"leaving", statingUpstream{leaving: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newStore()
			u := newStatingUpstreams(1)
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
			for number := range u.members {
				u.set(number, c.stated)
			}
			for _, member := range fleet {
				for range 10 {
					member.status("/p/")
				}
				time.Sleep(grace)
			}
			late, statements := u.mostLate()
			is.True(statements > 0)
			is.Equal(late, 0)
		})
	}
}
