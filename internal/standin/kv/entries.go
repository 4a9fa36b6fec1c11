package kv

// Entries and leases of the store. Every function here runs under the server's lock or acquires it.

import (
	"sort"
	"strings"
	"time"

	"github.com/google/uuid"
)

// entry is the value of a key, and the previous value, which stale reads return.
type entry struct {
	value    []byte
	revision int64
	lease    string
	previous *entry
}

// lease is a lease to which keys can be attached. The keys are deleted when it expires.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// outcome is the result of a read or a write of one key.
type outcome int

const (
	done outcome = iota
	notFound
	conflict
)

func (s *Server) get(key string, stale bool) (entry, outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.read(key, stale)
}

func (s *Server) read(key string, stale bool) (entry, outcome) {
	found, ok := s.entries[key]
	if !ok {
		return entry{}, notFound
	}
	if stale && found.previous != nil {
		return *found.previous, done
	}
	return found, done
}

func (s *Server) put(key string, expected int64, value []byte, leaseID string, lost bool) (int64, outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.entries[key]
	if old.revision != expected {
		return 0, conflict
	}
	if leaseID != "" && !s.isLeaseValid(leaseID, time.Now()) {
		return 0, notFound
	}
	s.revision++
	written := entry{value: value, revision: s.revision, lease: leaseID}
	if exists {
		old.previous = nil
		written.previous = &old
	}
	s.entries[key] = written
	s.recordWrite(Write{Key: key, Revision: s.revision, Lost: lost, At: time.Now()})
	return s.revision, done
}

func (s *Server) remove(key string, expected int64, lost bool) outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.entries[key]
	if !exists {
		return notFound
	}
	if old.revision != expected {
		return conflict
	}
	s.deleteEntry(key, lost)
	return done
}

func (s *Server) deleteEntry(key string, lost bool) {
	delete(s.entries, key)
	s.revision++
	s.recordWrite(Write{Key: key, Revision: s.revision, Deleted: true, Lost: lost, At: time.Now()})
}

// recordWrite records a write and notifies the watches.
func (s *Server) recordWrite(write Write) {
	if len(s.record.Writes) < maxWrites {
		s.record.Writes = append(s.record.Writes, write)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// keyEntry is a key with its entry.
type keyEntry struct {
	key   string
	entry entry
}

func (s *Server) list(prefix string, stale bool) []keyEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []keyEntry
	for key := range s.entries {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		read, _ := s.read(key, stale)
		found = append(found, keyEntry{key: key, entry: read})
	}
	sort.Slice(found, func(i, j int) bool { return found[i].key < found[j].key })
	return found
}

// getAndWatch returns the entry of a key and a channel that is closed at the next write to the store.
func (s *Server) getAndWatch(key string) (entry, outcome, <-chan struct{}) {
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
	if !s.isLeaseValid(id, now) {
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
	if !s.isLeaseValid(id, time.Now()) {
		return false
	}
	s.endLease(id)
	return true
}

func (s *Server) isLeaseValid(id string, now time.Time) bool {
	existing, ok := s.leases[id]
	return ok && now.Before(existing.expires)
}

func (s *Server) expireLeases(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		if !s.isLeaseValid(id, now) {
			s.endLease(id)
		}
	}
}

func (s *Server) endLease(id string) {
	delete(s.leases, id)
	for key, attached := range s.entries {
		if attached.lease == id {
			s.deleteEntry(key, false)
		}
	}
}
