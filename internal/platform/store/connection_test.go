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

// proxied starts a proxy in front of an address that cuts the connection after the given number of bytes in
// one direction.
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

// Cuts the connection to the store after each possible number of bytes of the request and of the response.
// The reported outcome must match the store. If the client misclassified a cut, a change reported as failed
// would exist, or a change reported as made would not.
func TestOutcomeIsTrueForACutAtEachByte(t *testing.T) {
	const longest = 320 // longer than the whole request and than the whole response
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

// A middlebox between an instance and the store drops all open connections silently, while new ones work.
// Without countermeasures each pooled connection would fail one call after another, and the operator would
// see change after change end with an unknown outcome. The first call that times out must close the idle
// connections.
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
