package queue

import (
	"sort"
	"time"
)

// fair_queue.go is the queue itself. Entries are kept in the order of their start tags (start-time
// fair queueing): a workspace's tags advance by cost/weight with each entry, so that of two workspaces
// which both have work waiting, each gets tokens in proportion to its weight, however much the other
// sends and however long its requests are.

// impossible is the share of an estimated wait that is certain enough to give a queued entry up
// early. Estimates are of means, and a wait is often half of its mean estimate; no measured reason yet.
const impossible = 0.5

// Queue is the queue of one upstream. Set the exported fields before use. It is not safe for use by
// several goroutines.
type Queue struct {
	// Places is how many entries the upstream works on at once.
	Places int
	// LongestBacklog bounds the time the waiting work takes, so that long and short requests count for
	// what they are: a bound on length alone lets some hundred long ones promise what cannot be kept.
	LongestBacklog time.Duration
	// Longest bounds the length, and with it memory and the cost of a decision.
	Longest int
	// FirstInFirstOut keeps the order of arrival instead: the measurements' baseline.
	FirstInFirstOut bool

	items   []item
	virtual float64
	finish  map[string]float64
	arrived uint64
	work    time.Duration
}

// Occupancy is how busy the upstream is: whether a place is free now, and else how long until the
// next one is.
type Occupancy struct {
	Free      bool
	NextPlace time.Duration
}

// item is an entry in its place. seq breaks ties between equal tags by arrival.
type item struct {
	Entry
	start  float64
	seq    uint64
	queued time.Time
}

// Len is the number of waiting entries.
func (q *Queue) Len() int { return len(q.items) }

// Backlog is how long the upstream will take for the waiting work.
func (q *Queue) Backlog() time.Duration { return q.spread(q.work) }

// Push queues the entry, or fails with a Refusal. Entries that had to make room are returned: they are
// to be refused.
//
// Made for bursts, for one workspace at several times its rate, and for saturation. The harm it
// prevents: a request waits for its whole patience and is then refused, or worse, runs for nobody.
func (q *Queue) Push(now time.Time, entry Entry, at Occupancy) (displaced []Entry, err error) {
	if len(q.items) == 0 {
		q.startOver()
	}
	it := q.tag(now, entry)
	wait := q.wait(at, q.workBefore(q.position(it)))
	patience := entry.Deadline.Sub(now)
	if wait > patience {
		return nil, Refusal{Reason: ReasonTooLate, RetryAfter: wait - patience}
	}
	for q.isFull(entry) {
		last, ok := q.lastOfTheHeaviest(entry)
		if !ok {
			return displaced, Refusal{Reason: ReasonFull, RetryAfter: at.NextPlace + q.Backlog()/2}
		}
		displaced = append(displaced, q.removeAt(last).Entry)
	}
	q.insert(q.position(it), it)
	return displaced, nil
}

// Take removes and returns the first entry, in fair order, that ready accepts, and since when it waited.
func (q *Queue) Take(ready func(Entry) bool) (entry Entry, queued time.Time, ok bool) {
	for i := range q.items {
		if !ready(q.items[i].Entry) {
			continue
		}
		it := q.items[i]
		q.cut(i)
		q.virtual = max(q.virtual, it.start)
		return it.Entry, it.queued, true
	}
	return Entry{}, time.Time{}, false
}

// Remove takes the entry of that ID out, because its caller has gone or it is refused.
func (q *Queue) Remove(id string) (entry Entry, ok bool) {
	for i := range q.items {
		if q.items[i].ID == id {
			return q.removeAt(i).Entry, true
		}
	}
	return Entry{}, false
}

// Expire removes and returns the entries that are certain to miss their deadlines: later arrivals of
// workspaces that are owed more went before them, or the upstream has become slower. They are refused
// as soon as that shows, so that their callers can turn elsewhere in time.
func (q *Queue) Expire(now time.Time, at Occupancy) (late []Entry) {
	ahead := time.Duration(0)
	for i := 0; i < len(q.items); {
		wait := time.Duration(float64(q.wait(at, ahead)) * impossible)
		if now.Add(wait).After(q.items[i].Deadline) {
			late = append(late, q.removeAt(i).Entry)
			continue
		}
		ahead += q.items[i].Work
		i++
	}
	return late
}

