package configuration_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/catalog/configuration"
	"lacewingrock.example/lacewingrock/internal/catalog/resource"
)

func named(name string) resource.Meta { return resource.Meta{Name: name} }

func hashOf(digit string) string { return strings.Repeat(digit, 64) }

func workspace(name string, rate float64) resource.Workspace {
	return resource.Workspace{Meta: named(name), Rate: rate, Burst: 100, Weight: 1}
}

func adapterVersion(adapter, version string) resource.AdapterVersion {
	name := configuration.VersionName(adapter, version)
	return resource.AdapterVersion{Meta: named(name), Adapter: adapter, Version: version, Source: "s3"}
}

func upstream(name, address string) resource.Upstream {
	return resource.Upstream{
		Meta: named(name), Address: address, DataCentre: "south", BaseModel: "base", Slots: 4, Batch: 8,
	}
}

// declared returns a change that declares the resources without a version check.
func declared(resources ...resource.Resource) (change configuration.Change) {
	for _, r := range resources {
		change = append(change, configuration.Declare{Resource: r, Expected: configuration.AnyVersion})
	}
	return change
}

// example is a small configuration as of revision 1 that contains every kind.
func example(t *testing.T) configuration.Configuration {
	t.Helper()
	c, err := configuration.Configuration{}.Apply(declared(
		resource.Adapter{Meta: named("bids"), BaseModel: "base", Workspaces: []string{"lines"}, Current: "1"},
		adapterVersion("bids", "1"),
		resource.BaseModel{Meta: named("base")},
		workspace("lines", 10),
		resource.Key{Meta: named("night"), Workspace: "lines", Hash: hashOf("a")},
		upstream("engine-1", "10.0.0.1:80"),
		resource.Service{Meta: named("paint"), Addresses: []string{"10.0.0.2:80"}, Repeatable: []string{"GET"}},
	), 1)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestLookUps(t *testing.T) {
	is := is.New(t)
	c := example(t)
	key, found := c.KeyByHash(hashOf("a"))
	is.True(found)
	is.Equal(key.Workspace, "lines")
	_, found = c.KeyByHash(hashOf("b"))
	is.True(!found)
	_, found = c.AdapterVersion("bids", "1")
	is.True(found)
	_, found = c.Adapter("lines") // a workspace of that name is not an adapter
	is.True(!found)
	is.Equal(len(c.UpstreamsOf("base")), 1)
	is.Equal(len(c.UpstreamsOf("other")), 0)
	is.Equal(c.Services()[0].Meta.Version, int64(1))
	is.Equal(len(c.Resources(resource.KindWorkspace)), 1)
	is.Equal(c.Count(), 7)
}

func TestReapplyingAFileChangesNothing(t *testing.T) {
	is := is.New(t)
	c := example(t)
	again, err := c.Apply(declared(workspace("lines", 10), adapterVersion("bids", "1")), 2)
	is.NoErr(err)
	is.Equal(len(again.ChangedParts(c)), 0)
	lines, _ := again.Workspace("lines")
	is.Equal(lines.Meta.Version, int64(1))
	is.Equal(again.Revision(), int64(2))
}

func TestRefusedChanges(t *testing.T) {
	nan := workspace("lines", 1)
	nan.Rate /= 0 * nan.Rate
	cases := []struct {
		name   string
		change configuration.Change
		fields []string
	}{
		{"two invalid resources are both reported", declared(workspace("a b", 1), workspace("ok", -1)), []string{"Name", "Rate"}},
		{"rate is NaN", declared(nan), []string{"Rate"}},
		{"key of an unknown workspace", declared(resource.Key{Meta: named("k"), Workspace: "x", Hash: hashOf("c")}), []string{"Workspace"}},
		{"secret instead of a hash", declared(resource.Key{Meta: named("k"), Workspace: "lines", Hash: "s"}), []string{"Hash"}},
		{"two keys with the same secret", declared(resource.Key{Meta: named("k"), Workspace: "lines", Hash: hashOf("a")}), []string{"Hash"}},
		{"key moved to another workspace", declared(workspace("w", 1), resource.Key{Meta: named("night"), Workspace: "w", Hash: hashOf("a")}), []string{"Workspace"}},
		{"unknown current version", declared(resource.Adapter{Meta: named("bids"), BaseModel: "base", Current: "2"}), []string{"Current"}},
		{"adapter version changed", declared(resource.AdapterVersion{Meta: named("bids@1"), Adapter: "bids", Version: "1", Source: "x"}), []string{""}},
		{"adapter version misnamed", declared(resource.AdapterVersion{Meta: named("bids-2"), Adapter: "bids", Version: "2", Source: "x"}), []string{"Name"}},
		{"engine declared twice", declared(upstream("engine-2", "10.0.0.1:80")), []string{"Address"}},
		{"address with a host name", declared(upstream("engine-2", "engine:80")), []string{"Address"}},
		{"unknown method", declared(resource.Service{Meta: named("s"), Addresses: []string{"10.0.0.3:1"}, Repeatable: []string{"get"}}), []string{"Repeatable"}},
		{"one resource twice", declared(workspace("w", 1), workspace("w", 2)), []string{"Name"}},
		{"removal of a referenced resource", configuration.Change{configuration.Remove{
			ID: resource.ID{Kind: resource.KindWorkspace, Name: "lines"}, Expected: 1,
		}}, []string{""}},
		{"removal of the current version", configuration.Change{configuration.Remove{
			ID: resource.ID{Kind: resource.KindAdapterVersion, Name: "bids@1"}, Expected: configuration.AnyVersion,
		}}, []string{""}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			before := example(t)
			after, err := before.Apply(append(declared(workspace("good", 5)), c.change...), 2)
			var problems configuration.Problems
			is.True(errors.As(err, &problems))
			var fields []string
			for _, p := range problems {
				fields = append(fields, p.Field)
			}
			is.Equal(fields, c.fields)
			_, found := after.Workspace("good") // the valid resource in the same change is not accepted either
			is.True(!found)
		})
	}
}

