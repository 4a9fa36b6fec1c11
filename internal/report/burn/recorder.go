package burn

import (
	"sync"
	"time"
)

// Recorder counts at one instance. Bucket is the length of a bucket, in whole seconds, and Keep how far
// back it counts: the long window or more. Workspaces bounds how many workspaces are counted, so that
// memory stays bounded whatever is declared; requests of further ones are not counted. Zero fields get
// the defaults. Safe for concurrent use once its fields are set.
type Recorder struct {
	Bucket        time.Duration
	Retention     time.Duration
	MaxWorkspaces int

	mu     sync.Mutex
	series map[string]map[Objective]ring
	pruned int64
}

// The defaults: an hour in half minutes costs 120 cells for each objective of a workspace.
const (
	defaultBucket     = 30 * time.Second
	defaultKeep       = time.Hour
	defaultWorkspaces = 1000
)

// cell is one bucket; number is its start divided by its length, by which a cell from the last turn of
// the ring is told from a present one.
type cell struct {
	number int64
	good   int64
	bad    int64
}

// ring holds the cells of one workspace and objective.
type ring []cell

// Record counts one request.
func (r *Recorder) Record(workspace string, objective Objective, good bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prepare()
	cells := r.ring(workspace, objective)
	if cells == nil {
		return
	}
	number := r.number(time.Now())
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

// Counts returns the buckets that are not older than Keep.
func (r *Recorder) Counts() (counts []Count) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prepare()
	oldest := r.number(time.Now().Add(-r.Retention))
	for workspace, objectives := range r.series {
		for objective, cells := range objectives {
			counts = append(counts, r.since(oldest, workspace, objective, cells)...)
		}
	}
	return counts
}

func (r *Recorder) since(oldest int64, workspace string, objective Objective, cells ring) (counts []Count) {
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

func (r *Recorder) prepare() {
	if r.series != nil {
		return
	}
	r.series = map[string]map[Objective]ring{}
	if r.Bucket < time.Second {
		r.Bucket = defaultBucket
	}
	if r.Retention <= 0 {
		r.Retention = defaultKeep
	}
	if r.MaxWorkspaces <= 0 {
		r.MaxWorkspaces = defaultWorkspaces
	}
}

func (r *Recorder) ring(workspace string, objective Objective) ring {
	objectives, known := r.series[workspace]
	if !known {
		r.prune()
		if len(r.series) >= r.MaxWorkspaces {
			return nil
		}
		objectives = map[Objective]ring{}
		r.series[workspace] = objectives
	}
	if objectives[objective] == nil {
		// One cell more than Keep holds, for the bucket that is being filled.
		cells := make(ring, r.Retention/r.Bucket+1)
		objectives[objective] = cells
	}
	return objectives[objective]
}

func (r *Recorder) number(at time.Time) int64 {
	return at.Unix() / int64(r.Bucket/time.Second)
}

// prune gives up workspaces that have had no request within Keep, such as removed ones, when there is
// no room for a new one. It looks once in a bucket's time, as looking costs a pass over all cells.
func (r *Recorder) prune() {
	now := r.number(time.Now())
	if len(r.series) < r.MaxWorkspaces || r.pruned == now {
		return
	}
	r.pruned = now
	oldest := r.number(time.Now().Add(-r.Retention))
	for workspace, objectives := range r.series {
		if quiet(objectives, oldest) {
			delete(r.series, workspace)
		}
	}
}

func quiet(objectives map[Objective]ring, oldest int64) bool {
	for _, cells := range objectives {
		for _, each := range cells {
			if each.number >= oldest {
				return false
			}
		}
	}
	return true
}
