package traffic

import (
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"time"
)

// table.go looks up the route and the workspace of a request in a configuration.

// Table is an index of the routes and keys of one configuration. Create it with NewTable. It is immutable.
type Table struct {
	Configuration Configuration

	routes map[string][]Route
	keys   map[string]Workspace
}

// NewTable indexes a configuration.
func NewTable(configuration Configuration) *Table {
	t := &Table{
		Configuration: configuration,
		routes:        make(map[string][]Route),
		keys:          make(map[string]Workspace),
	}
	for _, route := range configuration.Routes {
		host := strings.ToLower(route.Host)
		t.routes[host] = append(t.routes[host], route)
	}
	for _, workspace := range configuration.Workspaces {
		for _, key := range workspace.Keys {
			t.keys[key] = workspace
		}
	}
	return t
}

// Route returns the route of the host with the longest prefix that matches the path.
func (t *Table) Route(host, path string) (best Route, found bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, route := range t.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) && (!found || len(route.Prefix) > len(best.Prefix)) {
			best = route
			found = true
		}
	}
	return best, found
}

// Workspace returns the workspace that a key belongs to.
func (t *Table) Workspace(key string) (Workspace, bool) {
	workspace, found := t.keys[key]
	return workspace, found
}

// RequiresKey reports whether requests of the route must have a key.
func (t *Table) RequiresKey(route Route) bool {
	return len(t.Configuration.Workspaces) > 0 && !route.Public
}

// comeBackTime is how long after the end of a stream's time its caller may still be on the way back.
const comeBackTime = 5 * time.Second

// StreamLifetime returns the longest time from the first event of a stream until its caller resumes it; 0 if no route
// has streams that can be resumed.
func (c Configuration) StreamLifetime() (longest time.Duration) {
	for _, route := range c.Routes {
		if route.IsResumable() {
			longest = max(longest, route.Timeout+comeBackTime)
		}
	}
	return longest
}

// IsResumable reports whether the route has streams that may be continued.
func (r Route) IsResumable() bool { return r.Execution == Streaming && r.Resumable }

// streamRoute identifies a route over changes of the configuration.
type streamRoute struct{ host, prefix string }

func (c Configuration) streamRoutes() map[streamRoute]Route {
	routes := make(map[streamRoute]Route)
	for _, route := range c.Routes {
		if route.IsResumable() {
			routes[streamRoute{host: strings.ToLower(route.Host), prefix: route.Prefix}] = route
		}
	}
	return routes
}

// SharedServices are the services that have streams whose route may also belong to another service.
type SharedServices struct {
	// Split are the services that share a route with others.
	Split map[string]bool
	// Moved are the services that routes were moved from or to since the previous configuration.
	Moved map[string]bool
}

// SharedServices returns the services whose streams a route alone does not tell from those of other services.
func (c Configuration) SharedServices(previous Configuration) SharedServices {
	services := SharedServices{Split: make(map[string]bool), Moved: make(map[string]bool)}
	before := previous.streamRoutes()
	for key, route := range c.streamRoutes() {
		old, existed := before[key]
		moved := existed && !slices.Equal(old.services(), route.services())
		for _, service := range route.services() {
			services.Split[service] = services.Split[service] || len(route.Targets) > 1
			services.Moved[service] = services.Moved[service] || moved
		}
		if !moved {
			continue
		}
		for _, service := range old.services() {
			services.Moved[service] = true
		}
	}
	return services
}

// services lists the targets in a fixed order.
func (r Route) services() (names []string) {
	for _, target := range r.Targets {
		names = append(names, target.Service)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Serves reports whether a service is one of the route's targets.
func (r Route) Serves(service string) bool {
	return slices.ContainsFunc(r.Targets, func(target Target) bool { return target.Service == service })
}

// SoleService returns the service of the route, empty if there are several.
func (r Route) SoleService() string {
	if len(r.Targets) != 1 {
		return ""
	}
	return r.Targets[0].Service
}

// PickService picks one of the route's services at random, by weight.
func (r Route) PickService() string {
	total := 0
	for _, target := range r.Targets {
		total += max(target.Weight, 0)
	}
	if total == 0 {
		if len(r.Targets) == 0 {
			return ""
		}
		return r.Targets[0].Service
	}
	pick := rand.IntN(total)
	for _, target := range r.Targets {
		pick -= max(target.Weight, 0)
		if pick < 0 {
			return target.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
