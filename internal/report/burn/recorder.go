package burn

import (
	"sync"
	"time"
)

// Recorder counts good and bad requests at one instance. Bucket is the length of a time bucket, in whole
// seconds. Retention is the retention period of the buckets and must be at least the long window. MaxWorkspaces
// limits the number of workspaces counted, so that memory stays bounded however many are declared;
// requests of further workspaces are not counted. Zero fields get the defaults. Safe for concurrent use
// once its fields are set.
type Recorder struct {
	Bucket        time.Duration
	Retention     time.Duration
	MaxWorkspaces int

	mu           sync.Mutex
	rings        map[string]map[Objective]ring
	lastEviction int64
}

// The defaults: an hour in buckets of 30 s takes 120 cells for each objective of a workspace.
const (
	defaultBucket        = 30 * time.Second
	defaultRetention     = time.Hour
	defaultMaxWorkspaces = 1000
)

// cell is one time bucket. Its number is the bucket's start divided by its length, which distinguishes a
// cell from an earlier pass around the ring from a current one.
type cell struct {
	number int64
	good   int64
	bad    int64
}

// ring is the ring buffer of cells of one workspace and objective.
type ring []cell

// Record counts one request.
func (r *Recorder) Record(workspace string, objective Objective, good bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applyDefaults()
	cells := r.ring(workspace, objective)
	if cells == nil {
		return
	}
	number := r.bucketNumber(time.Now())
	current := &cells[number%int64(len(cells))]
	if current.number != number {
		*current = cell{number: number}
	}
	if good {
		current.good++
		return
	}
	current.bad++
}

// Counts returns the non-empty buckets that are not older than Retention.
func (r *Recorder) Counts() (counts []Count) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applyDefaults()
	oldest := r.bucketNumber(time.Now().Add(-r.Retention))
	for workspace, objectives := range r.rings {
		for objective, cells := range objectives {
			counts = append(counts, r.countsSince(oldest, workspace, objective, cells)...)
		}
	}
	return counts
}

func (r *Recorder) countsSince(oldest int64, workspace string, objective Objective, cells ring) (counts []Count) {
	for _, each := range cells {
		if each.number < oldest || each.good+each.bad == 0 {
			continue
		}
		counts = append(counts, Count{
			Workspace: workspace,
			Objective: objective,
			Start:     time.Unix(each.number*int64(r.Bucket/time.Second), 0),
			Length:    r.Bucket,
			Good:      each.good,
			Bad:       each.bad,
		})
	}
	return counts
}

func (r *Recorder) applyDefaults() {
	if r.rings != nil {
		return
	}
	r.rings = map[string]map[Objective]ring{}
	if r.Bucket < time.Second {
		r.Bucket = defaultBucket
	}
	if r.Retention <= 0 {
		r.Retention = defaultRetention
	}
	if r.MaxWorkspaces <= 0 {
		r.MaxWorkspaces = defaultMaxWorkspaces
	}
}

func (r *Recorder) ring(workspace string, objective Objective) ring {
	objectives, known := r.rings[workspace]
	if !known {
		r.evictIdle()
		if len(r.rings) >= r.MaxWorkspaces {
			return nil
		}
		objectives = map[Objective]ring{}
		r.rings[workspace] = objectives
	}
	if objectives[objective] == nil {
		// One cell more than Retention covers, for the bucket that is being filled.
		cells := make(ring, r.Retention/r.Bucket+1)
		objectives[objective] = cells
	}
	return objectives[objective]
}

func (r *Recorder) bucketNumber(at time.Time) int64 {
	return at.Unix() / int64(r.Bucket/time.Second)
}

// evictIdle evicts workspaces that have had no request within Retention, such as removed ones, when there is no
// room for a new one. It runs at most once per bucket length, because it scans all cells.
func (r *Recorder) evictIdle() {
	now := r.bucketNumber(time.Now())
	if len(r.rings) < r.MaxWorkspaces || r.lastEviction == now {
		return
	}
	r.lastEviction = now
	oldest := r.bucketNumber(time.Now().Add(-r.Retention))
	for workspace, objectives := range r.rings {
		if isIdle(objectives, oldest) {
			delete(r.rings, workspace)
		}
	}
}

func isIdle(objectives map[Objective]ring, oldest int64) bool {
	for _, cells := range objectives {
		for _, each := range cells {
			if each.number >= oldest {
				return false
			}
		}
	}
	return true
}