// Settle corrects what a workspace was charged once the true cost of an entry is known.
func (q *Queue) Settle(workspace string, weight, expected, actual float64) {
	if finish, ok := q.finish[workspace]; ok {
		q.finish[workspace] = max(q.virtual, finish+(actual-expected)/positive(weight))
	}
}

// Each calls visit for all waiting entries in order.
func (q *Queue) Each(visit func(Entry)) {
	for i := range q.items {
		visit(q.items[i].Entry)
	}
}

// ---------------------------------------------------------------------------------------------

// startOver forgets what workspaces were charged. While nothing waits nobody is kept waiting by
// another, so there is nothing to make good; it also bounds the memory to the workspaces in a backlog.
func (q *Queue) startOver() {
	q.virtual = 0
	q.finish = make(map[string]float64)
}

// tag gives the entry its place in the fair order. The workspace is charged only in insert.
func (q *Queue) tag(now time.Time, entry Entry) item {
	q.arrived++
	it := item{Entry: entry, seq: q.arrived, queued: now}
	if !q.FirstInFirstOut {
		it.start = max(q.virtual, q.finish[entry.Workspace])
	}
	return it
}

// position is where the item belongs.
func (q *Queue) position(it item) int {
	return sort.Search(len(q.items), func(i int) bool {
		other := q.items[i]
		return other.start > it.start || (other.start == it.start && other.seq > it.seq)
	})
}

// wait is how long an entry with so much work before it waits for a place. While places are free,
// what is queued waits for something else (a load, say) and is in nobody's way.
func (q *Queue) wait(at Occupancy, before time.Duration) time.Duration {
	if at.Free {
		return 0
	}
	return at.NextPlace + q.spread(before)
}

func (q *Queue) workBefore(position int) (work time.Duration) {
	for _, it := range q.items[:position] {
		work += it.Work
	}
	return work
}

// spread is how long the upstream takes for work, with all its places.
func (q *Queue) spread(work time.Duration) time.Duration {
	return work / time.Duration(max(q.Places, 1))
}

func (q *Queue) isFull(next Entry) bool {
	if len(q.items) == 0 {
		return false
	}
	return len(q.items) >= q.Longest || q.spread(q.work+next.Work) > q.LongestBacklog
}

// lastOfTheHeaviest is the last entry of the workspace that even without it has the most waiting work
// for its weight. It fails when that is the workspace of next itself: then next has to go. So a
// workspace that floods the queue pushes out its own requests and nobody else's.
func (q *Queue) lastOfTheHeaviest(next Entry) (at int, ok bool) {
	if q.FirstInFirstOut {
		return 0, false
	}
	load := map[string]float64{next.Workspace: next.Work.Seconds() / positive(next.Weight)}
	last := make(map[string]int)
	for i, it := range q.items {
		load[it.Workspace] += it.Work.Seconds() / positive(it.Weight)
		last[it.Workspace] = i
	}
	at = -1
	heaviest := load[next.Workspace]
	for _, it := range q.items {
		i := last[it.Workspace]
		without := load[it.Workspace] - q.items[i].Work.Seconds()/positive(it.Weight)
		if it.Workspace != next.Workspace && without > heaviest {
			heaviest = without
			at = i
		}
	}
	return at, at >= 0
}

func (q *Queue) insert(at int, it item) {
	q.items = append(q.items, item{})
	copy(q.items[at+1:], q.items[at:])
	q.items[at] = it
	q.work += it.Work
	q.finish[it.Workspace] = it.start + it.Cost/positive(it.Weight)
}

// removeAt takes an item out that will not be worked on, and takes its charge back.
func (q *Queue) removeAt(at int) item {
	it := q.items[at]
	q.cut(at)
	q.finish[it.Workspace] = max(q.virtual, q.finish[it.Workspace]-it.Cost/positive(it.Weight))
	return it
}

func (q *Queue) cut(at int) {
	q.work -= q.items[at].Work
	q.items = append(q.items[:at], q.items[at+1:]...)
}

// positive guards against a weight that was never set.
func positive(weight float64) float64 {
	if weight <= 0 {
		return 1
	}
	return weight
}
