package memory

import (
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
)

// Guards against small requests and running responses that are refused because large bodies fill the account.
func TestLargeBodiesAreRefusedFirst(t *testing.T) {
	const limit = 1000
	tests := []struct {
		name  string
		held  map[Kind]int64
		kind  Kind
		bytes int64
		room  bool
	}{
		{"large body in an empty account", nil, LargeBody, 500, true},
		{"large body beyond its part", nil, LargeBody, 501, false},
		{"small body beside large ones", map[Kind]int64{LargeBody: 500}, SmallBody, 100, true},
		{"bodies beyond their part", map[Kind]int64{LargeBody: 500}, SmallBody, 101, false},
		{"large body beside responses", map[Kind]int64{Response: 700}, LargeBody, 101, false},
		{"response where large bodies are refused", map[Kind]int64{Response: 800}, Response, 100, true},
		{"response beyond its part", map[Kind]int64{Response: 900}, Response, 1, false},
		{"small body where no response is read ahead", map[Kind]int64{Response: 900}, SmallBody, 100, true},
		{"anything beyond the limit", map[Kind]int64{Response: 900, SmallBody: 100}, SmallBody, 1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			account := &Account{Limit: limit}
			for _, kind := range []Kind{LargeBody, Response, SmallBody} {
				is.True(account.Reserve(kind, tt.held[kind]))
			}
			is.Equal(account.Reserve(tt.kind, tt.bytes), tt.room)
		})
	}
}

// Guards against an account that refuses although no limit is set.
func TestAccountWithoutLimit(t *testing.T) {
	is := is.New(t)
	var none *Account
	for _, account := range []*Account{none, {}} {
		is.True(account.Reserve(LargeBody, 1<<40))
		account.Release(LargeBody, 1<<40)
		is.Equal(account.Held(LargeBody), int64(0))
	}
	is.Equal(LimitOf(0), int64(0))
	is.Equal(LimitOf(144), int64(36<<20))
}

// Guards against bytes that stay counted, or exceed the limit, where many reserve and release at once.
func TestConcurrentUse(t *testing.T) {
	is := is.New(t)
	scope := tally.NewTestScope("", nil)
	account := &Account{Limit: 1000, Scope: scope}
	var group sync.WaitGroup
	for range 16 {
		group.Go(func() {
			for range 1000 {
				if account.Reserve(Response, 100) {
					account.Release(Response, 100)
				}
			}
		})
	}
	group.Wait()
	now, peak := account.Total()
	is.Equal(now, int64(0))
	is.True(peak <= 900)
	is.Equal(scope.Snapshot().Gauges()["held_bytes+kind=responses"].Value(), 0.0)
}
