package traffic_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

func TestRoute(t *testing.T) {
	table := traffic.NewTable(traffic.Configuration{Routes: []traffic.Route{
		{Name: "root", Host: "a.example", Prefix: "/"},
		{Name: "p", Host: "a.example", Prefix: "/p/"},
		{Name: "deep", Host: "a.example", Prefix: "/p/q/"},
		{Name: "other", Host: "b.example", Prefix: "/p/"},
	}})
	tests := []struct{ host, path, want string }{
		{"a.example", "/p/q/x", "deep"},
		{"a.example", "/p/qx", "p"},
		{"a.example", "/px", "root"},
		{"A.Example:8080", "/p/", "p"},
		{"b.example", "/p/x", "other"},
		{"b.example", "/p", ""},
		{"c.example", "/p/", ""},
	}
	for _, test := range tests {
		t.Run(test.host+test.path, func(t *testing.T) {
			is := is.New(t)
			route, found := table.Route(test.host, test.path)
			is.Equal(route.Name, test.want)
			is.Equal(found, test.want != "")
		})
	}
}

func TestKeys(t *testing.T) {
	is := is.New(t)
	table := traffic.NewTable(traffic.Configuration{Workspaces: []traffic.Workspace{
		{Name: "w", Keys: []string{"k1", "k2"}}, {Name: "v"},
	}})
	workspace, found := table.Workspace("k2")
	is.True(found)
	is.Equal(workspace.Name, "w")
	_, found = table.Workspace("")
	is.True(!found)
	is.True(table.RequiresKey(traffic.Route{}))
	is.True(!table.RequiresKey(traffic.Route{Public: true}))
	is.True(!traffic.NewTable(traffic.Configuration{}).RequiresKey(traffic.Route{}))
}

func TestTargetsShareByWeight(t *testing.T) {
	is := is.New(t)
	route := traffic.Route{Targets: []traffic.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	drawn := map[string]int{}
	for range 10_000 {
		drawn[route.PickService()]++
	}
	is.True(drawn["a"] > 8700 && drawn["a"] < 9300)
	is.Equal(drawn["c"], 0)
	is.Equal(traffic.Route{}.PickService(), "")
	is.Equal(traffic.Route{Targets: []traffic.Target{{Service: "a"}}}.PickService(), "a")
}

func TestIsRepeatable(t *testing.T) {
	is := is.New(t)
	is.True(traffic.Route{Execution: traffic.Idempotent}.IsRepeatable())
	is.True(!traffic.Route{Execution: traffic.AtMostOnce, Resumable: true}.IsRepeatable())
	is.True(!traffic.Route{Execution: traffic.Streaming}.IsRepeatable())
	is.True(traffic.Route{Execution: traffic.Streaming, Resumable: true}.IsRepeatable())
}

// Guards against a stream that is taken for one of the only service of its route, although the route is split or was moved
// since it began.
func TestServicesThatShareStreams(t *testing.T) {
	route := func(prefix string, services ...string) traffic.Route {
		r := traffic.Route{Host: "a.example", Prefix: prefix, Execution: traffic.Streaming, Resumable: true, Timeout: 15 * time.Second}
		for _, service := range services {
			r.Targets = append(r.Targets, traffic.Target{Service: service, Weight: 1})
		}
		return r
	}
	plain := func(prefix string, services ...string) traffic.Route {
		r := route(prefix, services...)
		r.Execution = traffic.Idempotent
		return r
	}
	for _, c := range []struct {
		name   string
		before []traffic.Route
		after  []traffic.Route
		split  string
		moved  string
	}{
		{"nothing changes", []traffic.Route{route("/p/", "s")}, []traffic.Route{route("/p/", "s")}, "", ""},
		{"the first configuration", nil, []traffic.Route{route("/p/", "s")}, "", ""},
		{"split", nil, []traffic.Route{route("/p/", "s", "t")}, "s t", ""},
		{"moved", []traffic.Route{route("/p/", "s")}, []traffic.Route{route("/p/", "t")}, "", "s t"},
		{"split since", []traffic.Route{route("/p/", "s")}, []traffic.Route{route("/p/", "t", "s")}, "s t", "s t"},
		{"other weights", []traffic.Route{route("/p/", "s", "t")}, []traffic.Route{route("/p/", "t", "s")}, "s t", ""},
		{"a route is added", []traffic.Route{route("/p/", "s")}, []traffic.Route{route("/p/", "s"), route("/q/", "t")}, "", ""},
		{"plain routes", []traffic.Route{plain("/p/", "s")}, []traffic.Route{plain("/p/", "t", "u")}, "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			configuration := traffic.Configuration{Routes: c.after}
			shared := configuration.SharedServices(traffic.Configuration{Routes: c.before})
			for _, service := range []string{"s", "t", "u"} {
				is.Equal(shared.Split[service], strings.Contains(c.split, service))
				is.Equal(shared.Moved[service], strings.Contains(c.moved, service))
			}
		})
	}
}

// Guards against records of streams that are dropped while their callers may come back: the longest time of a route counts.
func TestStreamLifetime(t *testing.T) {
	is := is.New(t)
	streaming := traffic.Route{Execution: traffic.Streaming, Resumable: true, Timeout: 15 * time.Second}
	short, single, plain := streaming, streaming, streaming
	short.Timeout = 5 * time.Second
	single.Resumable, single.Timeout = false, time.Minute
	plain.Execution, plain.Timeout = traffic.Idempotent, time.Minute
	is.Equal(traffic.Configuration{Routes: []traffic.Route{single, plain}}.StreamLifetime(), time.Duration(0))
	is.True(traffic.Configuration{Routes: []traffic.Route{short, streaming, single, plain}}.StreamLifetime() > 15*time.Second)
	is.True(traffic.Configuration{Routes: []traffic.Route{short, streaming, single, plain}}.StreamLifetime() < time.Minute)
}
