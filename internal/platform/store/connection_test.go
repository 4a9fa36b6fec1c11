package store_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/platform/store"
)

// proxied starts a proxy before an address that lets so many bytes through in one direction.
func proxied(t *testing.T, upstream, direction string, bytes int) *toxiproxy.Proxy {
	t.Helper()
	proxy := toxiproxy.NewProxy()
	proxy.Name, proxy.Listen, proxy.Upstream = "store", "127.0.0.1:0", upstream
	if err := proxy.Start(); err != nil {
		t.Fatal(err)
	}
	toxic := fmt.Sprintf(`{"type":"limit_data","stream":%q,"attributes":{"bytes":%d}}`, direction, bytes)
	if _, err := proxy.Toxics.AddToxicJson(strings.NewReader(toxic)); err != nil {
		t.Fatal(err)
	}
	return proxy
}

// The connection to the store is cut after each number of bytes, of the request and of the answer. A
// caller acts on what it is told of its write: told that nothing was written, it says so to whoever
// asked; told that it was written, it goes on. Either would be false about some cut if the client
// sorted them wrongly, and a user would see a change that failed and is there, or the other way round.
func TestOutcomeIsTrueForACutAtEachByte(t *testing.T) {
	const longest = 320 // beyond the whole request, and beyond the whole answer
	kv := service(t)
	direct := &store.Client{Address: kv.Address}
	for _, direction := range []string{"upstream", "downstream"} {
		t.Run(direction, func(t *testing.T) {
			is := is.New(t)
			outcomes := map[string]int{}
			for bytes := range longest {
				proxy := proxied(t, kv.Address, direction, bytes)
				client := &store.Client{Address: proxy.Listen, Timeout: 5 * time.Second}
				key := fmt.Sprintf("%s/%d", direction, bytes)
				_, err := client.CompareAndSwap(t.Context(), key, store.Absent, []byte("value"))
				proxy.Stop()
				_, missing := direct.Get(t.Context(), key)
				written := missing == nil
				switch {
				case err == nil:
					outcomes["written"]++
					is.True(written)
				case errors.Is(err, store.ErrUnavailable):
					outcomes["not written"]++
					is.True(!written)
				case errors.Is(err, store.ErrUnknown):
					outcomes["unknown"]++
				default:
					t.Fatalf("after %d bytes: %v", bytes, err)
				}
			}
			t.Log(outcomes)
			is.True(outcomes["written"] > 0)
			is.True(outcomes["unknown"] > 0)
		})
	}
}

// Something between an instance and the store loses track of all open connections, and they go silent
// for good while new ones work. Each pooled connection would swallow a call, one after the other; an
// operator would see change after change end as unknown. The first call that runs out of time takes
// the idle ones with it.
func TestSilentConnectionsAreDroppedTogether(t *testing.T) {
	is := is.New(t)
	kv := service(t)
	client := &store.Client{Address: kv.Address, Timeout: time.Second}
	var group sync.WaitGroup
	for range 8 { // leave several idle connections
		group.Go(func() { _, _ = client.Watch(t.Context(), "none", 0, 200*time.Millisecond) })
	}
	group.Wait()
	is.True(kv.SilenceOpen() > 1)
	failed := 0
	for range 6 {
		if _, err := client.CompareAndSwap(t.Context(), "k", store.Absent, nil); errors.Is(err, store.ErrUnknown) {
			failed++
		}
	}
	is.Equal(failed, 1)
}
