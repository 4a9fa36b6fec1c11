// Package forecast predicts how long the upstreams of a service take, from the answers that this instance has measured.
// Nothing about an engine, a service or a weight store is configured. The initial values count about as little as a
// single short answer, and some tens of answers outweigh them.
//
// The caller supplies the load that each request found at its upstream. The package uses no sockets and no clock.
package forecast

import "time"

// Initial values, used until answers have been measured.
const (
	// The initial estimates of the time to load an adapter: from the weight store, and at an upstream that had it
	// recently.
	InitialLoadTime   = 300 * time.Millisecond
	InitialReloadTime = 30 * time.Millisecond

	initialBase        = 25 * time.Millisecond
	initialPerToken    = 50 * time.Microsecond
	initialPerRunning  = 2 * time.Millisecond
	initialServiceTime = 40 * time.Millisecond
)

// Backlog is the load that a request finds at its upstream when it is sent.
type Backlog struct {
	// Prefill is the number of prompt tokens of earlier requests without a first event. Running is the number of
	// requests that are running.
	Prefill int
	Running int
}
