// Command lacewingstand runs stand-ins of the outside systems for tests, and starts a small deployment on
// loopback. See its help text. It is implemented in internal/command/standin.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"lacewingrock.example/lacewingrock/internal/command/standin"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(standin.Main(ctx, os.Args))
}
