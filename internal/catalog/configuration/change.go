// What an operator asks for, and how it is refused. A change goes from the operators' codec into
// Configuration.Apply; the errors here go back to the operator with kind, name and field.

package configuration

import (
	"fmt"
	"strings"

	"lacewingrock.example/lacewingrock/internal/catalog/resource"
)

// Expected resource versions that are not versions.
const (
	// AnyVersion: the operation is taken against whatever is current.
	AnyVersion int64 = -1
	// MustBeNew: the resource must not exist yet.
	MustBeNew int64 = 0
)

// Change is a list of operations that are accepted together or not at all.
type Change []Operation

// Operation is one step of a change. It is sealed: Declare and Remove are the only ones.
type Operation interface {
	target() resource.ID
	expected() int64
}

// Declare adds the resource or puts it in the place of the one with its ID. Expected is the resource
// version it was read at, or AnyVersion, or MustBeNew. The version inside Resource is not looked at.
type Declare struct {
	Resource resource.Resource
	Expected int64
}

// Remove takes the resource out. Expected is as in Declare, without MustBeNew.
type Remove struct {
	ID       resource.ID
	Expected int64
}

func (d Declare) target() resource.ID { return d.Resource.ID() }
func (d Declare) expected() int64     { return d.Expected }
func (r Remove) target() resource.ID  { return r.ID }
func (r Remove) expected() int64      { return r.Expected }

// ---------------------------------------------------------------------------------------------

// Problem is one thing that is wrong with a change. Field is empty when the resource as a whole is
// meant. Kind and Name may be empty or malformed, since they come from the operator.
type Problem struct {
	Kind    string
	Name    string
	Field   string
	Problem string
}

// ProblemOf makes a problem of a resource that can be identified.
func ProblemOf(id resource.ID, field, problem string) Problem {
	return Problem{Kind: string(id.Kind), Name: id.Name, Field: field, Problem: problem}
}

// String gives one line such as "Key/night Workspace: no such workspace".
func (p Problem) String() string {
	place := p.Kind + "/" + p.Name
	if p.Field != "" {
		place += " " + p.Field
	}
	return place + ": " + p.Problem
}

// Problems is the error of a change that is invalid: all that is wrong with it, conflicts included.
type Problems []Problem

// Error gives every problem, separated by semicolons.
func (p Problems) Error() string {
	return "configuration: invalid change: " + joined(p)
}

// Conflicts is the error of a valid change that was made on old resource versions. Nothing was
// changed; the operator reads again and decides anew.
type Conflicts []Problem

// Error gives every conflict, separated by semicolons.
func (c Conflicts) Error() string {
	return "configuration: conflict: " + joined(c)
}

func joined(problems []Problem) string {
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
