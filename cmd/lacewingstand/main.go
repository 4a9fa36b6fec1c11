// Command lacewingstand plays the outside systems for trials and tests, and starts a small
// deployment on loopback. See its help; all work is in internal/command/standin.
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
