// Package forecast learns how long the upstreams of a service take, from the answers that an instance sees, and
// predicts the next one. Nothing about an engine, a service or a weight store has to be set beforehand: what is
// written here as a guess counts as little as a single answer, and is forgotten within some tens of them.
//
// The caller tells what was under way when each request was sent; the package needs no sockets and no clock.
package forecast

import "time"

// Guesses count until some answers were seen.
const (
	// InitialLoadTime and GuessReload are what loading an adapter takes, from the weight store and where the upstream had it
	// lately.
	InitialLoadTime   = 300 * time.Millisecond
	InitialReloadTime = 30 * time.Millisecond

	guessBase    = 25 * time.Millisecond
	guessToken   = 50 * time.Microsecond
	guessRunning = 2 * time.Millisecond
	guessAnswer  = 40 * time.Millisecond
)

// Backlog is what a request finds at its upstream when it is sent there.
type Backlog struct {
	// Prefill is the prompt tokens of requests before it without a first event, Running the requests that run there.
	Prefill int
	Running int
}
