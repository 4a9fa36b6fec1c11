// Package message holds what operators and instances send each other, as it stands in JSON. The
// operators' API writes these values and the operators' client reads them; resources themselves are
// mapped by the catalog's codec and pass through here as raw JSON.
package message

import "encoding/json"

// Code tells a program what a refusal means.
type Code string

// The codes of refusals, each with the HTTP status it comes with.
const (
	// CodeInvalid (400): the request is wrong, and Problems says where. Nothing was changed.
	CodeInvalid Code = "Invalid"
	// CodeUnauthenticated (401): the operator's token is missing or wrong.
	CodeUnauthenticated Code = "Unauthenticated"
	// CodeNotFound (404): there is no such resource, or no such path.
	CodeNotFound Code = "NotFound"
	// CodeConflict (409): the change was made on an old resource version. Nothing was changed.
	CodeConflict Code = "Conflict"
	// CodeTooLarge (413): the request, or the configuration it would make, is too large.
	CodeTooLarge Code = "TooLarge"
	// CodeInternal (500): a fault of the instance.
	CodeInternal Code = "Internal"
	// CodeUnavailable (503): the store is down. Nothing was changed.
	CodeUnavailable Code = "Unavailable"
	// CodeUnknown (503): the store's answer was lost; whether something was changed is not known.
	CodeUnknown Code = "Unknown"
)

// Problem is one thing that is wrong with a change.
type Problem struct {
	Kind    string
	Name    string
	Field   string
	Problem string
}

// Failure is the body of every refusal.
type Failure struct {
	Error FailureDetail
}

// FailureDetail says why.
type FailureDetail struct {
	Code     Code
	Message  string
	Problems []Problem
}

// Accepted is the answer to a change. Revision is the one since which it is accepted. InForce tells
// whether it was in force on every instance when the answer was given; it is false when the caller
// did not wait for that.
type Accepted struct {
	Revision  int64
	InForce   bool
	Resources []Version
}

// Version is a resource's version. Changed tells whether the change at hand made it.
type Version struct {
	Kind            string
	Name            string
	ResourceVersion int64
	Changed         bool
	Removed         bool
}

// Grant asks for a key.
type Grant struct {
	Workspace string
	Name      string
}

// Granted is the answer to Grant. Secret is shown this once.
type Granted struct {
	Accepted  Accepted
	Name      string
	Workspace string
	Secret    string
}

// Resources lists resources as of a revision.
type Resources struct {
	Revision  int64
	Resources []json.RawMessage
}

// Changes lists what changed after a revision. Complete is false when that revision lies too far back:
// then the reader lists everything again.
type Changes struct {
	Revision int64
	Complete bool
	Changes  []Version
}

// Status says on which instances which revision is in force.
type Status struct {
	Revision  int64
	Instances []Instance
}

// Instance is the state of one member. InForceSince is in RFC 3339 and empty if it is not known.
type Instance struct {
	Name         string
	DataCentre   string
	Revision     int64
	InForceSince string
	Reachable    bool
}

// Burn is the report on service-level burn, the worst workspace first. The windows are durations such
// as "1h0m0s".
type Burn struct {
	ShortWindow string
	LongWindow  string
	Lines       []BurnLine
}

// BurnLine is one objective of one workspace. A burn of 1 uses the budget up exactly at the end of
// the window; BudgetLeft is the share of the long window's budget that is left, negative when it is
// overspent.
type BurnLine struct {
	Workspace  string
	Objective  string
	Target     float64
	ShortBurn  float64
	LongBurn   float64
	BudgetLeft float64
	Good       int64
	Bad        int64
}
