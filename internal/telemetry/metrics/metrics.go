// Package metrics makes the root of a program's metrics: a tally scope whose counters, gauges and
// histograms are served in the usual exposition format.
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

// reportEvery is how often tally hands its values to the exposition endpoint. A second is the
// shortest interval at which operators scrape; shorter only costs processor time.
const reportEvery = time.Second

// New gives the root scope, the handler that serves it, and what closes it. Each has a registry of its
// own: the library's default one is shared by the whole process, and two instances in one test would
// meet in it.
func New(program string) (tally.Scope, http.Handler, io.Closer) {
	own := registry.NewRegistry()
	own.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: own, Gatherer: own})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 program,
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportEvery)
	return scope, reporter.HTTPHandler(), closer
}
