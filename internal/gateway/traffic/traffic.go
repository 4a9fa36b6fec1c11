// Package traffic is what operators and upstreams declare about the requests that an instance passes on:
// routes, services, workspaces, the limits of callers, and the upstreams behind the services. Values are
// immutable; a new declaration replaces the old one as a whole.
package traffic

import "time"

// Declaration is one declaration: a Configuration, an Upstream or an AdapterVersion.
type Declaration interface{ isDeclaration() }

// Configuration is all that operators declare. Version only rises.
type Configuration struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   CallerLimits
	// Workspaces is empty where callers need no key.
	Workspaces []Workspace
}

func (Configuration) isDeclaration() {}

// Execution says how often a request may run.
type Execution string

// The repetitions.
const (
	// Idempotent requests may run more than once.
	Idempotent Execution = "idempotent"
	// AtMostOnce requests run at most once.
	AtMostOnce Execution = "once"
	// Streaming requests are answered by events and run at most once, unless they may be resumed.
	Streaming Execution = "streaming"
)

// Route sends the requests of a host below a path to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Targets share the requests by weight.
	Targets   []Target
	Execution Execution
	// Timeout is the longest a caller may be kept waiting; Objective is the time within which an answer,
	// or the first event of a stream, is on time.
	Timeout   time.Duration
	Objective time.Duration
	// MaxPause between two events of a stream that is on time.
	MaxPause time.Duration
	// Priority is the rank of the requests, 0 first.
	Priority int
	// MaxAttempts is the most upstreams that one request may run at.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another upstream after the last event that arrived.
	Resumable bool
}

// IsRepeatable tells whether a request of the route may run again after it may have run.
func (r Route) IsRepeatable() bool {
	return r.Execution == Idempotent || r.Execution == Streaming && r.Resumable
}

// Target is a service with its share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Service is a group of upstreams that run the same.
type Service struct {
	Name string
	// MaxConnections is what one upstream takes from all callers together; 0 means not stated.
	MaxConnections int
	// ColdRate is the requests a second that one upstream bears while it is cold, from all instances together; 0 means
	// not stated. ColdStart is how long it stays cold after its start.
	ColdRate  float64
	ColdStart time.Duration
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine says what the model engines of a service have room for.
type Engine struct {
	BatchSlots int
	// MemoryTokens is the room for the prompts and answers of running requests.
	MemoryTokens int
	WeightsMB    float64
	AdapterSlots int
	Models       []Model
}

// Model is a base model that the engines of a service can load.
type Model struct {
	Name      string
	SizeMB    float64
	AdapterMB float64
	LoadTime  time.Duration
}

// CallerLimits bound what a caller may send.
type CallerLimits struct {
	HeaderBytes int
	BodyBytes   int64
}

// Workspace is a paying customer.
type Workspace struct {
	Name string
	Keys []string
	// Priority replaces that of the route where HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate, in units a second, and Burst, in units, hold over the whole fleet; a rate of 0 is no limit.
	Rate  float64
	Burst float64
	// ByTokens: units are tokens, and a request that states none costs PlainCost. Else each costs 1.
	ByTokens    bool
	DefaultCost float64
}

// Adapter names an adapter of a base model; an empty Name is the base model itself.
type Adapter struct {
	Model string
	Name  string
}

// String is MODEL/NAME, or MODEL alone.
func (a Adapter) String() string {
	if a.Name == "" {
		return a.Model
	}
	return a.Model + "/" + a.Name
}

// AdapterVersion declares the newest version of an adapter.
type AdapterVersion struct {
	Adapter Adapter
	Version int64
}

func (AdapterVersion) isDeclaration() {}

// Upstream is what an upstream says of itself.
type Upstream struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	BatchSlots int
	// Draining upstreams take no new requests.
	Draining bool
	// StartedMillis is the Unix millisecond of its start: an upstream with another one has forgotten everything.
	StartedMillis int64
	// ColdRemaining is how much longer it stated to be cold when it wrote its entry: slow, and to be sent little.
	ColdRemaining time.Duration
	// Models is what it had loaded when it last said so.
	Models []LoadedModel
}

func (Upstream) isDeclaration() {}

// LoadedModel is a base model in an upstream's memory, with its adapters.
type LoadedModel struct {
	Name     string
	Version  int64
	Adapters []LoadedAdapter
}

// LoadedAdapter is an adapter in an upstream's memory.
type LoadedAdapter struct {
	Name    string
	Version int64
}
