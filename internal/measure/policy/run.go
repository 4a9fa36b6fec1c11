// Package policy measures the deciding code (queue, holder, route, broker) under named loads, against
// simple baselines of our own in the same run. It drives the real packages on a simulated clock with
// the smallest engine model that batches, has few slots and loads through the weight store's limit.
package policy

import (
	"context"
	"io"
)

// Options of a Run. Out gets the tables as text. Markdown, unless empty, is the file the tables are
// written to, and Plots the directory for one PNG for each measure.
type Options struct {
	Out      io.Writer
	Markdown string
	Plots    string
	Seed     int64
}

// Report is what a Run found.
type Report struct {
	Results []Result
	Goals   []Goal
}

// Result is one policy under one case.
type Result struct {
	Case   string
	Policy string
}

// Goal is one goal of the project and whether the run met it.
type Goal struct {
	Name     string
	Measured string
	Met      bool
}

// Run plays every case with every policy and writes the tables and plots.
func Run(ctx context.Context, options Options) (report Report, err error) {
	return Report{}, ctx.Err()
}
