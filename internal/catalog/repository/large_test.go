package repository_test

import (
	"fmt"
	"testing"

	"lacewingrock.example/lacewingrock/internal/catalog/configuration"
	"lacewingrock.example/lacewingrock/internal/catalog/repository"
	"lacewingrock.example/lacewingrock/internal/catalog/resource"
	"lacewingrock.example/lacewingrock/internal/platform/store"
)

// large stores 45,000 adapters with two versions each, as at the target.
func large(b *testing.B) (kv *store.Memory, writer *repository.Repository) {
	b.Helper()
	kv = &store.Memory{}
	writer = &repository.Repository{Store: kv, Writer: "a"}
	change := configuration.Change{
		configuration.Declare{Resource: resource.BaseModel{Meta: resource.Meta{Name: "base"}}},
	}
	for i := range 45_000 {
		adapter := fmt.Sprint("adapter-", i)
		change = append(change, configuration.Declare{
			Resource: resource.Adapter{Meta: resource.Meta{Name: adapter}, BaseModel: "base", Current: "1"},
		})
		for _, version := range []string{"1", "2"} {
			change = append(change, configuration.Declare{Resource: adapterVersion(adapter, version)})
		}
	}
	_, err := writer.Apply(b.Context(), func(configuration.Configuration) (configuration.Change, error) {
		return change, nil
	})
	if err != nil {
		b.Fatal(err)
	}
	return kv, writer
}

func adapterVersion(adapter, version string) resource.AdapterVersion {
	name := configuration.VersionName(adapter, version)
	return resource.AdapterVersion{
		Meta: resource.Meta{Name: name}, Adapter: adapter, Version: version, Source: "weights/" + name,
	}
}

// BenchmarkLoad measures how long an instance takes to read the whole configuration when it starts.
func BenchmarkLoad(b *testing.B) {
	kv, _ := large(b)
	entries, err := kv.List(b.Context(), "")
	if err != nil {
		b.Fatal(err)
	}
	largest, all := 0, 0
	for _, entry := range entries {
		largest = max(largest, len(entry.Value))
		all += len(entry.Value)
	}
	for b.Loop() {
		reader := &repository.Repository{Store: kv, Writer: "b"}
		if err := reader.Load(b.Context()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(largest), "largest-bytes")
	b.ReportMetric(float64(all), "all-bytes")
}

// BenchmarkChange measures one accepted change, from the read it begins with to the swapped head, and its
// installation at another instance.
func BenchmarkChange(b *testing.B) {
	kv, writer := large(b)
	reader := &repository.Repository{Store: kv, Writer: "b"}
	if err := reader.Load(b.Context()); err != nil {
		b.Fatal(err)
	}
	calls := kv.Calls.Load()
	for i := 0; b.Loop(); i++ {
		_, err := writer.Apply(b.Context(), func(configuration.Configuration) (configuration.Change, error) {
			return configuration.Change{configuration.Declare{Resource: adapterVersion("adapter-17", fmt.Sprint("v", i))}}, nil
		})
		if err != nil {
			b.Fatal(err)
		}
		if _, err := reader.Refresh(b.Context()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(kv.Calls.Load()-calls)/float64(b.N), "store-calls/op")
}
