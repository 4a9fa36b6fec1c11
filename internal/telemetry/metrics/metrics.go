// Package metrics creates the root scope of a program's metrics: a tally scope whose counters, gauges and
// histograms are served in the Prometheus exposition format.
package metrics

import (
	"io"
	"net/http"
	"time"

	registry "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often tally reports its values to the Prometheus registry. A second is the shortest
// interval at which operators scrape; a shorter one only costs processor time.
const reportInterval = time.Second

// New returns the root scope, the handler that serves it, and the closer that stops it. Each scope has its
// own registry: the library's default registry is shared by the whole process, and the metrics of two
// instances in one test would collide in it.
func New(program string) (tally.Scope, http.Handler, io.Closer) {
	own := registry.NewRegistry()
	own.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	unregistered := registry.NewCounter(registry.CounterOpts{
		Name: program + "_unregistered_metrics", Help: "Metrics that could not be registered, such as one whose name is in use with other labels.",
	})
	own.MustRegister(unregistered)
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer: own, Gatherer: own,
		OnRegisterError: func(error) { unregistered.Inc() }, // by default it ends the process
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 program,
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return scope, reporter.HTTPHandler(), closer
}
