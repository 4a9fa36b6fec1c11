package standin

// The verbs that run a stand-in of an outside system until the process is stopped. Each prints its addresses
// on one line when it listens, and is controlled over HTTP at its control address: GET and POST
// /control/faults, GET /control/record.

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"lacewingrock.example/lacewingrock/internal/standin/endpoint"
	"lacewingrock.example/lacewingrock/internal/standin/engine"
	"lacewingrock.example/lacewingrock/internal/standin/kv"
	"lacewingrock.example/lacewingrock/internal/standin/list"
	"lacewingrock.example/lacewingrock/internal/standin/service"
	"lacewingrock.example/lacewingrock/internal/standin/weights"
)

// setAddresses adds the flags that all stand-ins have.
func setAddresses(flags *flag.FlagSet, at *endpoint.Endpoint) {
	flags.StringVar(&at.Address, "address", endpoint.Loopback, "IP:port of the service; port 0 selects a free port")
	flags.StringVar(&at.ControlAddress, "control", endpoint.Loopback, "IP:port of the control interface; port 0 selects a free port")
	at.Announce = os.Stdout
}

type kvVerb struct{ server kv.Server }

func (*kvVerb) Name() string     { return "kv" }
func (*kvVerb) Synopsis() string { return "run the key-value store" }
func (*kvVerb) Usage() string {
	return "kv [flags]\n\tRun a key-value store in memory. Faults: Outage, LoseAnswers, DelayMillis, StaleReads.\n"
}

func (v *kvVerb) SetFlags(flags *flag.FlagSet) {
	setAddresses(flags, &v.server.Endpoint)
	flags.Float64Var(&v.server.WritesPerSecond, "writes", 0, "writes per second (0: the default)")
	flags.Float64Var(&v.server.ReadsPerSecond, "reads", 0, "reads per second (0: the default)")
}

func (v *kvVerb) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return exitStatus(v.server.Run(ctx))
}

// -----------------------------------------------------------------------------------------------

type listVerb struct{ server list.Server }

func (*listVerb) Name() string     { return "list" }
func (*listVerb) Synopsis() string { return "run the instance list" }
func (*listVerb) Usage() string {
	return "list [flags]\n\tRun an instance list. POST /control/members sets it. Faults: LagMillis, Unreachable.\n"
}

func (v *listVerb) SetFlags(flags *flag.FlagSet) {
	setAddresses(flags, &v.server.Endpoint)
	flags.IntVar(&v.server.LagMillis, "lag", 0, "age of the answers, in milliseconds")
}

func (v *listVerb) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return exitStatus(v.server.Run(ctx))
}

// -----------------------------------------------------------------------------------------------

type weightsVerb struct{ server weights.Server }

func (*weightsVerb) Name() string     { return "weights" }
func (*weightsVerb) Synopsis() string { return "run the weight store" }
func (*weightsVerb) Usage() string {
	return "weights [flags]\n\tRun a rate-limited weight store. Faults: Fail, DelayMillis.\n"
}

func (v *weightsVerb) SetFlags(flags *flag.FlagSet) {
	setAddresses(flags, &v.server.Endpoint)
	flags.Float64Var(&v.server.LoadsPerSecond, "loads", 0, "loads per second (0: the default)")
	flags.Float64Var(&v.server.Burst, "burst", 0, "burst of loads above the rate (0: the default)")
	flags.DurationVar(&v.server.LoadTime, "load-time", 0, "time of a load at full speed (0: the default)")
}

func (v *weightsVerb) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return exitStatus(v.server.Run(ctx))
}

// -----------------------------------------------------------------------------------------------

type engineVerb struct{ server engine.Server }

func (*engineVerb) Name() string     { return "engine" }
func (*engineVerb) Synopsis() string { return "run a model engine" }
func (*engineVerb) Usage() string {
	return "engine [flags]\n\tRun a model engine. Faults: CrashOn, FailLoads, LieAboutLoads, Slow, SilentConnections,\n" +
		"\tCutAfterTokens, CrossAnswers, LateMillis, RefuseAsFull.\n"
}

func (v *engineVerb) SetFlags(flags *flag.FlagSet) {
	setAddresses(flags, &v.server.Endpoint)
	server := &v.server
	flags.StringVar(&server.Name, "name", "engine", "name in the record")
	flags.StringVar(&server.WeightsAddress, "weights", "", "IP:port of the weight store (empty: none; a load only takes load-time)")
	flags.StringVar(&server.RecordPath, "record", "", "file that preserves the record across a crash")
	flags.IntVar(&server.Slots, "slots", 0, "number of adapter slots (0: the default)")
	flags.IntVar(&server.Batch, "batch", 0, "number of batch slots (0: the default)")
	flags.IntVar(&server.EventGap, "event-gap", 0, "drop every n-th event (0: the default, -1: none)")
	flags.BoolVar(&server.CheckFencing, "check-fencing", false, "refuse orders with a stale fencing token")
	flags.BoolVar(&server.ProtectInUse, "protect-in-use", false, "refuse to unload an adapter version on which requests are running")
	flags.DurationVar(&server.FirstTokenDelay, "first-token", 0, "time to the first token (0: the default)")
	flags.DurationVar(&server.TokenInterval, "token", 0, "time between tokens (0: the default)")
	flags.DurationVar(&server.LoadTime, "load-time", 0, "time of a load without a weight store (0: the default)")
	flags.DurationVar(&server.ColdStart, "cold-start", 0, "time after the start during which requests are refused")
	flags.DurationVar(&server.ReportLag, "report-lag", 0, "age of the load report (0: the default)")
	flags.DurationVar(&server.EventDelay, "event-delay", 0, "delay of events (0: the default)")
	flags.DurationVar(&server.ResumeWithin, "resume-within", 0, "how long a stream without a reader continues (0: the default)")
}

func (v *engineVerb) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return exitStatus(v.server.Run(ctx))
}

// -----------------------------------------------------------------------------------------------

type serviceVerb struct{ server service.Server }

func (*serviceVerb) Name() string     { return "service" }
func (*serviceVerb) Synopsis() string { return "run a plain service" }
func (*serviceVerb) Usage() string {
	return "service [flags]\n\tRun a plain service that records its calls. Faults: DelayMillis, CutBeforeRun,\n" +
		"\tCutBeforeAnswer, Status, SilentConnections.\n"
}

func (v *serviceVerb) SetFlags(flags *flag.FlagSet) {
	setAddresses(flags, &v.server.Endpoint)
	flags.StringVar(&v.server.Name, "name", "service", "name in the answers")
	flags.StringVar(&v.server.RecordPath, "record", "", "file that preserves the record if the process is killed")
}

func (v *serviceVerb) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return exitStatus(v.server.Run(ctx))
}
