package policy

import (
	"container/heap"
	"time"
)

// clock.go implements the simulated clock. Events run by time, then in the order in which they were scheduled.

type timedEvent struct {
	at  time.Time
	seq int
	do  func()
}

type eventQueue []timedEvent

func (s eventQueue) Len() int { return len(s) }

func (s eventQueue) Less(i, j int) bool {
	if !s[i].at.Equal(s[j].at) {
		return s[i].at.Before(s[j].at)
	}
	return s[i].seq < s[j].seq
}

func (s eventQueue) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

func (s *eventQueue) Push(x any) { *s = append(*s, x.(timedEvent)) }

func (s *eventQueue) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// clock runs scheduled events. Simulated time advances only from one event to the next.
type clock struct {
	start time.Time
	now   time.Time
	seq   int
	queue eventQueue
}

func newClock() *clock {
	start := time.Unix(0, 0)
	return &clock{start: start, now: start}
}

func (c *clock) elapsed() time.Duration { return c.now.Sub(c.start) }

func (c *clock) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.queue, timedEvent{at: c.now.Add(d), seq: c.seq, do: do})
}

// every repeats the event at an interval until the given time.
func (c *clock) every(d, until time.Duration, do func()) {
	c.after(d, func() {
		do()
		if c.elapsed() < until {
			c.every(d, until, do)
		}
	})
}

func (c *clock) run() {
	for len(c.queue) > 0 {
		next := heap.Pop(&c.queue).(timedEvent)
		c.now = next.at
		next.do()
	}
}
