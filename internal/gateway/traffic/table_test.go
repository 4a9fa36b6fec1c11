package traffic_test

import (
	"testing"

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

func TestMayRepeat(t *testing.T) {
	is := is.New(t)
	is.True(traffic.Route{Execution: traffic.Idempotent}.IsRepeatable())
	is.True(!traffic.Route{Execution: traffic.AtMostOnce, Resumable: true}.IsRepeatable())
	is.True(!traffic.Route{Execution: traffic.Streaming}.IsRepeatable())
	is.True(traffic.Route{Execution: traffic.Streaming, Resumable: true}.IsRepeatable())
}
