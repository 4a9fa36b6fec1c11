package queue

import (
	"sort"
	"time"
)

// fair_queue.go implements start-time fair queueing. Entries are ordered by their start tags. A workspace's tags
// advance by cost/weight with each entry. Of two workspaces with waiting work, each gets tokens in proportion to
// its weight, however much the other sends and however long its requests are.

// expiryFactor is the fraction of an estimated wait that is certain enough to expire a queued entry early.
// Estimates are means, and an actual wait is often half of its estimate.
const expiryFactor = 0.5

// Queue is the queue of one upstream. Set the exported fields before use. It is not safe for concurrent use.
type Queue struct {
	// Slots is the number of entries that the upstream processes concurrently.
	Slots int
	// MaxBacklog limits the time that the waiting work takes, so that long and short requests count by their
	// work. A limit on the length alone would accept about a hundred long requests, more than can be served in
	// time.
	MaxBacklog time.Duration
	// MaxLength limits the number of entries, and so the memory and the cost of a decision.
	MaxLength int
	// FIFO orders entries by arrival instead. It is the baseline of the measurements.
	FIFO bool

	waiting     []item
	virtualTime float64
	finishTags  map[string]float64
	lastSeq     uint64
	totalWork   time.Duration
}

// Occupancy says whether the upstream has a free slot, and if not, how long until the next one is free.
type Occupancy struct {
	Free     bool
	NextSlot time.Duration
}

// item is a queued entry with its start tag. seq breaks ties between equal tags by arrival.
type item struct {
	Entry
	start  float64
	seq    uint64
	queued time.Time
}

// Len returns the number of waiting entries.
func (q *Queue) Len() int { return len(q.waiting) }

// Backlog returns the time that the upstream takes for the waiting work.
func (q *Queue) Backlog() time.Duration { return q.drainTime(q.totalWork) }

// Push queues the entry, or fails with a Refusal. It returns the entries that it displaced; the caller has to
// refuse them.
//
// It handles bursts, a workspace at several times its rate, and saturation. Without the check a request would wait
// until its deadline and then be refused, or be processed after its caller has gone.
func (q *Queue) Push(now time.Time, entry Entry, at Occupancy) (displaced []Entry, err error) {
	if len(q.waiting) == 0 {
		q.reset()
	}
	it := q.tag(now, entry)
	wait := q.wait(at, q.workBefore(q.position(it)))
	patience := entry.Deadline.Sub(now)
	if wait > patience {
		return nil, Refusal{Reason: ReasonTooLate, RetryAfter: wait - patience}
	}
	for q.isFull(entry) {
		last, ok := q.victim(entry)
		if !ok {
			return displaced, Refusal{Reason: ReasonFull, RetryAfter: at.NextSlot + q.Backlog()/2}
		}
		displaced = append(displaced, q.removeAt(last).Entry)
	}
	q.insert(q.position(it), it)
	return displaced, nil
}

// Take removes the first entry in fair order that ready accepts. It returns the entry and the time when it was
// queued.
func (q *Queue) Take(ready func(Entry) bool) (entry Entry, queued time.Time, ok bool) {
	for i := range q.waiting {
		if !ready(q.waiting[i].Entry) {
			continue
		}
		it := q.waiting[i]
		q.deleteAt(i)
		q.virtualTime = max(q.virtualTime, it.start)
		return it.Entry, it.queued, true
	}
	return Entry{}, time.Time{}, false
}

// Remove removes the entry with that ID, because its caller has gone or it is refused.
func (q *Queue) Remove(id string) (entry Entry, ok bool) {
	for i := range q.waiting {
		if q.waiting[i].ID == id {
			return q.removeAt(i).Entry, true
		}
	}
	return Entry{}, false
}

// Expire removes and returns the entries that are certain to miss their deadlines: later arrivals of workspaces
// with a larger unused share were placed before them, or the upstream has become slower. They are refused early, so
// that their callers can send the request elsewhere in time.
func (q *Queue) Expire(now time.Time, at Occupancy) (late []Entry) {
	ahead := time.Duration(0)
	for i := 0; i < len(q.waiting); {
		wait := time.Duration(float64(q.wait(at, ahead)) * expiryFactor)
		if now.Add(wait).After(q.waiting[i].Deadline) {
			late = append(late, q.removeAt(i).Entry)
			continue
		}
		ahead += q.waiting[i].Work
		i++
	}
	return late
}

