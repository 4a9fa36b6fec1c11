// Package fault implements the fault injection that the stand-ins share: faults that can be set at run
// time, the control routes by which tests and operators set them, and connections that can be cut or made
// silent.
package fault

import "sync"

// Setting holds the faults of one stand-in. T is a plain struct whose fields are the faults. Its zero value
// means "no faults".
type Setting[T any] struct {
	mu    sync.Mutex
	value T
}

// Get returns the current faults.
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

// Update changes the faults atomically and returns the result of change. It ensures that a counted fault
// ("the next three loads fail") applies to exactly that many callers.
func (s *Setting[T]) Update(change func(*T) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return change(&s.value)
}

// TakeOne decrements a counted fault. It returns false if the count was already zero.
func TakeOne(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}
