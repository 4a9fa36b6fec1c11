// Package call is a caller's request as the instance passes it on: an opaque body with the facts that
// decide where it may go. Which headers carry these facts is a Dialect's business.
package call

import (
	"net/http"
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// Call is one send of a caller. Its body, path and remaining headers pass unchanged.
type Call struct {
	// ID is the caller's own, a new one for each send.
	ID     string
	Method string
	Host   string
	// Target is the path and query as sent, Path only the path.
	Target string
	Path   string
	// Header is what passes on, without what concerns one connection, the key and what only the
	// instance may state.
	Header http.Header
	Body   []byte
	// Key is the caller's secret; it goes nowhere.
	Key string
	// Received is when the request's headers were read; Patience is how long the caller waits from then,
	// 0 if it does not say.
	Received      time.Time
	CallerTimeout time.Duration
	Generation    Generation
	// LastEventID is the id of the last event the caller has of an earlier stream; empty if none.
	LastEventID string
}

// Generation is the size of a generation.
type Generation struct {
	// Adapter is empty for requests that no model answers.
	Adapter traffic.Adapter
	// PromptTokens and OutputTokens (the most that are wanted) are stated if TokensStated.
	TokensStated bool
	PromptTokens int
	OutputTokens int
	// Prompt lists the parts of the prompt in order; requests share parts.
	Prompt []Part
}

// Part is a piece of a prompt that other requests may have in common.
type Part struct {
	ID     string
	Tokens int
}

// Cost is what the call takes of its workspace's rate.
func (c Call) Cost(workspace traffic.Workspace) float64 {
	if !workspace.ByTokens {
		return 1
	}
	if !c.Generation.TokensStated {
		return workspace.DefaultCost
	}
	return float64(c.Generation.PromptTokens + c.Generation.OutputTokens)
}

// Attempt is what one send to an upstream states besides the call.
type Attempt struct {
	// Upstream is the only one that may run it.
	Upstream string
	// Workspace is empty on routes that need no key.
	Workspace string
	// Remaining is the time the upstream has.
	Remaining time.Duration
	Priority  int
	// Version of the adapter, if the upstream has to check it; 0 if not.
	Version int64
	// LastEventID is the id after which a stream goes on.
	LastEventID string
}

// ResponseInfo is what an upstream's answer states in its headers.
type ResponseInfo struct {
	// ID is the request that the answer belongs to.
	ID string
	// NotRun: the upstream promises that the request did not run.
	NotRun bool
	// Misdirected: another upstream has the address now, or it lacks the model or version.
	Misdirected bool
	// Signed: the answer bears the upstream's signature.
	Signed bool
	// Load is what the upstream had to do when it answered; zero if it does not state that.
	Load UpstreamLoad
}

// UpstreamLoad is what an upstream states of its own load.
type UpstreamLoad struct {
	// Running and Waiting are requests, Places how many run at once.
	Running    int
	Waiting    int
	BatchSlots int
}

// Dialect maps between HTTP messages and calls.
type Dialect interface {
	// Decode reads all but the body. It keeps no reference to the request's headers.
	Decode(request *http.Request) (Call, error)
	// RequestHeader is what a send states, added to the call's own headers.
	RequestHeader(c Call, send Attempt) http.Header
	// ParseResponse reads an upstream's answer.
	ParseResponse(response *http.Response) ResponseInfo
	// SetRefusalHeader writes the headers of an instance's own answer.
	SetRefusalHeader(header http.Header, id string, retryAfter time.Duration)
}
