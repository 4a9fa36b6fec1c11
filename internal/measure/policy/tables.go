package policy

import (
	"fmt"
	"strings"

	"lacewingrock.example/lacewingrock/internal/placement/deployment"
)

// tables.go renders the results as Markdown: one table for each measure, with a row for each case and a column
// for each policy, then a comparison of the two deployments' settings, then the goals.

// measure is one figure of a result. ratio requests an additional table of ratios to least-loaded.
type measure struct {
	name   string
	file   string
	format string
	value  func(Result) float64
	ratio  bool
}

func measures() []measure {
	return []measure{
		{"Load stalls (requests that waited for a load, or were refused because none could be had)", "load_stalls", "%.0f", func(r Result) float64 { return r.Stalls }, true},
		{"Load stalls (seconds waited)", "load_stall_seconds", "%.0f", func(r Result) float64 { return r.StallSeconds }, true},
		{"Batch efficiency (share of batch slots' time spent on answered requests)", "batch_efficiency", "%.3f", func(r Result) float64 { return r.Efficiency }, true},
		{"Worst-served workspace: goodput as a share of its fair share", "worst_share", "%.3f", func(r Result) float64 { return r.WorstShare }, true},
		{"Worst-served workspace: first token, 95th percentile in seconds", "worst_first_token", "%.2f", func(r Result) float64 { return r.WorstFirstToken }, true},
		{"Wrongful refusals (share of the requests within their rate limits)", "wrongful_refusals", "%.4f", func(r Result) float64 { return r.Wrongful }, true},
		{"Loads per second", "loads", "%.2f", func(r Result) float64 { return r.Loads }, false},
		{"Retries (ratio to first attempts)", "retries", "%.3f", func(r Result) float64 { return r.Retries }, false},
	}
}

func markdown(report Report, seed int64) string {
	var b strings.Builder
	fmt.Fprintf(&b, "`make measure`, seeds %d to %d: %d instances, %d upstreams with %d adapter slots and %d batch slots each, ",
		seed, seed+seedCount-1, instances, upstreams, adapterSlots, batchSlots)
	fmt.Fprintf(&b, "%d adapters (Zipf %.1f within each workspace, %.1f in wide), %d workspaces; %s of arrivals after %s of warm-up. Means over the seeds.\n",
		adapters, defaultSkew, wideSkew, workspaces, caseLength-warmUp, warmUp)
	writeCases(&b)
	for _, m := range measures() {
		writeMeasure(&b, report, m, false)
		if m.ratio {
			writeMeasure(&b, report, m, true)
		}
	}
	writeSettings(&b, report)
	writeGoals(&b, report.Goals)
	return b.String()
}

func writeCases(b *strings.Builder) {
	b.WriteString("\n| case | load | offered |\n|---|---|---|\n")
	for _, load := range Cases() {
		fmt.Fprintf(b, "| %s | %s | %.0f%% of capacity |\n", load.Name, load.Description, load.Load*100)
	}
}

func writeMeasure(b *strings.Builder, report Report, m measure, ratio bool) {
	title := m.name
	if ratio {
		title += ", as a ratio to " + nameLeastLoaded
	}
	fmt.Fprintf(b, "\n### %s\n\n| case |", title)
	for _, v := range variants() {
		fmt.Fprintf(b, " %s |", v.name)
	}
	b.WriteString("\n|---|" + strings.Repeat("---|", len(variants())) + "\n")
	for _, load := range Cases() {
		fmt.Fprintf(b, "| %s |", load.Name)
		base := m.value(report.find(load.Name, nameLeastLoaded))
		for _, v := range variants() {
			fmt.Fprintf(b, " %s |", formatCell(m, m.value(report.find(load.Name, v.name)), base, ratio))
		}
		b.WriteString("\n")
	}
	if !ratio {
		fmt.Fprintf(b, "\n![%s](plots/%s.png)\n", m.name, m.file)
	}
}

func formatCell(m measure, value, base float64, ratio bool) string {
	if !ratio {
		return fmt.Sprintf(m.format, value)
	}
	if base == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", value/base)
}

// writeSettings compares the settings in which the two deployments differ, with the figures averaged over the cases.
func writeSettings(b *strings.Builder, report Report) {
	b.WriteString("\n### Comparison of the settings\n\nMeans over all cases.\n\n")
	b.WriteString("| policy | maximum backlog | load price at a busy store | stalls | stall seconds | efficiency | worst share | worst first token | wrongful |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|\n")
	for _, p := range []deployment.Policy{deployment.BlueMountain(), deployment.Hellenic()} {
		mean := meanOverCases(report, p.Name)
		fmt.Fprintf(b, "| %s | %s | %s | %.0f | %.0f | %.3f | %.3f | %.2f s | %.4f |\n",
			p.Name, p.Holder.MaxBacklog, p.Route.LoadPrice, mean.Stalls, mean.StallSeconds,
			mean.Efficiency, mean.WorstShare, mean.WorstFirstToken, mean.Wrongful)
	}
}

func meanOverCases(report Report, policy string) (mean Result) {
	part := 1 / float64(len(Cases()))
	for _, load := range Cases() {
		r := report.find(load.Name, policy)
		mean.Stalls += part * r.Stalls
		mean.StallSeconds += part * r.StallSeconds
		mean.Efficiency += part * r.Efficiency
		mean.WorstShare += part * r.WorstShare
		mean.WorstFirstToken += part * r.WorstFirstToken
		mean.Wrongful += part * r.Wrongful
	}
	return mean
}

func writeGoals(b *strings.Builder, goals []Goal) {
	b.WriteString("\n### Goals\n\n| goal | policy | met | measured |\n|---|---|---|---|\n")
	for _, g := range goals {
		met := "no"
		if g.Met {
			met = "yes"
		}
		fmt.Fprintf(b, "| %s | %s | %s | %s |\n", g.Name, g.Policy, met, g.Measured)
	}
}
