// Rules for a single resource, and for how a declared resource may change.

package configuration

import (
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"slices"
	"strings"

	"lacewingrock.example/lacewingrock/internal/catalog/resource"
)

// namePattern restricts names because they appear in URLs, in store keys and, for adapters, before the @
// of a model name.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$`)

// hashPattern matches a SHA-256 in lower-case hex.
var hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// httpMethods are the HTTP methods that a service may list as repeatable.
var httpMethods = []string{"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"}

const (
	nameProblem    = "must be 1 to 100 letters, digits, dots, dashes or underscores, a letter or digit first"
	addressProblem = "must be an IP address and a port"
	// maxRate bounds rates and bursts, in tokens. Above it, sums of shares lose whole tokens in a
	// float64.
	maxRate = 1e12
	// maxSource bounds the length of a source in bytes, because the source is sent with each order to
	// load.
	maxSource = 1000
)

// checker collects the problems of one resource.
type checker struct {
	id       resource.ID
	problems []Problem
}

func (c *checker) require(ok bool, field, problem string) {
	if !ok {
		c.problems = append(c.problems, ProblemOf(c.id, field, problem))
	}
}

// fieldProblems checks the fields of one resource.
func fieldProblems(r resource.Resource) []Problem {
	c := &checker{id: r.ID()}
	switch r := r.(type) {
	case resource.BaseModel:
		c.name("Name", r.Meta.Name)
	case resource.Workspace:
		c.name("Name", r.Meta.Name)
		c.workspace(r)
	case resource.Key:
		c.name("Name", r.Meta.Name)
		c.name("Workspace", r.Workspace)
		c.require(hashPattern.MatchString(r.Hash), "Hash", "must be a SHA-256 in lower-case hex")
	case resource.Adapter:
		c.name("Name", r.Meta.Name)
		c.name("BaseModel", r.BaseModel)
		c.names("Workspaces", r.Workspaces)
		c.require(r.Current == "" || namePattern.MatchString(r.Current), "Current", nameProblem)
	case resource.AdapterVersion:
		c.adapterVersion(r)
	case resource.Upstream:
		c.name("Name", r.Meta.Name)
		c.upstream(r)
	case resource.Service:
		c.name("Name", r.Meta.Name)
		c.service(r)
	}
	return c.problems
}

func (c *checker) name(field, name string) {
	c.require(namePattern.MatchString(name), field, nameProblem)
}

func (c *checker) names(field string, names []string) {
	for _, name := range names {
		c.name(field, name)
	}
	c.require(len(unique(names)) == len(names), field, "names one twice")
}

func (c *checker) workspace(r resource.Workspace) {
	c.amount("Rate", r.Rate)
	c.amount("Burst", r.Burst)
	c.require(r.Weight > 0 && r.Weight <= 1000, "Weight", "must be above 0 and at most 1000")
	c.share("Objectives.Answered", r.Objectives.Answered)
	c.share("Objectives.FirstToken", r.Objectives.FirstToken)
	c.share("Objectives.Admitted", r.Objectives.Admitted)
	c.require(r.Objectives.FirstTokenWithin >= 0, "Objectives.FirstTokenWithin", "must not be negative")
}

// amount rejects NaN explicitly: every comparison with NaN is false, so such a rate would admit any
// request.
func (c *checker) amount(field string, value float64) {
	valid := !math.IsNaN(value) && value >= 0 && value <= maxRate
	c.require(valid, field, fmt.Sprintf("must be between 0 and %g", float64(maxRate)))
}

func (c *checker) share(field string, value float64) {
	c.require(value >= 0 && value <= 1, field, "must be between 0 and 1")
}

func (c *checker) adapterVersion(r resource.AdapterVersion) {
	c.name("Adapter", r.Adapter)
	c.name("Version", r.Version)
	expected := VersionName(r.Adapter, r.Version)
	c.require(r.Meta.Name == expected, "Name", fmt.Sprintf("must be %q, from Adapter and Version", expected))
	c.require(r.Source != "" && len(r.Source) <= maxSource, "Source", "must be 1 to 1000 bytes")
}

func (c *checker) upstream(r resource.Upstream) {
	c.address("Address", r.Address)
	c.name("DataCentre", r.DataCentre)
	c.name("BaseModel", r.BaseModel)
	c.require(r.Slots >= 1 && r.Slots <= 100_000, "Slots", "must be between 1 and 100000")
	c.require(r.Batch >= 1 && r.Batch <= 100_000, "Batch", "must be between 1 and 100000")
}

func (c *checker) service(r resource.Service) {
	c.require(len(r.Addresses) > 0, "Addresses", "must name at least one")
	for _, address := range r.Addresses {
		c.address("Addresses", address)
	}
	c.require(len(unique(r.Addresses)) == len(r.Addresses), "Addresses", "names one twice")
	c.names("Workspaces", r.Workspaces)
	for _, method := range r.Repeatable {
		c.require(slices.Contains(httpMethods, method), "Repeatable", "must be of "+strings.Join(httpMethods, ", "))
	}
}

func (c *checker) address(field, address string) {
	parsed, err := netip.ParseAddrPort(address)
	c.require(err == nil && parsed.Port() > 0, field, addressProblem)
}

// ---------------------------------------------------------------------------------------------

// transitionProblems checks whether a declared resource may change from current to next. current is nil
// for a new resource.
func transitionProblems(current, next resource.Resource) []Problem {
	if current == nil {
		return nil
	}
	c := &checker{id: next.ID()}
	switch next := next.(type) {
	case resource.AdapterVersion:
		// If a version could change, engines that had loaded it before would run other weights than the
		// caller requested.
		c.require(equalIgnoringVersion(current, next), "", "an adapter version cannot be changed; declare another version")
	case resource.Key:
		// Requests with a key that moved would still run for its old workspace for a few seconds.
		old, _ := current.(resource.Key)
		c.require(old.Workspace == next.Workspace, "Workspace", "cannot be changed; grant another key")
		c.require(old.Hash == next.Hash, "Hash", "cannot be changed; grant another key")
	case resource.Adapter:
		// The adapter's versions were made for one base model and cannot run on another.
		old, _ := current.(resource.Adapter)
		c.require(old.BaseModel == next.BaseModel, "BaseModel", "cannot be changed; declare another adapter")
	case resource.BaseModel, resource.Workspace, resource.Upstream, resource.Service:
	}
	return c.problems
}

func unique(names []string) []string {
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	return slices.Compact(sorted)
}
