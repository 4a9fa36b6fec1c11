// Package api is the HTTP server that callers speak to: the completion API, the list of models and
// the plain services. It reads and checks requests, hands them to the pipeline, and writes answers
// and refusals; it decides nothing about admission or placement.
package api

import (
	"context"
	"time"

	"lacewingrock.example/lacewingrock/internal/caller/completion"
	"lacewingrock.example/lacewingrock/internal/caller/stream"
	"lacewingrock.example/lacewingrock/internal/upstream/service"
)

// Identity is whom a key speaks for. Key is the key's name, never its secret.
type Identity struct {
	Workspace string
	Key       string
}

// Model is one adapter or adapter version that a workspace may ask for.
type Model struct {
	Name    string
	Owner   string
	Created time.Time
}

// Served names what runs a completion: Model is "adapter@version".
type Served struct {
	Model string
}

// ServiceCall is a call of the plain service Service. Call.Path is relative to it and Call.Header
// holds only what may go on: no credentials and no hop-by-hop headers.
type ServiceCall struct {
	Service string
	Call    service.Call
}

// Sink receives a completion's events as they come, without the ending [DONE]; tokens is the number
// generated so far. Begin comes once, before the first event. After Begin nothing may be repeated at
// another upstream unless it goes on exactly where the sink stands. Errors mean the caller is gone.
type Sink interface {
	Begin(served Served) error
	Event(event stream.Event, tokens int) error
}

// Pipeline carries out what callers ask. Errors hold a refusal.Refusal.
type Pipeline interface {
	// Authenticate checks a key's secret now.
	Authenticate(secret string) (Identity, error)
	// Models lists what the identity's workspace may ask for.
	Models(identity Identity) ([]Model, error)
	// Complete runs a completion. It returns nil only when the sink has received the whole stream.
	Complete(ctx context.Context, identity Identity, request completion.Request, sink Sink) error
	// Call calls a plain service.
	Call(ctx context.Context, identity Identity, call ServiceCall) (service.Response, error)
}
