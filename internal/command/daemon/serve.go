package daemon

import (
	"context"
	"flag"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"

	_ "lacewingrock.example/lacewingrock/internal/command/hangup" // ignores SIGHUP until outliveHangups
	"lacewingrock.example/lacewingrock/internal/entry/node"
	"lacewingrock.example/lacewingrock/internal/gateway/socket"
	"lacewingrock.example/lacewingrock/internal/telemetry/logline"
	"lacewingrock.example/lacewingrock/internal/telemetry/logring"
	"lacewingrock.example/lacewingrock/platform"
)

// The verb serve: serves as one entry instance on the users' platform until told to stop.

// settingsVariable names the settings file where -settings does not.
const settingsVariable = "LACEWINGROCK_SETTINGS"

type serveVerb struct {
	program *Program
	file    string
}

// Name of the verb.
func (*serveVerb) Name() string { return "serve" }

// Synopsis is one line for the list of verbs.
func (*serveVerb) Synopsis() string { return "serve as one entry instance on the platform" }

// Usage is the help text.
func (*serveVerb) Usage() string {
	return `serve [-settings FILE]
  Serves as one entry instance on the platform, whose store holds configuration, upstreams and
  instances, until it gets SIGTERM or SIGINT. It then stops as planned: the balancer is told, running
  requests end, and what it holds is given away. Without -settings the file is the one that the
  variable ` + settingsVariable + ` names.

The settings:

` + node.SettingsHelp()
}

// SetFlags sets the verb's flags.
func (v *serveVerb) SetFlags(f *flag.FlagSet) {
	f.StringVar(&v.file, "settings", "", "the settings file (INI)")
}

// Execute carries the verb out.
func (v *serveVerb) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	outliveHangups()
	if v.file == "" {
		v.file = os.Getenv(settingsVariable)
	}
	if v.file == "" || f.NArg() > 0 {
		return v.program.fail(exitUsage, errSettingsFile)
	}
	settings, err := node.LoadSettings(v.file)
	if err != nil {
		return v.program.fail(exitInvalid, err)
	}
	ring := &logring.Ring{Out: logline.Format(v.program.Out), Budget: int(settings.Log.Budget)}
	ring.Start()
	logger, err := logline.Through(ring, "lacewingd", settings.Log.Level)
	if err != nil {
		return v.program.fail(exitInvalid, err)
	}
	writing, stop := context.WithCancel(context.Background())
	written := make(chan error, 1)
	go func() { written <- ring.Run(writing) }()
	store := &platform.Store{Client: client()}
	store.Set(settings.Platform.StoreAddress, settings.Platform.StoreTimeout)
	instance := &node.Node{
		Settings:         settings,
		Store:            store,
		Decoder:          platform.Decoder{},
		Dialect:          platform.Dialect{},
		Orders:           &platform.Orders{Client: client(), Timeout: orderTimeout},
		ReadyPath:        platform.PathReady,
		Log:              logger,
		DroppedLogEvents: ring.Dropped,
		ReloadSettings:   func() (node.Settings, error) { return node.LoadSettings(v.file) },
		ApplySettings: func(changed node.Settings) {
			store.Set(changed.Platform.StoreAddress, changed.Platform.StoreTimeout)
		},
	}
	err = instance.Run(ctx)
	stop()
	if unwritten := <-written; err == nil {
		err = unwritten
	}
	if err != nil {
		return v.program.fail(exitFailed, err)
	}
	return exitDone
}

// outliveHangups keeps SIGHUP from ending the process, which is its default, also before the instance waits
// for it. The settings that it tells of are read after that anyway.
func outliveHangups() { signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP) }

const (
	// orderTimeout bounds an upstream's answer to an order. One takes some milliseconds, and an order that
	// got none is simply given again.
	orderTimeout = 80 * time.Millisecond
	// connectWithin bounds a new connection to the store or to an upstream's orders.
	connectWithin = 300 * time.Millisecond
	// keptConnections to each address, and for how long.
	keptConnections = 4
	keptFor         = 5 * time.Second
)

// client is an HTTP client whose connections notice that the other end is gone.
func client() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         socket.Dialer(connectWithin).DialContext,
		MaxIdleConnsPerHost: keptConnections,
		IdleConnTimeout:     keptFor,
		DisableCompression:  true,
	}}
}
