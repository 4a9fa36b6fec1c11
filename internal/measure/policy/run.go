// Package policy measures the decision code (queue, holder, route, broker, suspect, retry) under named
// workloads and compares it with simple baselines, implemented here, in the same run. It drives the real
// packages on a simulated clock, with a minimal model of an engine that has a batch, few adapter slots, and
// loads limited by the weight store. It does not simulate the fleet: membership and epochs do not change,
// the store and the network do not fail, messages take a millisecond and none is lost.
package policy

import (
	"context"
	"fmt"
	"io"
	"sync"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/measure/section"
)

// seedCount is the number of seeds with which every case is simulated; figures are means over them.
const seedCount = 6

// workers is the number of cases simulated in parallel.
const workers = 4

// Options configures a Run. Out receives the tables as text. Markdown, if set, is the page into whose section
// the tables are written. Plots, if set, is the directory for one PNG file for each measure. Seed is the first
// of the seeds.
type Options struct {
	Out      io.Writer
	Markdown string
	Plots    string
	Seed     int64
}

// Report holds the results of a Run.
type Report struct {
	Results []Result
	Goals   []Goal
}

// Result holds the figures of one policy in one case: means over the seeds, except Crashes (a maximum) and the
// counts that must be zero (totals).
type Result struct {
	Case   string
	Policy string
	// Requests is the number of requests that arrived, WithinRate the number of those within their
	// workspace's rate limit.
	Requests   float64
	WithinRate float64
	// Stalls is the number of requests that waited for a load or were refused because none could be had.
	// StallSeconds is their total wait.
	Stalls       float64
	StallSeconds float64
	// Efficiency is the share of the batch slots' time spent on requests that were answered.
	Efficiency float64
	// WorstShare is the worst-served workspace's goodput as a share of its fair share. WorstFirstToken
	// is the 95th percentile of the time to first token, in seconds, of the workspace where it is longest.
	WorstShare      float64
	WorstFirstToken float64
	// Wrongful is the share of the requests within their rate limits that were refused.
	Wrongful float64
	// Loads is the number of loads per second, Retries the ratio of retries to first attempts.
	Loads   float64
	Retries float64
	// Crashes is the maximum number of engine crashes in a run.
	Crashes float64
	// LateDispatches counts requests dispatched after their deadline, EvictedServing evictions of a
	// version that was serving a request. Both are totals over the seeds.
	LateDispatches float64
	EvictedServing float64
}

// Run simulates every case with every policy, prints the tables, and writes the page and the plots.
func Run(ctx context.Context, options Options) (report Report, err error) {
	defer func() { err = errors.WithMessage(err, "measure policy") }()
	report.Results = simulateAll(ctx, options.Seed)
	if err := ctx.Err(); err != nil {
		return report, err
	}
	report.Goals = evaluateGoals(report)
	text := markdown(report, options.Seed)
	if _, err := fmt.Fprintln(options.Out, text); err != nil {
		return report, err
	}
	if options.Markdown != "" {
		if err := section.Replace(options.Markdown, "policy", text); err != nil {
			return report, err
		}
	}
	if options.Plots != "" {
		return report, plotAll(report, options.Plots)
	}
	return report, nil
}

// job is one case and variant to simulate with all seeds.
type job struct {
	load    Case
	variant variant
	result  *Result
}

// simulateAll simulates all cases with all variants, several in parallel. The results do not depend on the order
// in which they run.
func simulateAll(ctx context.Context, seed int64) (results []Result) {
	var jobs []job
	for _, load := range Cases() {
		for _, v := range variants() {
			jobs = append(jobs, job{load: load, variant: v})
		}
	}
	results = make([]Result, len(jobs))
	waiting := make(chan job, len(jobs))
	for i, j := range jobs {
		j.result = &results[i]
		waiting <- j
	}
	close(waiting)
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for j := range waiting {
				if ctx.Err() == nil {
					*j.result = simulateSeeds(j, seed)
				}
			}
		})
	}
	group.Wait()
	return results
}

func simulateSeeds(j job, seed int64) Result {
	total := Result{Case: j.load.Name, Policy: j.variant.name}
	for i := range int64(seedCount) {
		total = total.addSeed(simulate(j.load, j.variant, seed+i))
	}
	return total
}

// addSeed adds the results of one seed to the means, maxima and totals.
func (r Result) addSeed(t *tally) Result {
	const part = 1.0 / seedCount
	r.Requests += part * float64(t.requests)
	r.WithinRate += part * float64(t.withinRate)
	r.Stalls += part * float64(t.stalls)
	r.StallSeconds += part * t.stallTime.Seconds()
	r.Efficiency += part * t.efficiency()
	r.WorstShare += part * t.worstShare()
	r.WorstFirstToken += part * t.worstFirstToken().Seconds()
	r.Wrongful += part * t.wrongfulShare()
	r.Loads += part * float64(t.loads) / (caseLength - warmUp).Seconds()
	r.Retries += part * t.retryShare()
	r.Crashes = max(r.Crashes, float64(t.crashes))
	r.LateDispatches += float64(t.lateDispatches)
	r.EvictedServing += float64(t.evictedServing)
	return r
}

// find returns the result of a case and policy, or an empty result if there is none.
func (r Report) find(load, policy string) Result {
	for _, result := range r.Results {
		if result.Case == load && result.Policy == policy {
			return result
		}
	}
	return Result{Case: load, Policy: policy}
}
