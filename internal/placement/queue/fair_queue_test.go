package queue_test

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/placement/queue"
)

var busy = queue.Occupancy{NextSlot: 100 * time.Millisecond}

func newQueue() *queue.Queue {
	return &queue.Queue{Slots: 4, MaxBacklog: 10 * time.Second, MaxLength: 32}
}

func entry(id, workspace string, cost float64, patience time.Duration) queue.Entry {
	return queue.Entry{
		ID: id, Workspace: workspace, Weight: 1, Cost: cost,
		Work: time.Duration(cost) * 10 * time.Millisecond, Deadline: time.Now().Add(patience),
	}
}

func anything(queue.Entry) bool { return true }

// Guards against serving in order of arrival. One workspace sends five times as much as another, in long requests;
// the other's callers would wait behind all of them.
func TestTokensAreSharedByWeight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := newQueue()
		q.MaxBacklog = time.Hour
		for i := range 20 {
			_, err := q.Push(time.Now(), entry(fmt.Sprint("long", i), "flood", 400, time.Hour), busy)
			is.NoErr(err)
		}
		for i := range 8 {
			_, err := q.Push(time.Now(), entry(fmt.Sprint("short", i), "calm", 100, time.Hour), busy)
			is.NoErr(err)
		}
		tokens := map[string]float64{}
		for range 10 {
			taken, _, ok := q.Take(anything)
			is.True(ok)
			tokens[taken.Workspace] += taken.Cost
		}
		is.Equal(tokens["calm"], 800.0)
		is.Equal(tokens["flood"], 800.0)
	})
}

// Guards against refusing each new request when the queue is full. If it is full of one workspace's requests, that
// would lock all other workspaces out.
func TestFullQueueDisplacesTheFlood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := newQueue()
		refused := 0
		for i := range 60 {
			if _, err := q.Push(time.Now(), entry(fmt.Sprint(i), "flood", 200, time.Hour), busy); err != nil {
				refused++
				refusal := queue.Refusal{}
				is.True(errors.As(err, &refusal))
				is.Equal(refusal.Reason, queue.ReasonFull)
				is.True(refusal.RetryAfter > 0)
			}
		}
		is.Equal(q.Len(), 20) // ten seconds of four slots, two seconds each
		is.Equal(refused, 40)
		displaced, err := q.Push(time.Now(), entry("other", "calm", 200, time.Hour), busy)
		is.NoErr(err)
		is.Equal(len(displaced), 1)
		is.Equal(displaced[0].Workspace, "flood")
	})
}

// Guards against queueing a request that cannot be served in time: its caller can wait two seconds and the queue is
// four seconds long. It would wait in vain and take the slot of a request that can wait.
func TestTooLateIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := newQueue()
		for i := range 8 {
			_, err := q.Push(time.Now(), entry(fmt.Sprint(i), "w", 200, time.Hour), busy)
			is.NoErr(err)
		}
		_, err := q.Push(time.Now(), entry("late", "w", 200, 2*time.Second), busy)
		refusal := queue.Refusal{}
		is.True(errors.As(err, &refusal))
		is.Equal(refusal.Reason, queue.ReasonTooLate)
		is.Equal(refusal.RetryAfter, 2*time.Second+100*time.Millisecond)
		_, err = q.Push(time.Now(), entry("free", "w", 200, 2*time.Second), queue.Occupancy{Free: true})
		is.NoErr(err) // with a free slot, queued entries wait for loads and delay no other entry
	})
}

// Guards against entries that time out in the queue while the upstream is stalled: those that will miss their
// deadlines are returned before they do, and are removed completely.
func TestExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := newQueue()
		_, err := q.Push(time.Now(), entry("a", "w", 100, 5*time.Second), busy)
		is.NoErr(err)
		_, err = q.Push(time.Now(), entry("b", "w", 100, time.Minute), busy)
		is.NoErr(err)
		is.Equal(len(q.Expire(time.Now(), busy)), 0)
		time.Sleep(5 * time.Second)
		late := q.Expire(time.Now(), busy)
		is.Equal(len(late), 1)
		is.Equal(late[0].ID, "a")
		_, ok := q.Remove("b")
		is.True(ok)
		is.Equal(q.Backlog(), time.Duration(0))
	})
}
