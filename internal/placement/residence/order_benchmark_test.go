package residence_test

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkOrderOf200Adapters measures one step of a planner at whose upstream requests wait for 200 adapters, while all
// adapter slots are in use.
func BenchmarkOrderOf200Adapters(b *testing.B) {
	p, e := newPlanner(4), newEngine(4)
	for _, name := range []string{"a", "b", "c", "d"} {
		e.loaded[name] = 1
		e.inUse[name] = true
	}
	drive(p, e, startUpTime, noFaults)
	for i := range 200 {
		want(p, fmt.Sprint("waiting", i), i%3, time.Duration(i%7)*time.Second)
	}
	now := time.Now()
	for b.Loop() {
		p.NextStep(now)
	}
}

// BenchmarkOrderByClassOf200Adapters measures the same under contention.
func BenchmarkOrderByClassOf200Adapters(b *testing.B) {
	p, e := newPlanner(4), newEngine(4)
	p.Contention = true
	for _, name := range []string{"a", "b", "c", "d"} {
		e.loaded[name] = 1
		e.inUse[name] = true
	}
	drive(p, e, startUpTime, noFaults)
	for i := range 200 {
		want(p, fmt.Sprint("waiting", i), i%3, time.Duration(i%7)*time.Second)
	}
	now := time.Now()
	for b.Loop() {
		p.NextStep(now)
	}
}
