// Package call defines a caller's request as the instance forwards it: an opaque body and the facts that decide which
// upstreams may run it. A Dialect maps these facts to HTTP headers.
package call

import (
	"context"
	"net/http"
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// Call is one request of a caller. The body, the path and the remaining headers are forwarded unchanged.
type Call struct {
	// ID is set by the caller; each retry of the caller has a new one.
	ID     string
	Method string
	Host   string
	// Target is the path and query as received, Path only the path.
	Target string
	Path   string
	// Header holds the headers to forward, without hop-by-hop headers, the key and the headers that only the instance
	// may set.
	Header http.Header
	Body   []byte
	// Key is the caller's API key. It is not forwarded.
	Key string
	// Received is when the request's headers were read. CallerTimeout is how long the caller waits from then, 0 if it
	// states no limit.
	Received      time.Time
	CallerTimeout time.Duration
	Generation    Generation
	// LastEventID is the id of the last event that the caller received of an earlier stream; empty if there was none.
	LastEventID string
	// Resumes is the id of the call that brought the first event of the stream that this call resumes; empty if it resumes
	// none.
	Resumes string
}

// Generation describes what a request asks a model to generate: the model or adapter, and the token counts.
type Generation struct {
	// Adapter is empty for requests that need no model.
	Adapter traffic.Adapter
	// PromptTokens and OutputTokens (the maximum to generate) are valid only if TokensStated is true.
	TokensStated bool
	PromptTokens int
	OutputTokens int
	// Prompt lists the parts of the prompt in order. Requests may have parts in common.
	Prompt []Part
}

// SharedParts returns the parts of the prompt that other requests may have as well. The last one is the request's or its
// session's own.
func (g Generation) SharedParts() []Part {
	return g.Prompt[:max(len(g.Prompt)-1, 0)]
}

// Part is a piece of a prompt that other requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Cost returns how many units the call takes from its workspace's rate limit.
func (c Call) Cost(workspace traffic.Workspace) float64 {
	if !workspace.ByTokens {
		return 1
	}
	if !c.Generation.TokensStated {
		return workspace.DefaultCost
	}
	return float64(c.Generation.PromptTokens + c.Generation.OutputTokens)
}

// Attempt holds what one attempt to send a call to an upstream states besides the call.
type Attempt struct {
	// Upstream is the id of the only upstream that may run the request.
	Upstream string
	// Workspace is empty on routes that need no key.
	Workspace string
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	Priority  int
	// Version is the adapter version that the upstream must check; 0 if it must not check any.
	Version int64
	// LastEventID is the id of the event after which the stream is resumed.
	LastEventID string
}

// ResponseInfo is the information in the headers of an upstream's response.
type ResponseInfo struct {
	// ID is the id of the request that the response belongs to.
	ID string
	// NotRun: the upstream guarantees that the request did not run.
	NotRun bool
	// Misdirected: another upstream has the address now, or the upstream lacks the model or version.
	Misdirected bool
	// Signed: the response carries the upstream's signature.
	Signed bool
	// RetryAfter is how long the upstream, which refused the request, wants no more of them from this instance; 0 if it
	// states nothing.
	RetryAfter time.Duration
	// Leaving: the sender of the response takes no new requests and will end.
	Leaving bool
	// Brittle: the upstream states that it falls over if it has to reject more than Rejections requests in a second.
	Brittle    bool
	Rejections int
	// Load is the load that the upstream reported with the response; zero if it reported none.
	Load UpstreamLoad
	// Limit is what the upstream states of the requests that it takes from all instances together.
	Limit Limit
}

// Limit is what a response says of its upstream's limit: NoLimit, RateLimit or UnreadableLimit.
type Limit interface{ isLimit() }

// NoLimit means that the response states none.
type NoLimit struct{}

// RateLimit is the number of requests in a second.
type RateLimit struct{ PerSecond float64 }

// UnreadableLimit means that what the response states is no number of requests.
type UnreadableLimit struct{}

func (NoLimit) isLimit()         {}
func (RateLimit) isLimit()       {}
func (UnreadableLimit) isLimit() {}

// UpstreamLoad is the load that an upstream reports about itself.
type UpstreamLoad struct {
	// Running and Waiting count requests. BatchSlots is how many requests run at once.
	Running    int
	Waiting    int
	BatchSlots int
	// Pace is how long work takes at this moment, 1 for as usual and more for slower; 0 if it is not stated.
	Pace float64
}

type idKey struct{}

// WithID returns a context that carries the id of a call, for the log lines of what is done for it.
func WithID(ctx context.Context, id string) context.Context {
	return context.WithValue(ctx, idKey{}, id)
}

// IDOf returns the id of the call that something is done for, empty if it is done for none.
func IDOf(ctx context.Context) string {
	id, _ := ctx.Value(idKey{}).(string)
	return id
}

// Dialect maps between HTTP messages and calls.
type Dialect interface {
	// Decode reads all but the body. It keeps no reference to the request's headers.
	Decode(request *http.Request) (Call, error)
	// RequestHeader returns the headers of an attempt: the call's own and those that the attempt adds.
	RequestHeader(c Call, attempt Attempt) http.Header
	// ParseResponse reads the headers of an upstream's response.
	ParseResponse(response *http.Response) ResponseInfo
	// SetRefusalHeader sets the headers of a response that the instance generates itself.
	SetRefusalHeader(header http.Header, id string, retryAfter time.Duration)
}
