// Command lacewingctl is the operators' command-line client. See its help text. It is implemented in
// internal/command/control.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"lacewingrock.example/lacewingrock/internal/command/control"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	program := &control.Program{Environment: os.Getenv, In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
	code := program.Run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}
