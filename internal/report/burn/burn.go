// Package burn reports how fast each workspace uses up the failures its service-level objectives
// allow. Instances count good and bad requests in buckets of time; the counts of all instances are
// added, and burn rates over a short and a long window tell a sudden fault from a slow one.
package burn

import "time"

// Objective is what a workspace was promised.
type Objective string

// The objectives: requests answered, first token in time, and requests within the rate not refused.
const (
	Answered   Objective = "Answered"
	FirstToken Objective = "FirstToken"
	Admitted   Objective = "Admitted"
)

// Count is one bucket of one workspace and objective.
type Count struct {
	Workspace string
	Objective Objective
	Start     time.Time
	Length    time.Duration
	Good      int64
	Bad       int64
}
