// Package capacity measures the cost of a decision, an idle adapter and a message at several fleet sizes, with
// small stand-ins in one process, and extrapolates the slopes to the target fleet. A time is the best of
// several rounds, so that a busy machine has little effect on it.
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

// Options configures a Run. Out receives the tables as text. Markdown, if set, is the page into whose section
// the tables are written.
type Options struct {
	Out      io.Writer
	Markdown string
}

// Size is a fleet size at which every series is measured.
type Size struct {
	Instances int
	Upstreams int
	Adapters  int
}

// Sizes returns the fleet sizes, from the current one to the target.
func Sizes() []Size {
	return []Size{{8, 9, 3_000}, {30, 80, 10_000}, {110, 270, 22_500}, {330, 810, 45_000}}
}

// series is one figure measured at all sizes. scalesWith names the dimension of the size with which it is
// expected to grow.
type series struct {
	name       string
	unit       string
	scalesWith string
	measure    func(Size) float64
	values     []float64
}

// decisionLimit is the maximum cost of a decision on a request, in microseconds.
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

// measureAll measures every series at every size. A series that cannot be measured panics, because the cause
// is a fault of the program, not of the machine.
func measureAll(ctx context.Context) (measured map[string]series, err error) {
	measured = make(map[string]series)
	for _, s := range allSeries() {
		for _, size := range Sizes() {
			if err := ctx.Err(); err != nil {
				return nil, err
			}
			s.values = append(s.values, s.measure(size))
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
			fmt.Fprintf(&b, " %s |", formatFigure(value))
		}
		fmt.Fprintf(&b, " %s^%.2f |\n", s.scalesWith, growthExponent(s))
	}
	b.WriteString("\nThe last column is the exponent of the growth between the smallest and the largest size: 0 is constant, 1 is linear.\n")
	writeGoals(&b, measured)
	writeTarget(&b, measured)
	return b.String()
}

// growthExponent returns the exponent of the power law by which the series grows between the first and the last size.
func growthExponent(s series) float64 {
	first, last := s.values[0], s.values[len(s.values)-1]
	if first <= 0 || last <= 0 {
		return 0
	}
	return math.Log(last/first) / math.Log(sizeOf(s.scalesWith, Sizes()[len(Sizes())-1])/sizeOf(s.scalesWith, Sizes()[0]))
}

func sizeOf(dimension string, size Size) float64 {
	switch dimension {
	case byInstances:
		return float64(size.Instances)
	case byAdapters:
		return float64(size.Adapters)
	}
	return float64(size.Upstreams)
}

// writeGoals compares the figures with the goals for the cost of a decision. Growth no faster than
// logarithmic means growth by at most the ratio of the logarithms of the numbers of upstreams.
func writeGoals(b *strings.Builder, measured map[string]series) {
	choose := measured[nameChoose].values
	largest, smallest := Sizes()[len(Sizes())-1], Sizes()[0]
	logarithms := math.Log2(float64(largest.Upstreams)) / math.Log2(float64(smallest.Upstreams))
	today := choose[0] + measured[nameHolder].values[0]
	growth := choose[len(choose)-1] / choose[0]
	b.WriteString("\n| goal | measured | met |\n|---|---|---|\n")
	fmt.Fprintf(b, "| route and holder together under %d us at the current size | %s us | %s |\n", decisionLimit, formatFigure(today), yesNo(today < decisionLimit))
	fmt.Fprintf(b, "| route under %d us at the target's size | %s us | %s |\n", decisionLimit, formatFigure(choose[len(choose)-1]), yesNo(choose[len(choose)-1] < decisionLimit))
	fmt.Fprintf(b, "| route grows no faster than the logarithm of the upstreams (by %.2f) | by %.2f | %s |\n",
		logarithms, growth, yesNo(growth <= logarithms))
}

func yesNo(met bool) string {
	if met {
		return "yes"
	}
	return "no"
}

// formatFigure formats a value with three significant digits and no exponent.
func formatFigure(value float64) string {
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
