package traffic

import (
	"maps"
	"slices"
	"time"
)

// former_routes.go remembers routes of streams that configurations no longer have. One that comes back with another service has
// moved, although no two configurations in a row show it.

// FormerRoutes are removed routes, for as long as callers may resume the streams that they began. The zero value has none. It
// is immutable.
type FormerRoutes struct{ routes map[streamRoute]formerRoute }

type formerRoute struct {
	route Route
	until time.Time
}

// With returns the former routes after a configuration was replaced by the next one. lifetime is that of the streams.
func (f FormerRoutes) With(now time.Time, lifetime time.Duration, replaced, next Configuration) FormerRoutes {
	routes := make(map[streamRoute]formerRoute)
	for key, former := range f.routes {
		if now.Before(former.until) {
			routes[key] = former
		}
	}
	for key, route := range replaced.streamRoutes() {
		routes[key] = formerRoute{route: route, until: now.Add(lifetime)}
	}
	current := next.streamRoutes()
	maps.DeleteFunc(routes, func(key streamRoute, _ formerRoute) bool {
		_, back := current[key]
		return back
	})
	return FormerRoutes{routes: routes}
}

// Before returns the configuration before the next one, with the routes that were removed earlier.
func (f FormerRoutes) Before(now time.Time, replaced Configuration) Configuration {
	if len(f.routes) == 0 {
		return replaced
	}
	known := replaced.streamRoutes()
	routes := slices.Clone(replaced.Routes)
	for key, former := range f.routes {
		if _, found := known[key]; !found && now.Before(former.until) {
			routes = append(routes, former.route)
		}
	}
	replaced.Routes = routes
	return replaced
}
