//go:build review

package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store.go is a small stand-in of the platform's store. It behaves as the page "PROTOCOL.md" says, without a fault.

type item struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

type store struct {
	mutex    sync.Mutex
	items    map[string]item
	log      []item
	revision int64
	leases   map[int64]time.Time
	ttls     map[int64]time.Duration
	changed  chan struct{}
	address  string
	// intercept may answer a call in place of the store, or change what happens to it. It returns false if the store
	// should handle the call itself.
	intercept func(w http.ResponseWriter, r *http.Request, body map[string]any) bool
}

func newStore() *store {
	s := &store{items: map[string]item{}, leases: map[int64]time.Time{}, ttls: map[int64]time.Duration{}, changed: make(chan struct{}), revision: 100}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, http.HandlerFunc(s.serve)) }()
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

// put is a write of the operator or of a runner.
func (s *store) put(key string, value any) {
	encoded, err := json.Marshal(value)
	must(err)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	s.write(item{Key: key, Value: base64.StdEncoding.EncodeToString(encoded), Revision: s.revision})
	s.wake()
}

func (s *store) remove(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	s.write(item{Key: key, Revision: s.revision, Removed: true})
	s.wake()
}

// value returns the value of a key, nil if there is none.
func (s *store) value(key string) []byte {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found, ok := s.items[key]
	if !ok {
		return nil
	}
	value, _ := base64.StdEncoding.DecodeString(found.Value)
	return value
}

func (s *store) write(one item) {
	if one.Removed {
		delete(s.items, one.Key)
	} else {
		if before, found := s.items[one.Key]; found {
			one.Created = before.Created
		} else {
			one.Created = one.Revision
		}
		s.items[one.Key] = one
	}
	s.log = append(s.log, one)
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	for lease, until := range s.leases {
		if now.After(until) {
			s.end(lease)
		}
	}
}

func (s *store) end(lease int64) {
	delete(s.leases, lease)
	var gone []string
	for key, one := range s.items {
		if one.Lease == lease {
			gone = append(gone, key)
		}
	}
	if len(gone) == 0 {
		return
	}
	s.revision++
	for _, key := range gone {
		s.write(item{Key: key, Revision: s.revision, Removed: true})
	}
	s.wake()
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	body := map[string]any{}
	_ = json.NewDecoder(r.Body).Decode(&body)
	if s.intercept != nil && s.intercept(w, r, body) {
		return
	}
	s.handle(w, r, body)
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) handle(w http.ResponseWriter, r *http.Request, body map[string]any) {
	switch path := r.URL.Path; {
	case path == "/v1/kv-key":
		s.mutex.Lock()
		found, ok := s.items[r.URL.Query().Get("key")]
		s.mutex.Unlock()
		if !ok {
			answer(w, 404, map[string]any{})
			return
		}
		answer(w, 200, found)
	case path == "/v1/kv-range":
		s.serveRange(w, r)
	case path == "/v1/kv-watch":
		s.serveWatch(w, r)
	case path == "/v1/kv-txn":
		s.serveTxn(w, body)
	case path == "/v1/kv-lease":
		ttl, _ := body["ttl-ms"].(float64)
		s.mutex.Lock()
		s.revision++
		lease := s.revision
		s.ttls[lease] = time.Duration(ttl) * time.Millisecond
		s.leases[lease] = time.Now().Add(s.ttls[lease])
		s.mutex.Unlock()
		answer(w, 200, map[string]any{"lease": lease, "ttl-ms": ttl})
	case strings.HasPrefix(path, "/v1/kv-keep/"), strings.HasPrefix(path, "/v1/kv-lease-end/"):
		lease, _ := strconv.ParseInt(path[strings.LastIndex(path, "/")+1:], 10, 64)
		s.mutex.Lock()
		_, found := s.leases[lease]
		if found && r.Method == http.MethodDelete {
			s.end(lease)
		} else if found {
			s.leases[lease] = time.Now().Add(s.ttls[lease])
		}
		s.mutex.Unlock()
		if !found {
			answer(w, 404, map[string]any{})
			return
		}
		answer(w, 200, map[string]any{})
	default:
		answer(w, 400, map[string]any{"error": "no such call"})
	}
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mutex.Lock()
	list := []item{}
	for key, one := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, one)
		}
	}
	revision := s.revision
	s.mutex.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	more := len(list) > 500
	if more {
		list = list[:500]
	}
	answer(w, 200, map[string]any{"items": list, "has-more": more, "store-revision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix := query.Get("prefix")
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("wait-ms"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mutex.Lock()
		events := []item{}
		for _, one := range s.log {
			if one.Revision > after && strings.HasPrefix(one.Key, prefix) {
				events = append(events, one)
			}
		}
		revision, changed := s.revision, s.changed
		s.mutex.Unlock()
		if len(events) > 0 {
			answer(w, 200, map[string]any{"events": events, "store-revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, 200, map[string]any{"events": events, "store-revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, body map[string]any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	rows := func(name string) (list []map[string]any) {
		values, _ := body[name].([]any)
		for _, value := range values {
			if row, ok := value.(map[string]any); ok {
				list = append(list, row)
			}
		}
		return list
	}
	failed := []item{}
	for _, row := range rows("precondition") {
		key, _ := row["key"].(string)
		revision, _ := row["revision"].(float64)
		if s.items[key].Revision != int64(revision) {
			failed = append(failed, s.items[key])
		}
	}
	if len(failed) > 0 {
		answer(w, 412, map[string]any{"items": failed})
		return
	}
	for _, row := range rows("puts") {
		lease, _ := row["lease"].(float64)
		if _, found := s.leases[int64(lease)]; lease != 0 && !found {
			answer(w, 404, map[string]any{})
			return
		}
	}
	s.revision++
	for _, row := range rows("puts") {
		key, _ := row["key"].(string)
		value, _ := row["value"].(string)
		lease, _ := row["lease"].(float64)
		s.write(item{Key: key, Value: value, Revision: s.revision, Lease: int64(lease)})
	}
	removed, _ := body["remove"].([]any)
	for _, key := range removed {
		if _, found := s.items[fmt.Sprint(key)]; found {
			s.write(item{Key: fmt.Sprint(key), Revision: s.revision, Removed: true})
		}
	}
	s.wake()
	answer(w, 200, map[string]any{"revision": s.revision})
}
