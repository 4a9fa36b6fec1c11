// Package live measures the cost of one entry instance as a real process: idle, when all its work is control
// traffic, at several fleet sizes; and under load, for each request and each token. Stand-ins replace the
// external systems. Processor time, memory and bytes come from the operating system's counters for the
// process, so that the figures do not rely on the instance itself.
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

// Options configures a Run. Binaries is the directory of the programs. Markdown, if set, is the page to write to.
type Options struct {
	Out      io.Writer
	Binaries string
	Markdown string
}

const (
	// settleTime is the wait before an idle fleet is measured: members join one by one, and each has to
	// be in force.
	settleTime = 12 * time.Second
	// idlePeriod is how long it is measured. Processor time is counted in hundredths of a second.
	idlePeriod = 20 * time.Second
	// requestCount and longAnswer are the load: enough for the processor time to be accurate to a
	// hundredth, and short enough for CI.
	requestCount     = 2000
	longAnswerTokens = 101
	callerCount      = 16
)

// idleFleetSizes returns the numbers of instances of the fleets measured when idle.
func idleFleetSizes() []int { return []int{2, 4, 8} }

// idleUsage is the cost of an instance without calls, as the mean over the fleet.
type idleUsage struct {
	instances      int
	cores          float64
	bytesPerSecond float64
	resident       float64
	storeCalls     float64
}

// loadUsage is the processor time of an instance under a load.
type loadUsage struct {
	tokens int
	cpu    time.Duration
	took   time.Duration
}

// Run measures, prints the tables and writes them to the page.
func Run(ctx context.Context, options Options) (err error) {
	defer func() { err = errors.WithMessage(err, "measure live") }()
	var idle []idleUsage
	for _, size := range idleFleetSizes() {
		usage, err := measureIdle(ctx, options, size)
		if err != nil {
			return err
		}
		idle = append(idle, usage)
	}
	short, long, err := measureLoad(ctx, options)
	if err != nil {
		return err
	}
	text := tables(idle, short, long)
	if _, err := fmt.Fprintln(options.Out, text); err != nil {
		return err
	}
	if options.Markdown == "" {
		return nil
	}
	return section.Replace(options.Markdown, "live", text)
}

// ---------------------------------------------------------------------------------------------

// withDeployment runs a measurement in its own deployment.
func withDeployment(
	ctx context.Context, options Options, instances int, engineArguments []string,
	measure func(d *deployment.Deployment) error,
) (err error) {
	directory, err := os.MkdirTemp("", "lacewing-live-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(directory) }() // the files are not needed after the measurement
	template := filepath.Join(directory, "resources.json.tmpl")
	if err := os.WriteFile(template, []byte(resources), 0o600); err != nil {
		return err
	}
	d := &deployment.Deployment{
		Binaries:        options.Binaries,
		Directory:       directory,
		Template:        template,
		Engines:         2,
		EngineBatch:     callerCount,
		Instances:       instances,
		EngineArguments: engineArguments,
	}
	if err := d.Start(ctx); err != nil {
		return err
	}
	defer d.KillAll()
	return measure(d)
}

// resources declares a workspace with a rate limit that is never reached, and one adapter.
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

func measureIdle(ctx context.Context, options Options, instances int) (measured idleUsage, err error) {
	err = withDeployment(ctx, options, instances, nil, func(d *deployment.Deployment) error {
		if !pause.For(ctx, settleTime) {
			return ctx.Err()
		}
		before, err := takeReading(ctx, d)
		if err != nil {
			return err
		}
		if !pause.For(ctx, idlePeriod) {
			return ctx.Err()
		}
		after, err := takeReading(ctx, d)
		if err != nil {
			return err
		}
		measured = idleBetween(before, after, instances)
		return nil
	})
	return measured, err
}

// reading holds the counters of all instances and of the store at one moment.
type reading struct {
	at         time.Time
	processes  []usage
	storeCalls int
}

func takeReading(ctx context.Context, d *deployment.Deployment) (taken reading, err error) {
	taken.at = time.Now()
	for _, process := range d.InstanceProcesses {
		u, err := readUsage(process.Pid())
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

func idleBetween(before, after reading, instances int) idleUsage {
	seconds := after.at.Sub(before.at).Seconds()
	measured := idleUsage{instances: instances, storeCalls: float64(after.storeCalls-before.storeCalls) / seconds}
	for i := range after.processes {
		spent := after.processes[i].cpu - before.processes[i].cpu
		ioBytes := after.processes[i].ioBytes - before.processes[i].ioBytes
		measured.cores += spent.Seconds() / seconds / float64(instances)
		measured.bytesPerSecond += float64(ioBytes) / seconds / float64(instances)
		measured.resident += float64(after.processes[i].resident) / float64(instances)
	}
	return measured
}