// Settle corrects the charge of a workspace once the actual cost of an entry is known.
func (q *Queue) Settle(workspace string, weight, expected, actual float64) {
	if finish, ok := q.finishTags[workspace]; ok {
		q.finishTags[workspace] = max(q.virtualTime, finish+(actual-expected)/positive(weight))
	}
}

// Each calls visit for all waiting entries in order.
func (q *Queue) Each(visit func(Entry)) {
	for i := range q.waiting {
		visit(q.waiting[i].Entry)
	}
}

// ---------------------------------------------------------------------------------------------

// reset clears the charges of all workspaces. While nothing waits, no workspace delays another, so there is nothing
// to compensate. It also limits the memory to the workspaces with a backlog.
func (q *Queue) reset() {
	q.virtualTime = 0
	q.finishTags = make(map[string]float64)
}

// tag computes the start tag of an entry. The workspace is charged only in insert.
func (q *Queue) tag(now time.Time, entry Entry) item {
	q.lastSeq++
	it := item{Entry: entry, seq: q.lastSeq, queued: now}
	if !q.FIFO {
		it.start = max(q.virtualTime, q.finishTags[entry.Workspace])
	}
	return it
}

// position returns the index at which the item belongs.
func (q *Queue) position(it item) int {
	return sort.Search(len(q.waiting), func(i int) bool {
		other := q.waiting[i]
		return other.start > it.start || (other.start == it.start && other.seq > it.seq)
	})
}

// wait is the time until an entry with the given work before it gets a slot. While slots are free, queued entries
// wait for something else, such as a load, and delay no other entry.
func (q *Queue) wait(at Occupancy, before time.Duration) time.Duration {
	if at.Free {
		return 0
	}
	return at.NextSlot + q.drainTime(before)
}

func (q *Queue) workBefore(position int) (work time.Duration) {
	for _, it := range q.waiting[:position] {
		work += it.Work
	}
	return work
}

// drainTime is the time that the upstream takes for work with all its slots.
func (q *Queue) drainTime(work time.Duration) time.Duration {
	return work / time.Duration(max(q.Slots, 1))
}

func (q *Queue) isFull(next Entry) bool {
	if len(q.waiting) == 0 {
		return false
	}
	return len(q.waiting) >= q.MaxLength || q.drainTime(q.totalWork+next.Work) > q.MaxBacklog
}

// victim returns the last entry of the workspace that has the most waiting work for its weight, even without that
// entry. It fails if that is the workspace of next itself: next is then refused. This way a workspace that floods
// the queue displaces only its own requests.
func (q *Queue) victim(next Entry) (at int, ok bool) {
	if q.FIFO {
		return 0, false
	}
	load := map[string]float64{next.Workspace: next.Work.Seconds() / positive(next.Weight)}
	last := make(map[string]int)
	for i, it := range q.waiting {
		load[it.Workspace] += it.Work.Seconds() / positive(it.Weight)
		last[it.Workspace] = i
	}
	at = -1
	heaviest := load[next.Workspace]
	for _, it := range q.waiting {
		i := last[it.Workspace]
		without := load[it.Workspace] - q.waiting[i].Work.Seconds()/positive(it.Weight)
		if it.Workspace != next.Workspace && without > heaviest {
			heaviest = without
			at = i
		}
	}
	return at, at >= 0
}

func (q *Queue) insert(at int, it item) {
	q.waiting = append(q.waiting, item{})
	copy(q.waiting[at+1:], q.waiting[at:])
	q.waiting[at] = it
	q.totalWork += it.Work
	q.finishTags[it.Workspace] = it.start + it.Cost/positive(it.Weight)
}

// removeAt removes an item that will not be processed, and refunds its charge.
func (q *Queue) removeAt(at int) item {
	it := q.waiting[at]
	q.deleteAt(at)
	q.finishTags[it.Workspace] = max(q.virtualTime, q.finishTags[it.Workspace]-it.Cost/positive(it.Weight))
	return it
}

func (q *Queue) deleteAt(at int) {
	q.totalWork -= q.waiting[at].Work
	q.waiting = append(q.waiting[:at], q.waiting[at+1:]...)
}

// positive replaces a weight that was never set.
func positive(weight float64) float64 {
	if weight <= 0 {
		return 1
	}
	return weight
}
