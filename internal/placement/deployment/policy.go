// Package deployment puts the settings of the deciding packages together into one policy. Deployments
// differ by the values, never by the code.
package deployment

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/placement/broker"
	"lacewingrock.example/lacewingrock/internal/placement/holder"
	"lacewingrock.example/lacewingrock/internal/placement/retry"
	"lacewingrock.example/lacewingrock/internal/placement/route"
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
)

// Policy is all that an operator can set about placement.
type Policy struct {
	Name    string
	Holder  holder.Settings
	Route   route.Settings
	Broker  broker.Settings
	Suspect suspect.Settings
	// RetryRatio is the share of first tries that an instance may repeat.
	RetryRatio float64
	// RetryMost is how many unused retries are kept.
	RetryMost float64
}

// Default is the policy of a deployment that says nothing.
func Default() Policy {
	return Policy{
		Name:       "default",
		Holder:     holder.DefaultSettings(),
		Route:      route.DefaultSettings(),
		Broker:     broker.DefaultSettings(),
		Suspect:    suspect.DefaultSettings(),
		RetryRatio: retry.DefaultRatio,
		RetryMost:  retry.DefaultMaxUnused,
	}
}

// BlueMountain weighs load stalls and the worst-served workspace most. A high price of a load means
// fewer loads, and callers queue behind a loaded version instead; queues are kept short, so that a
// request that cannot be served in time is told so while its caller can still act. It costs some
// efficiency in a flood.
func BlueMountain() Policy {
	p := Default()
	p.Name = "blue-mountain"
	p.Holder.LongestBacklog = 10 * time.Second
	p.Route.LoadPrice = 12 * time.Second
	return p
}

// Hellenic weighs batch efficiency and wrongful refusals most. Its callers can wait, so queues are
// long and nobody is refused for a queue that a minute clears; a lower price of a load uses places of
// other upstreams sooner. It costs more loads, and stalls.
func Hellenic() Policy {
	p := Default()
	p.Name = "hellenic"
	p.Holder.LongestBacklog = time.Minute
	p.Route.LoadPrice = 6 * time.Second
	return p
}
