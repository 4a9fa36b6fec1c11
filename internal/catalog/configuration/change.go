// Changes that operators request, and the errors with which they are refused. A change is decoded by the
// codec package and passed to Configuration.Apply; the errors are returned to the operator with kind,
// name and field.

package configuration

import (
	"fmt"
	"strings"

	"lacewingrock.example/lacewingrock/internal/catalog/resource"
)

// Values of Expected that are not resource versions.
const (
	// AnyVersion skips the version check: the operation applies to the current version, whatever it is.
	AnyVersion int64 = -1
	// MustBeNew requires that the resource does not exist yet.
	MustBeNew int64 = 0
)

// Change is a list of operations that are accepted together or not at all.
type Change []Operation

// Operation is one step of a change. The interface is sealed: Declare and Remove are the only operations.
type Operation interface {
	target() resource.ID
	expected() int64
}

// Declare adds the resource or replaces the one with its ID. Expected is the resource version it was read
// at, or AnyVersion, or MustBeNew. The version inside Resource is ignored.
type Declare struct {
	Resource resource.Resource
	Expected int64
}

// Remove removes the resource. Expected is as in Declare, without MustBeNew.
type Remove struct {
	ID       resource.ID
	Expected int64
}

func (d Declare) target() resource.ID { return d.Resource.ID() }
func (d Declare) expected() int64     { return d.Expected }
func (r Remove) target() resource.ID  { return r.ID }
func (r Remove) expected() int64      { return r.Expected }

// ---------------------------------------------------------------------------------------------

// Problem is one thing that is wrong with a change. Field is empty when the problem is with the resource
// as a whole. Kind and Name may be empty or malformed, since they come from the operator.
type Problem struct {
	Kind    string
	Name    string
	Field   string
	Problem string
}

// ProblemOf returns a problem with the resource of the given ID.
func ProblemOf(id resource.ID, field, problem string) Problem {
	return Problem{Kind: string(id.Kind), Name: id.Name, Field: field, Problem: problem}
}

// String returns one line such as "Key/night Workspace: no such workspace".
func (p Problem) String() string {
	place := p.Kind + "/" + p.Name
	if p.Field != "" {
		place += " " + p.Field
	}
	return place + ": " + p.Problem
}

// Problems is the error of an invalid change. It lists everything that is wrong with it, conflicts
// included.
type Problems []Problem

// Error returns every problem, separated by semicolons.
func (p Problems) Error() string {
	return "configuration: invalid change: " + joinProblems(p)
}

// Conflicts is the error of a valid change that was made on old resource versions. Nothing was changed;
// the operator has to read the current versions and decide again.
type Conflicts []Problem

// Error returns every conflict, separated by semicolons.
func (c Conflicts) Error() string {
	return "configuration: conflict: " + joinProblems(c)
}

func joinProblems(problems []Problem) string {
	lines := make([]string, len(problems))
	for i, p := range problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "; ")
}

func conflictOf(id resource.ID, expected, actual int64) Problem {
	if expected == AnyVersion {
		return ProblemOf(id, "Version", "not declared")
	}
	return ProblemOf(id, "Version", fmt.Sprintf("made on version %d, current is %s", expected, versionText(actual)))
}

func versionText(version int64) string {
	if version == 0 {
		return "none (not declared)"
	}
	return fmt.Sprint(version)
}
