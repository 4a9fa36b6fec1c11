package standin

// The verbs that run an outside system until the process is told to stop. Each prints its addresses
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

// setAddresses adds the flags that all outside systems have.
func setAddresses(flags *flag.FlagSet, at *endpoint.Endpoint) {
	flags.StringVar(&at.Address, "address", endpoint.Loopback, "IP:port to serve at; port 0 takes a free one")
	flags.StringVar(&at.ControlAddress, "control", endpoint.Loopback, "IP:port to be controlled at; port 0 takes a free one")
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
	flags.Float64Var(&v.server.WritesPerSecond, "writes", 0, "writes a second (0: the platform's usual)")
	flags.Float64Var(&v.server.ReadsPerSecond, "reads", 0, "reads a second (0: the platform's usual)")
}

func (v *kvVerb) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return exit(v.server.Run(ctx))
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
	flags.IntVar(&v.server.LagMillis, "lag", 0, "how old the answers are, in milliseconds")
}

func (v *listVerb) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return exit(v.server.Run(ctx))
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
	flags.Float64Var(&v.server.LoadsPerSecond, "loads", 0, "loads a second (0: the platform's usual)")
	flags.Float64Var(&v.server.Burst, "burst", 0, "loads at once over the rate (0: the usual)")
	flags.DurationVar(&v.server.LoadTime, "load-time", 0, "how long a load takes at full speed (0: the usual)")
}

func (v *weightsVerb) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return exit(v.server.Run(ctx))
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
	flags.StringVar(&server.WeightsAddress, "weights", "", "IP:port of the weight store (empty: loads cannot fail)")
	flags.StringVar(&server.RecordPath, "record", "", "file that keeps the record over a crash")
	flags.IntVar(&server.Slots, "slots", 0, "adapter versions held at once (0: the usual)")
	flags.IntVar(&server.Batch, "batch", 0, "requests run at once (0: the usual)")
	flags.IntVar(&server.EventGap, "event-gap", 0, "drop each so-manieth event (0: the usual, -1: none)")
	flags.BoolVar(&server.CheckFencing, "check-fencing", false, "refuse orders with an old fencing number")
	flags.BoolVar(&server.ProtectInUse, "protect-in-use", false, "refuse to unload an adapter version that serves")
	flags.DurationVar(&server.FirstTokenDelay, "first-token", 0, "time to the first token (0: the usual)")
	flags.DurationVar(&server.TokenInterval, "token", 0, "time between tokens (0: the usual)")
	flags.DurationVar(&server.LoadTime, "load-time", 0, "time of a load without a weight store (0: the usual)")
	flags.DurationVar(&server.ColdStart, "cold-start", 0, "time after the start in which nothing runs")
	flags.DurationVar(&server.ReportLag, "report-lag", 0, "age of the load report (0: the usual)")
	flags.DurationVar(&server.EventDelay, "event-delay", 0, "delay of events (0: the usual)")
	flags.DurationVar(&server.ResumeWithin, "resume-within", 0, "how long a stream runs on unread (0: the usual)")
}

func (v *engineVerb) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return exit(v.server.Run(ctx))
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
	flags.StringVar(&v.server.Name, "name", "service", "name in its answers")
	flags.StringVar(&v.server.RecordPath, "record", "", "file that keeps the record over a kill")
}

func (v *serviceVerb) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return exit(v.server.Run(ctx))
}