// Guards against lost updates. Two operators read the same workspace; the first raises its rate, then the
// second sends a change based on the old version. If it were accepted, the first one's rate would be lost
// and neither operator would be notified.
func TestChangeOnAnOldVersionIsAConflict(t *testing.T) {
	cases := []struct {
		name      string
		operation configuration.Operation
		conflict  bool
	}{
		{"current version", configuration.Declare{Resource: workspace("lines", 30), Expected: 2}, false},
		{"old version", configuration.Declare{Resource: workspace("lines", 30), Expected: 1}, true},
		{"must be new", configuration.Declare{Resource: workspace("lines", 30), Expected: configuration.MustBeNew}, true},
		{"no version stated", configuration.Declare{Resource: workspace("lines", 30), Expected: configuration.AnyVersion}, false},
		{"removed meanwhile", configuration.Declare{Resource: workspace("gone", 30), Expected: 1}, true},
		{"removal on an old version", configuration.Remove{ID: resource.Key{Meta: named("night")}.ID(), Expected: 7}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			first, err := example(t).Apply(declared(workspace("lines", 20)), 2)
			is.NoErr(err)
			after, err := first.Apply(configuration.Change{c.operation}, 3)
			var conflicts configuration.Conflicts
			is.Equal(errors.As(err, &conflicts), c.conflict)
			lines, _ := after.Workspace("lines")
			is.Equal(lines.Rate, map[bool]float64{true: 20, false: 30}[c.conflict])
		})
	}
}

func TestRemoveResourcesThatReferToEachOther(t *testing.T) {
	is := is.New(t)
	c := example(t)
	next, err := c.Apply(configuration.Change{
		configuration.Remove{ID: resource.ID{Kind: resource.KindAdapterVersion, Name: "bids@1"}, Expected: 1},
		configuration.Remove{ID: resource.ID{Kind: resource.KindAdapter, Name: "bids"}, Expected: 1},
		configuration.Remove{ID: resource.ID{Kind: resource.KindUpstream, Name: "engine-1"}, Expected: 1},
		configuration.Remove{ID: resource.ID{Kind: resource.KindBaseModel, Name: "base"}, Expected: 1},
	}, 2)
	is.NoErr(err)
	is.Equal(next.Count(), 3)
	is.Equal(len(next.Upstreams()), 0)
	is.Equal(len(next.DifferencesFrom(c)), 4)
	is.Equal(c.Count(), 7)
}

// A key is removed and a key of the same name is granted to another workspace. If the name still matched
// the old secret, its owner would run requests for a workspace that is not theirs.
func TestOldSecretOfAReusedKeyName(t *testing.T) {
	is := is.New(t)
	night := resource.Key{Meta: named("night"), Workspace: "lines", Hash: hashOf("a")}
	removed, err := example(t).Apply(configuration.Change{configuration.Remove{ID: night.ID(), Expected: 1}}, 2)
	is.NoErr(err)
	_, found := removed.KeyByHash(hashOf("a"))
	is.True(!found)
	night.Workspace, night.Hash = "feed", hashOf("b")
	again, err := removed.Apply(declared(workspace("feed", 1), night), 3)
	is.NoErr(err)
	_, found = again.KeyByHash(hashOf("a"))
	is.True(!found)
	key, _ := again.KeyByHash(hashOf("b"))
	is.Equal(key.Workspace, "feed")
}

// BenchmarkApplyOne measures the addition of one adapter version to 45,000 adapters.
func BenchmarkApplyOne(b *testing.B) {
	c := large(b)
	b.ReportAllocs()
	b.ResetTimer()
	for i := 0; b.Loop(); i++ {
		_, err := c.Apply(declared(adapterVersion("adapter-17", fmt.Sprint("v", i))), 2)
		if err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkKeyByHash(b *testing.B) {
	c := large(b)
	for b.Loop() {
		c.KeyByHash(hashOf("a"))
	}
}

func large(b *testing.B) configuration.Configuration {
	resources := []resource.Resource{
		resource.BaseModel{Meta: named("base")},
		workspace("lines", 1),
		resource.Key{Meta: named("night"), Workspace: "lines", Hash: hashOf("a")},
	}
	for i := range 45_000 {
		name := fmt.Sprint("adapter-", i)
		resources = append(resources, adapterVersion(name, "1"),
			resource.Adapter{Meta: named(name), BaseModel: "base", Current: "1"})
	}
	c, err := configuration.Configuration{}.Apply(declared(resources...), 1)
	if err != nil {
		b.Fatal(err)
	}
	return c
}
