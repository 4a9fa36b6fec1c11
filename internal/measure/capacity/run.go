// Package capacity measures what a decision, an idle adapter and a message cost at several sizes, with
// small stand-ins in one process, and works the slopes out for the fleet of the target. Time is taken
// as the best of several rounds, so that a busy machine disturbs it little.
package capacity

import (
	"context"
	"fmt"
	"io"
	"math"
	"strings"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/measure/section"
)

// Options of a Run. Out gets the tables as text. Markdown, unless empty, is the page whose section
// the tables are written into.
type Options struct {
	Out      io.Writer
	Markdown string
}

// Size is a fleet at which everything is measured.
type Size struct {
	Instances int
	Upstreams int
	Adapters  int
}

// Sizes from today's to the target's.
func Sizes() []Size {
	return []Size{{8, 9, 3_000}, {30, 80, 10_000}, {110, 270, 22_500}, {330, 810, 45_000}}
}

// series is one figure measured at all sizes. growth says by what of the size it is expected to grow.
type series struct {
	name   string
	unit   string
	by     string
	at     func(Size) float64
	values []float64
}

// decisionLimit is what a decision on a request may cost, in microseconds.
const decisionLimit = 20

// Run measures the slopes and writes the tables.
func Run(ctx context.Context, options Options) (err error) {
	defer func() { err = errors.WithMessage(err, "measure capacity") }()
	measured, err := measureAll(ctx)
	if err != nil {
		return err
	}
	text := tables(measured)
	if _, err := fmt.Fprintln(options.Out, text); err != nil {
		return err
	}
	if options.Markdown == "" {
		return nil
	}
	return section.Replace(options.Markdown, "capacity", text)
}

// measureAll takes every series at every size. A series that fails to be made is a fault of the
// program, not of the machine, and ends the run.
func measureAll(ctx context.Context) (measured map[string]series, err error) {
	measured = make(map[string]series)
	for _, s := range allSeries() {
		for _, size := range Sizes() {
			if err := ctx.Err(); err != nil {
				return nil, err
			}
			s.values = append(s.values, s.at(size))
		}
		measured[s.name] = s
	}
	return measured, nil
}

// ---------------------------------------------------------------------------------------------

func tables(measured map[string]series) string {
	var b strings.Builder
	b.WriteString("`make capacity`. Each figure is measured at four sizes on one core; time is the best of several rounds.\n\n")
	b.WriteString("| figure | unit |")
	for _, size := range Sizes() {
		fmt.Fprintf(&b, " %d instances, %d upstreams, %d adapters |", size.Instances, size.Upstreams, size.Adapters)
	}
	b.WriteString(" grows as |\n|---|---|" + strings.Repeat("---|", len(Sizes())+1) + "\n")
	for _, s := range allSeries() {
		s = measured[s.name]
		fmt.Fprintf(&b, "| %s | %s |", s.name, s.unit)
		for _, value := range s.values {
			fmt.Fprintf(&b, " %s |", figure(value))
		}
		fmt.Fprintf(&b, " %s^%.2f |\n", s.by, exponent(s))
	}
	b.WriteString("\nThe last column is the power of the size between the smallest and the largest: 0 is constant, 1 linear.\n")
	writeVerdicts(&b, measured)
	writeTarget(&b, measured)
	return b.String()
}

// exponent is the power of the size by which the series grows from the first to the last.
func exponent(s series) float64 {
	first, last := s.values[0], s.values[len(s.values)-1]
	if first <= 0 || last <= 0 {
		return 0
	}
	return math.Log(last/first) / math.Log(sizeOf(s.by, Sizes()[len(Sizes())-1])/sizeOf(s.by, Sizes()[0]))
}

func sizeOf(by string, size Size) float64 {
	switch by {
	case byInstances:
		return float64(size.Instances)
	case byAdapters:
		return float64(size.Adapters)
	}
	return float64(size.Upstreams)
}

// writeVerdicts holds the goals on the decision's cost against the figures. Growth no faster than
// logarithmic means: at most by the ratio of the logarithms of the numbers of upstreams.
func writeVerdicts(b *strings.Builder, measured map[string]series) {
	choose := measured[nameChoose].values
	largest, smallest := Sizes()[len(Sizes())-1], Sizes()[0]
	logarithms := math.Log2(float64(largest.Upstreams)) / math.Log2(float64(smallest.Upstreams))
	today := choose[0] + measured[nameHold].values[0]
	growth := choose[len(choose)-1] / choose[0]
	b.WriteString("\n| goal | measured | met |\n|---|---|---|\n")
	fmt.Fprintf(b, "| route and holder together under %d us at today's size | %s us | %s |\n", decisionLimit, figure(today), yes(today < decisionLimit))
	fmt.Fprintf(b, "| route under %d us at the target's size | %s us | %s |\n", decisionLimit, figure(choose[len(choose)-1]), yes(choose[len(choose)-1] < decisionLimit))
	fmt.Fprintf(b, "| route grows no faster than the logarithm of the upstreams (by %.2f) | by %.2f | %s |\n",
		logarithms, growth, yes(growth <= logarithms))
}

func yes(met bool) string {
	if met {
		return "yes"
	}
	return "no"
}

// figure writes three significant digits without an exponent.
func figure(value float64) string {
	switch {
	case value == 0:
		return "0"
	case math.Abs(value) >= 100:
		return fmt.Sprintf("%.0f", value)
	case math.Abs(value) >= 10:
		return fmt.Sprintf("%.1f", value)
	case math.Abs(value) >= 1:
		return fmt.Sprintf("%.2f", value)
	}
	return fmt.Sprintf("%.3f", value)
}
