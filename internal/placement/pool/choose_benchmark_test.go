package pool_test

import (
	"fmt"
	"testing"
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

// largePool is the state of an instance of a large fleet under load: each upstream has other adapters loaded, and
// has requests of a third of the other instances in flight.
func largePool(upstreams, instances int) *pool.Pool {
	var names []string
	for i := range upstreams {
		names = append(names, fmt.Sprintf("engine-%03d", i))
	}
	p := newPool(names...)
	for i, name := range names {
		resident(p, name, fmt.Sprint("a", 5*i), fmt.Sprint("a", 5*i+1), fmt.Sprint("a", 5*i+2), fmt.Sprint("a", 5*i+3))
	}
	for i := range instances {
		loads := make(map[string]pool.Load)
		for j := i % 3; j < upstreams; j += 3 {
			loads[names[j]] = pool.Load{Running: 1, PromptTokens: 400, MemoryTokens: 2400, InUse: []traffic.Adapter{adapter(fmt.Sprint("a", 5*j))}}
		}
		p.RecordPeerLoads(time.Now(), fmt.Sprint("instance-", i), loads)
	}
	return p
}

// BenchmarkChoose measures the slowest case: the adapter is not loaded anywhere.
func BenchmarkChoose(b *testing.B) {
	for _, size := range []struct{ upstreams, instances int }{{9, 8}, {140, 63}, {810, 330}} {
		b.Run(fmt.Sprintf("upstreams=%d", size.upstreams), func(b *testing.B) {
			p := largePool(size.upstreams, size.instances)
			query := generation("cold")
			for b.Loop() {
				if _, err := p.Choose(time.Now(), query); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkChoosePopular is BenchmarkChoose for an adapter that needs more replicas than upstreams are ranked for others.
func BenchmarkChoosePopular(b *testing.B) {
	for _, size := range []struct{ upstreams, instances int }{{140, 63}, {810, 330}} {
		b.Run(fmt.Sprintf("upstreams=%d", size.upstreams), func(b *testing.B) {
			p := largePool(size.upstreams, size.instances)
			query := generation("cold")
			p.PlanReplicas(time.Now(), popularDemand("cold"))
			p.FinishReplicaPlans()
			for b.Loop() {
				if _, err := p.Choose(time.Now(), query); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkPlanReplicas measures the plan for one popular adapter.
func BenchmarkPlanReplicas(b *testing.B) {
	for _, size := range []struct{ upstreams, instances int }{{140, 63}, {810, 330}} {
		b.Run(fmt.Sprintf("upstreams=%d", size.upstreams), func(b *testing.B) {
			p := largePool(size.upstreams, size.instances)
			for b.Loop() {
				if plan := p.PlanReplicas(time.Now(), popularDemand("cold")); plan.Needed <= 4 {
					b.Fatal(plan.Needed)
				}
			}
		})
	}
}

func popularDemand(name string) pool.ReplicaDemand {
	return pool.ReplicaDemand{Service: engines, Adapter: adapter(name), Rate: 120, Tokens: 1000}
}

// BenchmarkChooseInMemory is BenchmarkChoose where the memory of engines is bounded.
func BenchmarkChooseInMemory(b *testing.B) {
	for _, size := range []struct{ upstreams, instances int }{{9, 8}, {140, 63}, {810, 330}} {
		b.Run(fmt.Sprintf("upstreams=%d", size.upstreams), func(b *testing.B) {
			p := largePool(size.upstreams, size.instances)
			p.Settings.BoundMemory = true
			query := generation("cold")
			for b.Loop() {
				if _, err := p.Choose(time.Now(), query); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkAdmitMemory measures a question to a holder with requests of many instances.
func BenchmarkAdmitMemory(b *testing.B) {
	for _, instances := range []int{8, 66, 330} {
		b.Run(fmt.Sprintf("instances=%d", instances), func(b *testing.B) {
			now := time.Now()
			p := memoryPool(now)
			p.SetHeld("u", true)
			now = now.Add(5 * time.Second)
			for i := range instances {
				p.AdmitMemory(now, "u", pool.MemoryRequest{Instance: fmt.Sprint(i), Ask: 1, Tokens: 1})
			}
			ask := int64(1)
			for b.Loop() {
				ask++
				p.AdmitMemory(now, "u", pool.MemoryRequest{Instance: "0", Ask: ask, Tokens: 9000})
			}
		})
	}
}
