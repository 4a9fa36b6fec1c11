package standin

// The verbs measure and capacity: they run the placement code and real processes under load, and write the
// results as tables into the pages in docs.

import (
	"context"
	"flag"
	"os"
	"path/filepath"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/measure/capacity"
	"lacewingrock.example/lacewingrock/internal/measure/live"
	"lacewingrock.example/lacewingrock/internal/measure/policy"
)

const groupMeasure = "measurements"

// defaultSeed is fixed, so that two runs give the same figures.
const defaultSeed = 1

type measureVerb struct {
	docs string
	seed int64
}

func (*measureVerb) Name() string     { return "measure" }
func (*measureVerb) Synopsis() string { return "measure the placement policy against baselines" }
func (*measureVerb) Usage() string {
	return "measure [flags]\n\tRun the cases on a simulated clock, print the tables, write MEASUREMENTS.md and plots.\n"
}

func (v *measureVerb) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&v.docs, "docs", "docs", "directory of the pages")
	flags.Int64Var(&v.seed, "seed", defaultSeed, "seed of the cases")
}

func (v *measureVerb) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	plots := filepath.Join(v.docs, "plots")
	if err := os.MkdirAll(plots, 0o755); err != nil {
		return exitStatus(err)
	}
	_, err := policy.Run(ctx, policy.Options{
		Out:      os.Stdout,
		Markdown: filepath.Join(v.docs, "MEASUREMENTS.md"),
		Plots:    plots,
		Seed:     v.seed,
	})
	return exitStatus(err)
}

// -----------------------------------------------------------------------------------------------

type capacityVerb struct {
	docs string
}

func (*capacityVerb) Name() string { return "capacity" }
func (*capacityVerb) Synopsis() string {
	return "measure how costs grow and compute the sizes for the target"
}

func (*capacityVerb) Usage() string {
	return "capacity [flags]\n\tMeasure decisions in this process and instances as separate processes, write CAPACITY.md.\n"
}

func (v *capacityVerb) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&v.docs, "docs", "docs", "directory of the pages")
}

func (v *capacityVerb) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return exitStatus(v.run(ctx))
}

func (v *capacityVerb) run(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "capacity") }()
	page := filepath.Join(v.docs, "CAPACITY.md")
	program, err := os.Executable()
	if err != nil {
		return err
	}
	if err := capacity.Run(ctx, capacity.Options{Out: os.Stdout, Markdown: page}); err != nil {
		return err
	}
	return live.Run(ctx, live.Options{Out: os.Stdout, Binaries: filepath.Dir(program), Markdown: page})
}
