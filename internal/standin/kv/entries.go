package kv

// What the store holds. Every function here runs under the server's lock or takes it.

import (
	"sort"
	"strings"
	"time"

	"github.com/google/uuid"
)

// entry is a key's value and the one before it, which stale reads answer.
type entry struct {
	value    []byte
	revision int64
	lease    string
	before   *entry
}

// lease keeps keys alive until it lapses.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// verdict is how a write or a read of one key ended.
type verdict int

const (
	done verdict = iota
	notFound
	conflict
)

func (s *Server) get(key string, stale bool) (entry, verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.read(key, stale)
}

func (s *Server) read(key string, stale bool) (entry, verdict) {
	found, ok := s.entries[key]
	if !ok {
		return entry{}, notFound
	}
	if stale && found.before != nil {
		return *found.before, done
	}
	return found, done
}

func (s *Server) put(key string, expected int64, value []byte, leaseID string, lost bool) (int64, verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.entries[key]
	if old.revision != expected {
		return 0, conflict
	}
	if leaseID != "" && !s.leaseLives(leaseID, time.Now()) {
		return 0, notFound
	}
	s.revision++
	written := entry{value: value, revision: s.revision, lease: leaseID}
	if exists {
		old.before = nil
		written.before = &old
	}
	s.entries[key] = written
	s.note(Write{Key: key, Revision: s.revision, Lost: lost, At: time.Now()})
	return s.revision, done
}

func (s *Server) remove(key string, expected int64, lost bool) verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.entries[key]
	if !exists {
		return notFound
	}
	if old.revision != expected {
		return conflict
	}
	s.erase(key, lost)
	return done
}

func (s *Server) erase(key string, lost bool) {
	delete(s.entries, key)
	s.revision++
	s.note(Write{Key: key, Revision: s.revision, Deleted: true, Lost: lost, At: time.Now()})
}

// note records a write and wakes the watches.
func (s *Server) note(write Write) {
	if len(s.record.Writes) < maxWrites {
		s.record.Writes = append(s.record.Writes, write)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// listed is one line of a listing.
type listed struct {
	key   string
	entry entry
}

func (s *Server) list(prefix string, stale bool) []listed {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []listed
	for key := range s.entries {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		read, _ := s.read(key, stale)
		found = append(found, listed{key: key, entry: read})
	}
	sort.Slice(found, func(i, j int) bool { return found[i].key < found[j].key })
	return found
}

// peek returns a key's entry and a channel that closes with the next write.
func (s *Server) peek(key string) (entry, verdict, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, result := s.read(key, false)
	return found, result, s.changed
}

// -----------------------------------------------------------------------------------------------

func (s *Server) grantLease(ttl time.Duration) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := uuid.NewString()
	s.leases[id] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return id
}

func (s *Server) renewLease(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.leaseLives(id, now) {
		return false
	}
	renewed := s.leases[id]
	renewed.expires = now.Add(renewed.ttl)
	s.leases[id] = renewed
	return true
}

func (s *Server) revokeLease(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leaseLives(id, time.Now()) {
		return false
	}
	s.endLease(id)
	return true
}

func (s *Server) leaseLives(id string, now time.Time) bool {
	held, ok := s.leases[id]
	return ok && now.Before(held.expires)
}

func (s *Server) lapse(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		if !s.leaseLives(id, now) {
			s.endLease(id)
		}
	}
}

func (s *Server) endLease(id string) {
	delete(s.leases, id)
	for key, held := range s.entries {
		if held.lease == id {
			s.erase(key, false)
		}
	}
}
