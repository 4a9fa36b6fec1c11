// Package metrics makes the root of a program's metrics: a tally scope whose counters, gauges and
// histograms are served in the usual exposition format.
package metrics

import (
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportEvery is how often tally hands its values to the exposition endpoint. A second is the
// shortest interval at which operators scrape; shorter only costs processor time.
const reportEvery = time.Second

// New gives the root scope, the handler that serves it, and what closes it.
func New(program string) (tally.Scope, http.Handler, io.Closer) {
	reporter := prometheus.NewReporter(prometheus.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 program,
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportEvery)
	return scope, reporter.HTTPHandler(), closer
}
