package traffic_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// Guards against a stream that goes on at another service than the one that began it, because its route was removed by one
// configuration and has come back with that service by a later one.
func TestRouteThatComesBackWithAnotherServiceHasMoved(t *testing.T) {
	const lifetime = 20 * time.Second
	with := func(resumable bool, services ...string) traffic.Configuration {
		var routes []traffic.Route
		for _, service := range services {
			routes = append(routes, traffic.Route{
				Host: "a.example", Prefix: "/p/", Execution: traffic.Streaming, Resumable: resumable, Timeout: lifetime,
				Targets: []traffic.Target{{Service: service, Weight: 1}},
			})
		}
		return traffic.Configuration{Routes: routes}
	}
	for _, c := range []struct {
		name           string
		configurations []traffic.Configuration
		// interval is the time between two of them.
		interval time.Duration
		moved    bool
	}{
		{"removed, and back with another service", []traffic.Configuration{with(true, "s"), with(true), with(true, "t")}, time.Second, true},
		{"not resumable meanwhile", []traffic.Configuration{with(true, "s"), with(false, "t"), with(true, "t")}, time.Second, true},
		{"removed for long", []traffic.Configuration{with(true, "s"), with(true), with(true), with(true, "t")}, lifetime / 3, true},
		{"removed for longer than its streams live", []traffic.Configuration{with(true, "s"), with(true), with(true), with(true, "t")}, lifetime, false},
		{"back with its service", []traffic.Configuration{with(true, "s"), with(true), with(true, "s")}, time.Second, false},
		{"moved at once", []traffic.Configuration{with(true, "s"), with(true, "t")}, time.Second, true},
		{"back, and moved before", []traffic.Configuration{with(true, "s"), with(true, "t"), with(true), with(true, "t")}, time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(0, 0)
			var former traffic.FormerRoutes
			var previous traffic.Configuration
			moved := false
			for _, next := range c.configurations {
				moved = next.SharedServices(former.Before(now, previous)).Moved["t"]
				former = former.With(now, lifetime, previous, next)
				previous = next
				now = now.Add(c.interval)
			}
			is.Equal(moved, c.moved)
		})
	}
}
