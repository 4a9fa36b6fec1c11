package configuration_test

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"lacewingrock.example/lacewingrock/internal/catalog/configuration"
	"lacewingrock.example/lacewingrock/internal/catalog/head"
	"lacewingrock.example/lacewingrock/internal/catalog/resource"
)

// Guards the configuration's indexes (reference counts, keys by hash, lists of upstreams) against
// diverging from the resources. A wrong index could run a key for no workspace or for a removed one.
// Random changes are made on a few names, and after each the indexes are compared with a scan of every
// resource.
func TestIndexesAgreeWithTheResources(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Resources that others refer to are declared first, so that most changes are accepted.
		c, err := configuration.Configuration{}.Apply(declared(
			resource.BaseModel{Meta: named("a")}, resource.BaseModel{Meta: named("b")},
			workspace("a", 1), workspace("b", 1),
		), 1)
		if err != nil {
			t.Fatal(err)
		}
		for revision := int64(2); revision <= 30; revision++ {
			change := rapid.SliceOfN(operations(c), 1, 3).Draw(t, "change")
			next, err := c.Apply(change, revision)
			if err != nil {
				if next.Count() != c.Count() || len(next.ChangedParts(c)) > 0 {
					t.Fatal("a refused change changed something")
				}
				continue
			}
			checkIndexes(t, next)
			checkParts(t, c, next)
			c = next
		}
	})
}

func all(c configuration.Configuration) (resources []resource.Resource) {
	for _, kind := range resource.Kinds() {
		resources = append(resources, c.Resources(kind)...)
	}
	return resources
}

func operations(c configuration.Configuration) *rapid.Generator[configuration.Operation] {
	return rapid.Custom(func(t *rapid.T) configuration.Operation {
		name := func(label string) string { return rapid.SampledFrom([]string{"a", "b"}).Draw(t, label) }
		if present := all(c); len(present) > 0 && rapid.IntRange(0, 3).Draw(t, "remove") == 0 {
			id := present[rapid.IntRange(0, len(present)-1).Draw(t, "which")].ID()
			return configuration.Remove{ID: id, Expected: configuration.AnyVersion}
		}
		meta := named(name("name"))
		r := rapid.SampledFrom([]resource.Resource{
			resource.BaseModel{Meta: meta},
			workspace(meta.Name, float64(rapid.IntRange(0, 2).Draw(t, "rate"))),
			resource.Key{Meta: meta, Workspace: name("workspace"), Hash: hashOf(name("hash"))},
			resource.Adapter{Meta: meta, BaseModel: name("base"), Workspaces: []string{name("for")}},
			resource.Adapter{Meta: meta, BaseModel: name("base"), Current: "1"},
			adapterVersion(meta.Name, "1"),
			resource.Upstream{
				Meta: meta, Address: fmt.Sprintf("10.0.0.%d:1", rapid.IntRange(1, 2).Draw(t, "address")),
				DataCentre: "s", BaseModel: name("base"), Slots: 1, Batch: 1,
			},
		}).Draw(t, "resource")
		return configuration.Declare{Resource: r, Expected: configuration.AnyVersion}
	})
}

// checkIndexes compares the indexes with a scan of every resource.
func checkIndexes(t *rapid.T, c configuration.Configuration) {
	var keys, upstreams int
	addresses := map[string]bool{}
	for _, r := range all(c) {
		switch r := r.(type) {
		case resource.Key:
			keys++
			found, ok := c.KeyByHash(r.Hash)
			if !ok || found != r {
				t.Fatalf("key %s is not found by its hash", r.Meta.Name)
			}
			if _, ok := c.Workspace(r.Workspace); !ok {
				t.Fatalf("key %s has no workspace", r.Meta.Name)
			}
		case resource.Upstream:
			upstreams++
			addresses[r.Address] = true
		case resource.Adapter:
			if _, ok := c.AdapterVersion(r.Meta.Name, r.Current); r.Current != "" && !ok {
				t.Fatalf("adapter %s has no current version", r.Meta.Name)
			}
		}
		checkRemoval(t, c, r)
	}
	if len(c.Upstreams()) != upstreams || len(addresses) != upstreams {
		t.Fatal("the list of upstreams is wrong")
	}
	for _, digit := range []string{"a", "b"} {
		if _, found := c.KeyByHash(hashOf(digit)); found {
			keys--
		}
	}
	if keys != 0 {
		t.Fatal("the index contains hashes of removed keys")
	}
}

// checkRemoval checks that a resource can be removed if and only if the remaining resources are valid
// without it.
func checkRemoval(t *rapid.T, c configuration.Configuration, r resource.Resource) {
	_, err := c.Apply(configuration.Change{
		configuration.Remove{ID: r.ID(), Expected: r.ResourceVersion()},
	}, c.Revision()+1)
	var rest configuration.Change
	for _, other := range all(c) {
		if other.ID() != r.ID() {
			rest = append(rest, configuration.Declare{Resource: other, Expected: configuration.AnyVersion})
		}
	}
	_, wanted := configuration.Configuration{}.Apply(rest, 1)
	var problems configuration.Problems
	if errors.As(err, &problems) != errors.As(wanted, &problems) {
		t.Fatalf("removal of %s gives %v, but the configuration without it gives %v", r.ID(), err, wanted)
	}
}

// checkParts checks that replacing the changed parts, as a reader of the store does, gives the same
// configuration.
func checkParts(t *rapid.T, before, after configuration.Configuration) {
	parts := map[int][]resource.Resource{}
	for _, index := range after.ChangedParts(before) {
		if index < 0 || index >= head.PartCount {
			t.Fatalf("no such part: %d", index)
		}
		parts[index] = after.Part(index)
	}
	read := before.WithParts(parts, after.Revision())
	if differences := read.DifferencesFrom(after); len(differences) > 0 {
		t.Fatalf("resources differ after being read from the store: %v", differences)
	}
	checkIndexes(t, read)
}
