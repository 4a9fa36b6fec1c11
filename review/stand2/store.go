//go:build review

package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a sound store as PROTOCOL.md describes it.
type store struct {
	world  *world
	server string

	mutex    sync.Mutex
	changed  *sync.Cond
	revision int64
	items    map[string]item
	events   []item
	leases   map[int64]*lease
	next     int64
	// down: all calls are refused, and nothing is done.
	down bool
}

type item struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

func newStore(w *world) (*store, error) {
	listener, err := net.Listen("tcp", freeAddress())
	if err != nil {
		return nil, err
	}
	s := &store{
		world: w, server: listener.Addr().String(), revision: 1, items: make(map[string]item),
		leases: make(map[int64]*lease), next: 100,
	}
	s.changed = sync.NewCond(&s.mutex)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.key)
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.transaction)
	mux.HandleFunc("POST /v1/kv-lease", s.grant)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.endLease)
	go func() { _ = http.Serve(listener, s.unlessDown(mux)) }()
	go s.runExpiry()
	return s, nil
}

// unlessDown refuses all calls while the store is down.
func (s *store) unlessDown(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isDown() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		handler.ServeHTTP(w, r)
	})
}

func (s *store) isDown() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.down
}

// setDown begins or ends a time in which the store is down. Leases run out meanwhile.
func (s *store) setDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
	s.world.note("the store is down: %v", down)
	s.changed.Broadcast()
}

// put writes an item as operators and runners do.
func (s *store) put(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	s.set(key, base64.StdEncoding.EncodeToString(encoded), 0)
	s.changed.Broadcast()
}

// remove removes an item.
func (s *store) remove(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.removeLocked(key)
}

// lapse removes an item while the store is down.
func (s *store) lapse(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		s.removeLocked(key)
	}
}

// removeLocked removes an item. The lock is held.
func (s *store) removeLocked(key string) {
	if _, found := s.items[key]; !found {
		return
	}
	s.revision++
	s.unset(key)
	s.changed.Broadcast()
}

func (s *store) set(key, value string, id int64) {
	created := s.revision
	if known, found := s.items[key]; found {
		created = known.Created
	}
	s.items[key] = item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: id}
	s.events = append(s.events, s.items[key])
}

func (s *store) unset(key string) {
	if _, found := s.items[key]; !found {
		return
	}
	delete(s.items, key)
	s.events = append(s.events, item{Key: key, Revision: s.revision, Removed: true})
}

func (s *store) runExpiry() {
	for {
		time.Sleep(20 * time.Millisecond)
		s.mutex.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if now.After(l.until) {
				s.drop(id)
			}
		}
		s.mutex.Unlock()
	}
}

// drop ends a lease. The lock is held.
func (s *store) drop(id int64) {
	delete(s.leases, id)
	var keys []string
	for key, known := range s.items {
		if known.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	s.revision++
	sort.Strings(keys)
	for _, key := range keys {
		s.unset(key)
	}
	s.changed.Broadcast()
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	known, found := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mutex.Unlock()
	if !found {
		answer(w, http.StatusNotFound, map[string]any{"store-revision": revision})
		return
	}
	answer(w, http.StatusOK, map[string]any{
		"key": known.Key, "value": known.Value, "revision": known.Revision, "created": known.Created, "lease": known.Lease,
		"store-revision": revision,
	})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	const page = 500
	query := r.URL.Query()
	s.mutex.Lock()
	items := []item{}
	for key, known := range s.items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			items = append(items, known)
		}
	}
	revision := s.revision
	s.mutex.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > page
	answer(w, http.StatusOK, map[string]any{"items": items[:min(len(items), page)], "has-more": more, "store-revision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	timer := time.AfterFunc(time.Until(until), s.changed.Broadcast)
	defer timer.Stop()
	s.mutex.Lock()
	events := []item{}
	for {
		from := sort.Search(len(s.events), func(i int) bool { return s.events[i].Revision > after })
		for _, event := range s.events[from:] {
			if strings.HasPrefix(event.Key, query.Get("prefix")) {
				events = append(events, event)
			}
		}
		if len(events) > 0 || s.down || !time.Now().Before(until) {
			break
		}
		s.changed.Wait()
	}
	revision, down := s.revision, s.down
	s.mutex.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	answer(w, http.StatusOK, map[string]any{"events": events, "store-revision": revision})
}

func (s *store) transaction(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Precondition []item   `json:"precondition"`
		Puts         []item   `json:"puts"`
		Remove       []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, condition := range body.Precondition {
		if s.items[condition.Key].Revision != condition.Revision {
			answer(w, http.StatusPreconditionFailed, map[string]any{"items": []item{}})
			return
		}
	}
	for _, one := range body.Puts {
		if one.Lease != 0 && s.leases[one.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, one := range body.Puts {
		s.set(one.Key, one.Value, one.Lease)
	}
	for _, key := range body.Remove {
		s.unset(key)
	}
	s.changed.Broadcast()
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl-ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.next++
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.leases[s.next] = &lease{ttl: ttl, until: time.Now().Add(ttl)}
	answer(w, http.StatusOK, map[string]any{"lease": s.next, "ttl-ms": body.TTL})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known := s.leases[id]
	if known == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	known.until = time.Now().Add(known.ttl)
	answer(w, http.StatusOK, map[string]any{"ttl-ms": known.ttl.Milliseconds()})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.drop(id)
	answer(w, http.StatusOK, map[string]any{})
}
