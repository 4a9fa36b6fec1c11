// The rules for one resource by itself, and for what may become of it once declared.

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

// namePattern: names stand in URLs, in store keys and, for adapters, before the @ of a model name.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$`)

// hashPattern is a SHA-256 in lower-case hex.
var hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// methods that a service may name as repeatable.
var methods = []string{"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"}

const (
	nameProblem    = "must be 1 to 100 letters, digits, dots, dashes or underscores, a letter or digit first"
	addressProblem = "must be an IP address and a port"
	// maxRate bounds rates and bursts, in tokens: beyond it sums of shares lose whole tokens in a float64.
	maxRate = 1e12
	// maxSource bounds the text of a source: it is sent with each order to load.
	maxSource = 1000
)

// checker collects the problems of one resource.
type checker struct {
	id       resource.ID
	problems []Problem
}

func (c *checker) require(good bool, field, problem string) {
	if !good {
		c.problems = append(c.problems, ProblemOf(c.id, field, problem))
	}
}

// fieldProblems looks at one resource by itself.
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

// amount: a NaN would compare false with everything and let any request through.
func (c *checker) amount(field string, value float64) {
	good := !math.IsNaN(value) && value >= 0 && value <= maxRate
	c.require(good, field, fmt.Sprintf("must be between 0 and %g", float64(maxRate)))
}

func (c *checker) share(field string, value float64) {
	c.require(value >= 0 && value <= 1, field, "must be between 0 and 1")
}

func (c *checker) adapterVersion(r resource.AdapterVersion) {
	c.name("Adapter", r.Adapter)
	c.name("Version", r.Version)
	wanted := VersionName(r.Adapter, r.Version)
	c.require(r.Meta.Name == wanted, "Name", fmt.Sprintf("must be %q, from Adapter and Version", wanted))
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
		c.require(slices.Contains(methods, method), "Repeatable", "must be of "+strings.Join(methods, ", "))
	}
}

func (c *checker) address(field, address string) {
	parsed, err := netip.ParseAddrPort(address)
	c.require(err == nil && parsed.Port() > 0, field, addressProblem)
}

// ---------------------------------------------------------------------------------------------

// transitionProblems looks at what a declared resource may become. current is nil for a new one.
func transitionProblems(current, next resource.Resource) []Problem {
	if current == nil {
		return nil
	}
	c := &checker{id: next.ID()}
	switch next := next.(type) {
	case resource.AdapterVersion:
		// A version that could change would run other weights than were asked for, on the engines
		// that had loaded it before.
		c.require(same(current, next), "", "an adapter version cannot be changed; declare another version")
	case resource.Key:
		// A key that moved would for a few seconds still be run for its old workspace.
		old, _ := current.(resource.Key)
		c.require(old.Workspace == next.Workspace, "Workspace", "cannot be changed; grant another key")
		c.require(old.Hash == next.Hash, "Hash", "cannot be changed; grant another key")
	case resource.Adapter:
		// The versions were made for one base model and cannot run on another.
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
