// Package burn reports how fast each workspace uses up the failures that its service-level objectives
// allow. Each instance counts good and bad requests in buckets of time (Recorder); the counts of all
// instances together make a Report, whose burn rates over a short and a long window tell a fault that
// began a moment ago from one that has been eating the budget for long.
package burn

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/catalog/resource"
)

// Objective is what a workspace was promised.
type Objective string

// The objectives: requests answered, first token in time, and requests within the rate not refused.
const (
	Answered   Objective = "Answered"
	FirstToken Objective = "FirstToken"
	Admitted   Objective = "Admitted"
)

// Objectives lists all of them.
func Objectives() []Objective {
	return []Objective{Answered, FirstToken, Admitted}
}

// Count is one bucket of one workspace and objective at one instance. Buckets of all instances begin at
// whole multiples of their length since the Unix epoch.
type Count struct {
	Workspace string
	Objective Objective
	Start     time.Time
	Length    time.Duration
	Good      int64
	Bad       int64
}

// Windows are the spans of time that a report looks back on.
type Windows struct {
	Short time.Duration
	Long  time.Duration
}

// DefaultWindows are the customary pair for paging: five minutes show that a fault is going on, an hour
// that it matters.
func DefaultWindows() Windows {
	return Windows{Short: 5 * time.Minute, Long: time.Hour}
}

// Target is what one workspace was promised.
type Target struct {
	Workspace  string
	Objectives resource.Objectives
}

// share is the promised share of good requests; zero when nothing was promised.
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
