package policy

import (
	"container/heap"
	"time"
)

// clock.go is the simulated clock: what is to happen, by time and then by order of scheduling.

type scheduled struct {
	at  time.Time
	seq int
	do  func()
}

type schedule []scheduled

func (s schedule) Len() int { return len(s) }

func (s schedule) Less(i, j int) bool {
	if !s[i].at.Equal(s[j].at) {
		return s[i].at.Before(s[j].at)
	}
	return s[i].seq < s[j].seq
}

func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

func (s *schedule) Push(x any) { *s = append(*s, x.(scheduled)) }

func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// clock plays scheduled steps; between two of them no time passes for anybody.
type clock struct {
	start time.Time
	now   time.Time
	seq   int
	steps schedule
}

func newClock() *clock {
	start := time.Unix(0, 0)
	return &clock{start: start, now: start}
}

func (c *clock) since() time.Duration { return c.now.Sub(c.start) }

func (c *clock) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.steps, scheduled{at: c.now.Add(d), seq: c.seq, do: do})
}

// every repeats the step until the given time.
func (c *clock) every(d, until time.Duration, do func()) {
	c.after(d, func() {
		do()
		if c.since() < until {
			c.every(d, until, do)
		}
	})
}

func (c *clock) play() {
	for len(c.steps) > 0 {
		next := heap.Pop(&c.steps).(scheduled)
		c.now = next.at
		next.do()
	}
}
