// Command lacewingd is one entry instance; see its help. All work is in the packages named for it.
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
	context.AfterFunc(ctx, stop) // from then on a second signal ends the process at once
	program := &daemon.Program{Out: os.Stdout, Err: os.Stderr}
	os.Exit(program.Run(ctx, os.Args[1:]))
}
