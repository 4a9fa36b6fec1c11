// Package burn reports how fast each workspace consumes the error budget of its service-level
// objectives. Each instance counts good and bad requests in time buckets (Recorder). The counts of all
// instances are combined into a Report. Its burn rates over a short and a long window distinguish a
// fault that has just begun from one that has consumed the budget for a long time.
package burn

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/catalog/resource"
)

// Objective names a service-level objective.
type Objective string

// The objectives: requests answered, first token on time, and requests within the rate limit not refused.
const (
	Answered   Objective = "Answered"
	FirstToken Objective = "FirstToken"
	Admitted   Objective = "Admitted"
)

// Objectives returns all objectives.
func Objectives() []Objective {
	return []Objective{Answered, FirstToken, Admitted}
}

// Count is one time bucket of one workspace and objective at one instance. Buckets of all instances start
// at whole multiples of their length since the Unix epoch.
type Count struct {
	Workspace string
	Objective Objective
	Start     time.Time
	Length    time.Duration
	Good      int64
	Bad       int64
}

// Windows holds the lengths of the time windows that a report covers.
type Windows struct {
	Short time.Duration
	Long  time.Duration
}

// DefaultWindows returns the usual pair of windows for paging: five minutes show that a fault is ongoing,
// an hour shows that it is significant.
func DefaultWindows() Windows {
	return Windows{Short: 5 * time.Minute, Long: time.Hour}
}

// Target holds the objectives of one workspace.
type Target struct {
	Workspace  string
	Objectives resource.Objectives
}

// share returns the target share of good requests, or zero if the objective has no target.
func (t Target) share(objective Objective) float64 {
	switch objective {
	case Answered:
		return t.Objectives.Answered
	case FirstToken:
		return t.Objectives.FirstToken
	case Admitted:
		return t.Objectives.Admitted
	}
	return 0
}
