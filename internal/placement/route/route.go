// Package route chooses an upstream for a request at an entry instance, from the summaries that holders send in
// heartbeats. The choice is an estimate: the holder of the upstream makes the final decision. The package uses no
// sockets. The caller reads the runtime's clock and passes the time in, so that the measuring program can run the
// same code on a simulated clock.
package route

import (
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/placement/model"
)

// ErrNoUpstream is returned if no upstream of the base model accepts requests.
var ErrNoUpstream = errors.New("route: no upstream takes work")

// Summary is the state of an upstream as reported by its holder. At is when it was valid, by the clock of this
// instance: the time at which the heartbeat was requested.
type Summary struct {
	Upstream   string
	Epoch      int64
	FreePlaces int
	Backlog    time.Duration
	Resident   []model.Reference
	Healthy    bool
	// Coldest is the recent demand, in requests, for the version that the next load at the upstream evicts.
	Coldest float64
	At      time.Time
}

// Query describes the request to be placed. Cost is its expected number of tokens. Exclude lists upstreams that were
// tried before.
type Query struct {
	Model     model.Reference
	BaseModel string
	Cost      float64
	Deadline  time.Time
	Exclude   []string
}

// Reason is the rule that decided a choice, for logs and measurements.
type Reason string

// The reasons for a Choice.
const (
	// ReasonResident: the version is loaded there, and the wait is the shortest among such upstreams.
	ReasonResident Reason = "resident"
	// ReasonHome: the version is loaded on no eligible upstream, and this is its home on the hash ring.
	ReasonHome Reason = "home"
	// ReasonSpill: the home or the upstreams with the version loaded are busy, and a load elsewhere is faster.
	ReasonSpill Reason = "spill"
	// ReasonProbe: the upstream has failed, and one request is sent as a probe.
	ReasonProbe Reason = "probe"
)

// Choice is the upstream to request a batch slot from. Expected is the estimated time until dispatch.
type Choice struct {
	Upstream  string
	Reason    Reason
	Expected  time.Duration
	NeedsLoad bool
}

// Outcome is the result of a request that was sent to an upstream. Took is the time from dispatch to the last token.
type Outcome struct {
	Upstream string
	Tokens   float64
	Took     time.Duration
	Failed   bool
}

// Settings of a Router.
type Settings struct {
	// ExpectedLoad is the expected duration of a load, including the wait for a permit.
	ExpectedLoad time.Duration
	// LoadPrice is the penalty on a choice that needs a load while the weight store is fully used: the delay of the
	// others that wait for it. A higher price means fewer loads and longer queues.
	LoadPrice time.Duration
	// LoadRate is the number of loads a second that the weight store allows the whole fleet. The price of a load rises
	// with the square of the utilization of this rate.
	LoadRate float64
	// StaleAfter is the age at which a summary is no longer used.
	StaleAfter time.Duration
	// ProbeInterval is the time between two probes of an upstream that has failed.
	ProbeInterval time.Duration
	// TokenTime is the expected time per token until it is measured.
	TokenTime time.Duration
}

// DefaultSettings returns the settings for current fleet sizes.
func DefaultSettings() Settings {
	return Settings{
		ExpectedLoad:  500 * time.Millisecond,
		LoadPrice:     4 * time.Second,
		LoadRate:      2,
		StaleAfter:    5 * time.Second,
		ProbeInterval: 2 * time.Second,
		TokenTime:     20 * time.Millisecond,
	}
}
