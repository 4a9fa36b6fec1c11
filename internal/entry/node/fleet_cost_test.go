package node_test

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"runtime/pprof"
	"strings"
	"syscall"
	"testing"
	"time"
)

// fleet_cost_test.go measures the cost of coordination between instances: whole fleets of real nodes in one process,
// over loopback, with an in-memory store and upstreams without calls.

// fleetSizes are the numbers of instances and upstreams in the measured fleets.
var fleetSizes = []struct{ instances, upstreams int }{{7, 12}, {30, 50}, {60, 100}, {100, 130}, {195, 160}, {40, 3000}}

// restProfile is the file for the CPU profile of an idle fleet, without its start and stop.
var restProfile = flag.String("rest-profile", "", "file for the processor profile of fleets at rest")

// processorTime returns the CPU time that this process has used so far.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkFleetAtRest starts a whole fleet at the same time and leaves it idle. It reports for one instance:
// milliseconds of CPU time until each upstream has a holder and the fleet has settled, cores while idle, goroutines and
// heap.
func BenchmarkFleetAtRest(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprint(size.instances), func(b *testing.B) {
			for b.Loop() {
				measureFleet(b, size.instances, size.upstreams, 0)
			}
		})
	}
}

// BenchmarkFleetWithChanges is the same with upstreams that load adapters forty times a second. Each load changes an
// entry in the store.
func BenchmarkFleetWithChanges(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprint(size.instances), func(b *testing.B) {
			for b.Loop() {
				measureFleet(b, size.instances, size.upstreams, 40)
			}
		})
	}
}

const (
	settleFor  = 3 * time.Second
	measureFor = 8 * time.Second
)

func measureFleet(b *testing.B, instances, upstreams, changes int) {
	s := newStore()
	s.put(keyConfiguration, configuration(1, "/p/"))
	for i := range upstreams {
		s.put(fmt.Sprint(prefixUpstreams, "u", i), upstreamEntry("llm", "127.0.0.1:1"))
	}
	before := processorTime()
	fleet := make([]*instance, instances)
	for i := range fleet {
		fleet[i] = start(b, s, fmt.Sprint("instance", i))
	}
	eventually(b, time.Minute, "all upstreams have holders", func() bool { return s.count("fleet/holders/") == upstreams })
	time.Sleep(settleFor)
	stopProfile := profileRest(b)
	started := processorTime()
	began := time.Now()
	for time.Since(began) < measureFor {
		time.Sleep(25 * time.Millisecond)
		for i := range changes / 40 {
			s.put(fmt.Sprint(prefixUpstreams, "u", i), upstreamEntry("llm", "127.0.0.1:1"))
		}
	}
	idled := processorTime()
	took := time.Since(began)
	stopProfile()
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	each := float64(instances)
	b.ReportMetric((started-before).Seconds()*1000/each, "start-ms/instance")
	b.ReportMetric((idled-started).Seconds()/took.Seconds()/each, "cores/instance")
	b.ReportMetric(float64(runtime.NumGoroutine())/each, "goroutines/instance")
	b.ReportMetric(float64(memory.HeapInuse)/each/1e6, "heap-MB/instance")
	for _, member := range fleet {
		member.stop()
	}
	for _, member := range fleet {
		<-member.ended
	}
}

func profileRest(b *testing.B) (stop func()) {
	if *restProfile == "" {
		return func() {}
	}
	file, err := os.Create(*restProfile)
	if err != nil {
		b.Fatal(err)
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		b.Fatal(err)
	}
	return func() {
		pprof.StopCPUProfile()
		file.Close()
	}
}

// count returns the number of keys with a prefix.
func (s *store) count(prefix string) (count int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			count++
		}
	}
	return count
}
