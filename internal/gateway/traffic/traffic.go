// Package traffic defines what operators and upstreams declare about the requests that an instance forwards: routes,
// services, workspaces, the limits of callers, and the upstreams of the services. Values are immutable; a new
// declaration replaces the old one as a whole.
package traffic

import "time"

// Declaration is a Configuration, an Upstream or an AdapterVersion.
type Declaration interface{ isDeclaration() }

// Configuration is everything that operators declare. Version only increases.
type Configuration struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   CallerLimits
	// Workspaces is empty if callers need no key.
	Workspaces []Workspace
}

func (Configuration) isDeclaration() {}

// Execution states how often a request may run.
type Execution string

const (
	// Idempotent requests may run more than once.
	Idempotent Execution = "idempotent"
	// AtMostOnce requests run at most once.
	AtMostOnce Execution = "once"
	// Streaming requests are answered with a stream of events and run at most once, unless the stream is resumable.
	Streaming Execution = "streaming"
)

// Route assigns the requests of a host below a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Targets are the services that share the requests, by weight.
	Targets   []Target
	Execution Execution
	// Timeout is the maximum time that a request may take. Objective is the time within which a response, or the first
	// event of a stream, is on time.
	Timeout   time.Duration
	Objective time.Duration
	// MaxPause is the longest pause between two events of a stream that is on time.
	MaxPause time.Duration
	// Priority is the priority of the requests; 0 is the highest.
	Priority int
	// MaxAttempts is the maximum number of upstreams that one request may run at.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may continue at another upstream after the last event that was received.
	Resumable bool
}

// IsRepeatable reports whether a request of the route may run again after it may have run.
func (r Route) IsRepeatable() bool {
	return r.Execution == Idempotent || r.IsResumable()
}

// Target is a service and its weight in a route.
type Target struct {
	Service string
	Weight  int
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one upstream accepts from all clients together; 0 means not
	// stated.
	MaxConnections int
	// ColdRate is the number of requests a second that one upstream can take while it is cold, from all instances
	// together; 0 means not stated. ColdStart is how long it stays cold after its start.
	ColdRate  float64
	ColdStart time.Duration
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine states the capacity of the model engines of a service.
type Engine struct {
	BatchSlots int
	// MemoryTokens is the capacity for the prompts and outputs of running requests.
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

// CallerLimits bounds the size of callers' requests.
type CallerLimits struct {
	HeaderBytes int
	BodyBytes   int64
}

// Workspace is a customer account. Its keys share one rate limit.
type Workspace struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate, in units a second, and Burst, in units, limit the whole fleet; a rate of 0 means no limit.
	Rate  float64
	Burst float64
	// ByTokens: one unit is one token, and a request that states no tokens costs DefaultCost. Otherwise each
	// request costs 1 unit.
	ByTokens    bool
	DefaultCost float64
}

// Adapter identifies an adapter of a base model; an empty Name means the base model itself.
type Adapter struct {
	Model string
	Name  string
}

// String returns MODEL/NAME, or MODEL alone.
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

// Upstream is what an upstream declares about itself.
type Upstream struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	// Software is the version of the upstream's software, empty if it is unknown. What two versions write does not fit
	// together, and an unknown one may be any.
	Software   string
	BatchSlots int
	// Draining upstreams take no new requests.
	Draining bool
	// StartedMillis is the start time in Unix milliseconds. If it changes, the upstream has restarted and lost its
	// state.
	StartedMillis int64
	// ColdRemaining is how much longer the upstream stays cold, counted from when it wrote its entry. A cold upstream is
	// slow and must be sent few requests.
	ColdRemaining time.Duration
	// Models lists the models that were loaded when the upstream last reported them.
	Models []LoadedModel
}

func (Upstream) isDeclaration() {}

// Life identifies one life of an upstream, which may start again under its id.
type Life struct {
	Upstream      string
	StartedMillis int64
}

// Life returns the life of the upstream that wrote the declaration.
func (u Upstream) Life() Life { return Life{Upstream: u.ID, StartedMillis: u.StartedMillis} }

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
