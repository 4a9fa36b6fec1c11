// Package api implements the HTTP server for callers: the completion API, the list of models and the plain services.
// It reads and validates requests, passes them to the pipeline, and writes answers and refusals. It does not decide
// on admission or placement.
package api

import (
	"context"
	"time"

	"lacewingrock.example/lacewingrock/internal/caller/completion"
	"lacewingrock.example/lacewingrock/internal/caller/stream"
	"lacewingrock.example/lacewingrock/internal/upstream/service"
)

// Identity is the workspace that a key belongs to. Key is the name of the key, never its secret.
type Identity struct {
	Workspace string
	Key       string
}

// Model is an adapter or adapter version that a workspace may request.
type Model struct {
	Name    string
	Owner   string
	Created time.Time
}

// Served identifies what runs a completion: Model is "adapter@version".
type Served struct {
	Model string
}

// ServiceCall is a call of the plain service Service. Call.Path is relative to the service, and Call.Header contains
// only headers that may be forwarded: no credentials and no hop-by-hop headers.
type ServiceCall struct {
	Service string
	Call    service.Call
}

// Sink receives the events of a completion as they arrive, without the final [DONE] event. tokens is the number of
// tokens generated so far. Begin is called once, before the first event. After Begin the request may only be repeated
// at another upstream if that continues exactly at the sink's position. An error means that the caller has
// disconnected.
type Sink interface {
	Begin(served Served) error
	Event(event stream.Event, tokens int) error
}

// Pipeline runs callers' requests. Its errors contain a refusal.Refusal.
type Pipeline interface {
	// Authenticate checks the secret of a key against the current configuration.
	Authenticate(secret string) (Identity, error)
	// Models lists the models that the identity's workspace may request.
	Models(identity Identity) ([]Model, error)
	// Complete runs a completion. It returns nil only if the sink has received the complete stream.
	Complete(ctx context.Context, identity Identity, request completion.Request, sink Sink) error
	// Call calls a plain service.
	Call(ctx context.Context, identity Identity, call ServiceCall) (service.Response, error)
}
