// Package live measures what one entry instance costs as a real process: at rest, where everything it
// does is control, at several sizes of the fleet; and under load, for each request and each token. The
// stand-ins play the outside systems, and the processor time, memory and bytes come from the operating
// system's own counts of the process, so that nothing of the instance has to be trusted for them.
package live

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/measure/section"
	"lacewingrock.example/lacewingrock/internal/standin/deployment"
	"lacewingrock.example/lacewingrock/internal/standin/kv"
	"lacewingrock.example/lacewingrock/internal/timing/pause"
)

// Options of a run. Binaries is where the programs are; Markdown is the page to write to, or empty.
type Options struct {
	Out      io.Writer
	Binaries string
	Markdown string
}

const (
	// settle is how long a fleet is left alone before it is measured at rest: members join one by one,
	// and each has to be in force.
	settle = 12 * time.Second
	// rest is for how long it is measured. Processor time is counted in hundredths of a second.
	rest = 20 * time.Second
	// requests and longAnswer are the load: enough for the count of processor time to be exact to a
	// hundredth, short enough for CI's patience.
	requests   = 2000
	longAnswer = 101
	callers    = 16
)

// restSizes are the fleets measured at rest, by instances.
func restSizes() []int { return []int{2, 4, 8} }

// atRest is what an instance costs when nobody calls, the mean over the fleet.
type atRest struct {
	instances   int
	core        float64
	bytesSecond float64
	resident    float64
	storeCalls  float64
}

// underLoad is the processor time of an instance for a load.
type underLoad struct {
	tokens int
	cpu    time.Duration
	took   time.Duration
}

// Run measures, prints the tables and writes them to the page.
func Run(ctx context.Context, options Options) (err error) {
	defer func() { err = errors.WithMessage(err, "measure live") }()
	var resting []atRest
	for _, size := range restSizes() {
		one, err := measureRest(ctx, options, size)
		if err != nil {
			return err
		}
		resting = append(resting, one)
	}
	short, long, err := measureLoad(ctx, options)
	if err != nil {
		return err
	}
	text := tables(resting, short, long)
	if _, err := fmt.Fprintln(options.Out, text); err != nil {
		return err
	}
	if options.Markdown == "" {
		return nil
	}
	return section.Replace(options.Markdown, "live", text)
}

// ---------------------------------------------------------------------------------------------

// within runs a measurement in a deployment of its own.
func within(
	ctx context.Context, options Options, instances int, engineArguments []string,
	measure func(d *deployment.Deployment) error,
) (err error) {
	directory, err := os.MkdirTemp("", "lacewing-live-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(directory) }() // what is left there is of no use to anyone
	template := filepath.Join(directory, "resources.json.tmpl")
	if err := os.WriteFile(template, []byte(resources), 0o600); err != nil {
		return err
	}
	d := &deployment.Deployment{
		Binaries:        options.Binaries,
		Directory:       directory,
		Template:        template,
		Engines:         2,
		EngineBatch:     callers,
		Instances:       instances,
		EngineArguments: engineArguments,
	}
	if err := d.Start(ctx); err != nil {
		return err
	}
	defer d.KillAll()
	return measure(d)
}

// resources declare a workspace whose rate never refuses and one adapter.
const resources = `{"Resources": [
{"Kind": "BaseModel", "Name": "base"},
{"Kind": "Workspace", "Name": "w", "Rate": 1000000000, "Burst": 1000000000, "Weight": 1},
{"Kind": "Adapter", "Name": "a", "BaseModel": "base", "Current": "1"},
{{- range .Engines}}
{"Kind": "Upstream", "Name": "{{.Name}}", "Address": "{{.Address}}", "DataCentre": "{{.DataCentre}}",
 "BaseModel": "base", "Slots": {{.Slots}}, "Batch": {{.Batch}}, "ChecksFencing": true},
{{- end}}
{"Kind": "AdapterVersion", "Name": "a@1", "Adapter": "a", "Version": "1", "Source": "a/1"}
]}`

func measureRest(ctx context.Context, options Options, instances int) (measured atRest, err error) {
	err = within(ctx, options, instances, nil, func(d *deployment.Deployment) error {
		if !pause.For(ctx, settle) {
			return ctx.Err()
		}
		before, err := take(ctx, d)
		if err != nil {
			return err
		}
		if !pause.For(ctx, rest) {
			return ctx.Err()
		}
		after, err := take(ctx, d)
		if err != nil {
			return err
		}
		measured = restBetween(before, after, instances)
		return nil
	})
	return measured, err
}

// reading is the counts of all instances and of the store at one moment.
type reading struct {
	at         time.Time
	processes  []usage
	storeCalls int
}

func take(ctx context.Context, d *deployment.Deployment) (taken reading, err error) {
	taken.at = time.Now()
	for _, process := range d.InstanceProcesses {
		u, err := usageOf(process.Pid())
		if err != nil {
			return reading{}, err
		}
		taken.processes = append(taken.processes, u)
	}
	var record kv.Record
	if err := d.Record(ctx, d.Store, &record); err != nil {
		return reading{}, err
	}
	for _, count := range record.Counts {
		taken.storeCalls += count
	}
	return taken, nil
}

func restBetween(before, after reading, instances int) atRest {
	seconds := after.at.Sub(before.at).Seconds()
	measured := atRest{instances: instances, storeCalls: float64(after.storeCalls-before.storeCalls) / seconds}
	for i := range after.processes {
		spent := after.processes[i].cpu - before.processes[i].cpu
		moved := after.processes[i].moved - before.processes[i].moved
		measured.core += spent.Seconds() / seconds / float64(instances)
		measured.bytesSecond += float64(moved) / seconds / float64(instances)
		measured.resident += float64(after.processes[i].resident) / float64(instances)
	}
	return measured
}
