package traffic

import (
	"math/rand/v2"
	"net"
	"strings"
)

// table.go answers the two questions that each request asks of a configuration: which route it takes,
// and for whom it is.

// Table looks up routes and keys of one configuration. Make it with NewTable; it never changes.
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

// Route finds the route of a host with the longest prefix that begins the path.
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

// Workspace finds whom a key speaks for.
func (t *Table) Workspace(key string) (Workspace, bool) {
	workspace, found := t.keys[key]
	return workspace, found
}

// RequiresKey tells whether requests of the route have to bear a key.
func (t *Table) RequiresKey(route Route) bool {
	return len(t.Configuration.Workspaces) > 0 && !route.Public
}

// PickService draws one of the route's services by weight.
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
	drawn := rand.IntN(total)
	for _, target := range r.Targets {
		drawn -= max(target.Weight, 0)
		if drawn < 0 {
			return target.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
