// Package route chooses an upstream for a request at an entry instance, from what the holders tell of
// their upstreams in heartbeats. The choice is a guess: the upstream's holder has the last word. It
// decides without sockets; the caller reads the runtime's clock and passes the time in, so that the
// measuring program can drive the same code on a simulated clock.
package route

import (
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/placement/model"
)

// ErrNoUpstream tells that no upstream of the base model may get work now.
var ErrNoUpstream = errors.New("route: no upstream takes work")

// Summary is what a holder told of its upstream. At is when that was true, by this instance's clock:
// the time the heartbeat was asked for.
type Summary struct {
	Upstream   string
	Epoch      int64
	FreePlaces int
	Backlog    time.Duration
	Resident   []model.Reference
	Healthy    bool
	// Coldest is the recent demand, in requests, of the version that the next load there evicts.
	Coldest float64
	At      time.Time
}

// Query describes the request to be placed. Cost is its expected tokens. Exclude names upstreams that
// were tried before.
type Query struct {
	Model     model.Reference
	BaseModel string
	Cost      float64
	Deadline  time.Time
	Exclude   []string
}

// Reason names the rule that decided, for logs and measurements.
type Reason string

// The rules of a Choice.
const (
	// ReasonResident: the version is loaded there and the wait is the shortest of those.
	ReasonResident Reason = "resident"
	// ReasonHome: the version is loaded nowhere within reach, and this is its rendezvous home.
	ReasonHome Reason = "home"
	// ReasonSpill: the home or the resident ones are busy, and a load elsewhere is sooner.
	ReasonSpill Reason = "spill"
	// ReasonProbe: the upstream has failed and is tried with one request.
	ReasonProbe Reason = "probe"
)

// Choice is the upstream to ask for a place. Expected is the time until dispatch as far as known.
type Choice struct {
	Upstream  string
	Reason    Reason
	Expected  time.Duration
	NeedsLoad bool
}

// Outcome is how a request that was sent to an upstream ended there. Took is from dispatch to the
// last token.
type Outcome struct {
	Upstream string
	Tokens   float64
	Took     time.Duration
	Failed   bool
}

// Settings of a Router.
type Settings struct {
	// ExpectedLoad is how long a load is expected to take, the wait for a permit included.
	ExpectedLoad time.Duration
	// LoadPrice is added to the expected time of a choice that needs a load while the weight store is
	// fully used: what the load costs the others who wait for it. A higher price means fewer loads and
	// longer queues.
	LoadPrice time.Duration
	// LoadRate is the loads a second that the weight store allows the whole fleet. The price of a load
	// rises with the square of the share of it that is in use.
	LoadRate float64
	// StaleAfter is the age at which a summary is not used any more.
	StaleAfter time.Duration
	// ProbeInterval is the time between two requests to an upstream that has failed.
	ProbeInterval time.Duration
	// TokenTime is how long one token is expected to take until measured.
	TokenTime time.Duration
}

// DefaultSettings for today's sizes.
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
