// Command lacewingd runs one entry instance. See its help text. It is implemented in
// internal/command/daemon.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"lacewingrock.example/lacewingrock/internal/command/daemon"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	context.AfterFunc(ctx, stop) // after the first signal, a second one ends the process at once
	program := &daemon.Program{Out: os.Stdout, Err: os.Stderr}
	os.Exit(program.Run(ctx, os.Args[1:]))
}
