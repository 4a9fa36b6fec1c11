// Package message defines the JSON messages between operators and instances. The operators' API encodes
// and the operators' client decodes them. The catalog's codec encodes the resources themselves; here they
// are raw JSON.
package message

import "encoding/json"

// Code is the machine-readable reason of a refusal.
type Code string

// The codes of refusals, each with its HTTP status.
const (
	// CodeInvalid (400): the request is invalid; Problems lists the reasons. Nothing was changed.
	CodeInvalid Code = "Invalid"
	// CodeUnauthenticated (401): the operator's token is missing or wrong.
	CodeUnauthenticated Code = "Unauthenticated"
	// CodeNotFound (404): there is no such resource, or no such path.
	CodeNotFound Code = "NotFound"
	// CodeConflict (409): the change was made on an old resource version. Nothing was changed.
	CodeConflict Code = "Conflict"
	// CodeTooLarge (413): the request, or the configuration that would result from it, is too large.
	CodeTooLarge Code = "TooLarge"
	// CodeInternal (500): a fault of the instance.
	CodeInternal Code = "Internal"
	// CodeUnavailable (503): the store is unavailable. Nothing was changed.
	CodeUnavailable Code = "Unavailable"
	// CodeUnknown (503): the store's response was lost; whether anything was changed is not known.
	CodeUnknown Code = "Unknown"
)

// Problem is one reason why a change is invalid or conflicts.
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

// FailureDetail is the reason of a refusal.
type FailureDetail struct {
	Code     Code
	Message  string
	Problems []Problem
}

// Accepted is the response to a change. Revision is the revision that contains it. InForce reports whether
// it was in force on every instance when the response was sent; it is false if the caller did not wait.
type Accepted struct {
	Revision  int64
	InForce   bool
	Resources []Version
}

// Version is a resource's version. Changed reports whether the change in question created it.
type Version struct {
	Kind            string
	Name            string
	ResourceVersion int64
	Changed         bool
	Removed         bool
}

// Grant requests a key.
type Grant struct {
	Workspace string
	Name      string
}

// Granted is the response to Grant. It is the only message that contains Secret.
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

// Changes lists what changed after a revision. Complete is false when that revision is too old: the reader
// then has to list all resources again.
type Changes struct {
	Revision int64
	Complete bool
	Changes  []Version
}

// Status lists which revision is in force on each instance.
type Status struct {
	Revision  int64
	Instances []Instance
}

// Instance is the state of one instance. InForceSince is in RFC 3339 format, and empty if it is not known.
type Instance struct {
	Name         string
	DataCentre   string
	Revision     int64
	InForceSince string
	Reachable    bool
}

// Burn is the burn report, sorted with the worst workspace first. The windows are durations such as
// "1h0m0s".
type Burn struct {
	ShortWindow string
	LongWindow  string
	Lines       []BurnLine
}

// BurnLine is one objective of one workspace. At a burn of 1 the error budget is used up exactly at the
// end of the window. BudgetLeft is the remaining share of the long window's budget, negative if it is
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
