package daemon

import (
	"context"
	"flag"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"

	_ "lacewingrock.example/lacewingrock/internal/command/hangup" // ignores SIGHUP until catchHangups
	"lacewingrock.example/lacewingrock/internal/entry/node"
	"lacewingrock.example/lacewingrock/internal/gateway/responsehead"
	"lacewingrock.example/lacewingrock/internal/gateway/socket"
	"lacewingrock.example/lacewingrock/internal/telemetry/logline"
	"lacewingrock.example/lacewingrock/internal/telemetry/logring"
	"lacewingrock.example/lacewingrock/platform"
)

// The command serve serves as one entry instance on the users' platform until it is signalled to stop.

// settingsVariable names the settings file if -settings is not given.
const settingsVariable = "LACEWINGROCK_SETTINGS"

type serveCommand struct {
	program *Program
	file    string
}

// Name returns the name of the command.
func (*serveCommand) Name() string { return "serve" }

// Synopsis returns the line for the list of commands.
func (*serveCommand) Synopsis() string { return "serve as one entry instance on the platform" }

// Usage returns the help text.
func (*serveCommand) Usage() string {
	return `serve [-settings FILE]
  Serves as one entry instance on the platform, whose store holds configuration, upstreams and
  instances, until it gets SIGTERM or SIGINT. It then makes a planned stop: its readiness probe fails,
  running requests end, and its upstreams are handed over. Without -settings it reads the file that the
  variable ` + settingsVariable + ` names.

The settings:

` + node.SettingsHelp()
}

// SetFlags registers the flags of the command.
func (c *serveCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "settings", "", "the settings file (INI)")
}

// Execute runs the command.
func (c *serveCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	catchHangups()
	if c.file == "" {
		c.file = os.Getenv(settingsVariable)
	}
	if c.file == "" || f.NArg() > 0 {
		return c.program.fail(exitUsage, errNoSettingsFile)
	}
	settings, err := c.loadSettings()
	if err != nil {
		return c.program.fail(exitInvalid, err)
	}
	ring := &logring.Ring{Out: logline.NewFormatter(c.program.Out), Budget: int(settings.Log.Budget)}
	ring.Start()
	logger, err := logline.NewWithWriter(ring, "lacewingd", settings.Log.Level)
	if err != nil {
		return c.program.fail(exitInvalid, err)
	}
	logCtx, stopLog := context.WithCancel(context.Background())
	logDone := make(chan error, 1)
	go func() { logDone <- ring.Run(logCtx) }()
	store := &platform.Store{Client: newHTTPClient()}
	store.SetEndpoint(settings.Platform.StoreAddress, settings.Platform.StoreTimeout)
	instance := &node.Node{
		Settings:         settings,
		Store:            store,
		Decoder:          platform.Decoder{},
		Dialect:          platform.Dialect{},
		Orders:           &platform.Orders{Client: newOrderClient(), Timeout: orderTimeout},
		DialUpstream:     dialUpstream,
		ReadyPath:        platform.PathReady,
		Log:              logger,
		DroppedLogEvents: ring.TakeDropped,
		ReloadSettings:   c.loadSettings,
		ApplySettings: func(changed node.Settings) {
			store.SetEndpoint(changed.Platform.StoreAddress, changed.Platform.StoreTimeout)
		},
	}
	err = instance.Run(ctx)
	stopLog()
	if logErr := <-logDone; err == nil {
		err = logErr
	}
	if err != nil {
		return c.program.fail(exitFailed, err)
	}
	return exitSuccess
}

// catchHangups keeps SIGHUP from ending the process, which is its default action, before the instance handles the
// signal. The settings are read after this call anyway, so that a changed file is not missed.
func catchHangups() { signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP) }

const (
	// orderTimeout bounds an upstream's response to an order. A response takes some milliseconds, and an order
	// without one is sent again.
	orderTimeout = 80 * time.Millisecond
	// connectTimeout bounds a new connection to the store or to an upstream's orders endpoint.
	connectTimeout = 300 * time.Millisecond
	// maxIdleConnections are kept to each address, each for idleConnectionTimeout.
	maxIdleConnections    = 4
	idleConnectionTimeout = 5 * time.Second
	// maxHeadBytes bounds the head of a response. Without a bound, one without an end would fill the memory.
	maxHeadBytes = 64 << 10
)

// dialUpstream opens a connection to the address of an upstream. The caller's context bounds the time for it.
func dialUpstream(ctx context.Context, address string) (net.Conn, error) {
	return socket.Dialer(connectTimeout).DialContext(ctx, "tcp", address)
}

// newHTTPClient returns an HTTP client whose connections detect that the other end is gone.
func newHTTPClient() *http.Client { return newClient(socket.Dialer(connectTimeout)) }

// newOrderClient returns an HTTP client for orders. One that is given up must not arrive later, when another instance sends
// orders.
func newOrderClient() *http.Client { return newClient(socket.Dialer(connectTimeout).WithReset()) }

func newClient(dialer *socket.ContextDialer) *http.Client {
	return &http.Client{Transport: responsehead.Transport{Base: &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    maxIdleConnections,
		IdleConnTimeout:        idleConnectionTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeadBytes,
	}}}
}

// loadSettings reads the settings, and decides what the platform's contracts call for.
func (c *serveCommand) loadSettings() (node.Settings, error) {
	settings, err := node.LoadSettings(c.file)
	return settings.WithContracts(platform.IsUnderPressure(settings.Platform.Contracts)), err
}
