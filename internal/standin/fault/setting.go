// Package fault holds what the stand-ins share for going wrong on demand: faults that are set while
// they run, the control routes that tests and operators set them through, and connections that can
// be cut or made silent.
package fault

import "sync"

// Setting holds the faults of one stand-in. T is a plain struct whose fields are the faults; its
// zero value is "no faults".
type Setting[T any] struct {
	mu    sync.Mutex
	value T
}

// Get returns the faults now set.
func (s *Setting[T]) Get() T {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.value
}

// Set replaces the faults.
func (s *Setting[T]) Set(value T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.value = value
}

// Update changes the faults in one step and returns what change returned. It is how a counted fault
// ("the next three loads fail") is used up by exactly that many callers.
func (s *Setting[T]) Update(change func(*T) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return change(&s.value)
}

// TakeOne takes one from a counted fault and reports whether there was one to take.
func TakeOne(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}
