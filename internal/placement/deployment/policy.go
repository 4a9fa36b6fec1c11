// Package deployment combines the settings of the placement packages into one policy. Deployments differ in the
// values, never in the code.
package deployment

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/placement/broker"
	"lacewingrock.example/lacewingrock/internal/placement/holder"
	"lacewingrock.example/lacewingrock/internal/placement/retry"
	"lacewingrock.example/lacewingrock/internal/placement/route"
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
)

// Policy is all placement settings that an operator can change.
type Policy struct {
	Name    string
	Holder  holder.Settings
	Route   route.Settings
	Broker  broker.Settings
	Suspect suspect.Settings
	// RetryRatio is the ratio of retries to first attempts that an instance may make.
	RetryRatio float64
	// MaxSavedRetries is the maximum number of unused retries that are saved up.
	MaxSavedRetries float64
}

// Default is the policy of a deployment that configures none.
func Default() Policy {
	return Policy{
		Name:            "default",
		Holder:          holder.DefaultSettings(),
		Route:           route.DefaultSettings(),
		Broker:          broker.DefaultSettings(),
		Suspect:         suspect.DefaultSettings(),
		RetryRatio:      retry.DefaultRatio,
		MaxSavedRetries: retry.DefaultMaxUnused,
	}
}

// BlueMountain gives priority to few load stalls and to the worst-served workspace. A high cost of a load means
// fewer loads: callers queue for a loaded version instead. Queues are short, so that a request that cannot be
// served in time is refused while its caller can still act. The price is some batch efficiency during floods.
func BlueMountain() Policy {
	p := Default()
	p.Name = "blue-mountain"
	p.Holder.MaxBacklog = 10 * time.Second
	p.Route.LoadPrice = 12 * time.Second
	return p
}

// Hellenic gives priority to batch efficiency and to few wrongful refusals. Its callers can wait, so queues are
// long, and no request is refused because of a queue that drains within a minute. A lower cost of a load uses slots
// of other upstreams sooner. The price is more loads, and load stalls.
func Hellenic() Policy {
	p := Default()
	p.Name = "hellenic"
	p.Holder.MaxBacklog = time.Minute
	p.Route.LoadPrice = 6 * time.Second
	return p
}
