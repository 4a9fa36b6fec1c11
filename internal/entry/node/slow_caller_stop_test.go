package node_test

// A planned stop while a caller reads slowly.

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/entry/node"
)

// Guards against a hand-over that is cut short, because a caller which reads slowly takes up all the time of the stop.
func TestHandOverDoesNotWaitForSlowCallers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	body := bytes.Repeat([]byte("x"), 16<<20)
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerID, r.Header.Get(headerID))
		w.Header().Set(headerSigned, "s")
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		_, _ = w.Write(body)
	}))
	t.Cleanup(upstream.Close)
	s := newStore()
	s.put(keyConfiguration, configuration(1, "/p/"))
	s.put(prefixUpstreams+"u", upstreamEntry("app", strings.TrimPrefix(upstream.URL, "http://")))
	member := startWith(t, s, "a", &engines{}, func(settings *node.Settings) {
		settings.Memory = node.MemorySettings{LimitMB: 144, Account: node.SwitchOn}
	})
	eventually(t, 2*time.Second, "the instance serves", func() bool { return member.ready() && member.status("/p/") == 200 })
	caller, err := net.Dial("tcp", member.address("CallerAddress"))
	is.NoErr(err)
	defer caller.Close()
	_, err = fmt.Fprintf(caller, "GET /p/ HTTP/1.1\r\nHost: a.example\r\n%s: id2\r\n\r\n", headerID)
	is.NoErr(err)
	eventually(t, 3*time.Second, "the response was read from the upstream", func() bool { return member.log.hasLine(`"id2"`, `"Bytes":16777216`) })
	member.stop()
	eventually(t, 4*time.Second, "the records are handed over", func() bool { return member.log.has("StreamRecordsHandedOver") })
	select {
	case <-member.ended:
		t.Fatal("the stop does not wait for the caller")
	case <-time.After(300 * time.Millisecond):
	}
	is.NoErr(caller.Close())
	is.NoErr(<-member.ended)
}
