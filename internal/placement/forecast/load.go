package forecast

import "time"

// load.go predicts how long an adapter takes to load.

const (
	// firstPollFraction is the fraction of the expected load time after which a load is polled first. pollsPerLoad is
	// the number of polls per expected load time from then on.
	firstPollFraction = 0.9
	pollsPerLoad      = 8
	// minPollInterval and maxPollInterval bound the poll interval: each poll is a call to the upstream, and a request
	// waits for the load.
	minPollInterval = 8 * time.Millisecond
	maxPollInterval = 100 * time.Millisecond
	// firstPollFactor scales the estimate down when a load was done at the first poll, as it may have been done long
	// before.
	firstPollFactor = 0.85
	// laterPollWeight is the weight of a load that was done at a later poll.
	laterPollWeight = 0.5
)

// LoadTime predicts the duration of loads whose end is not announced, so that the upstream has to be polled. It is not
// safe for concurrent use.
type LoadTime struct {
	// InitialEstimate is the estimate until the first load is measured. Set it before use.
	InitialEstimate time.Duration

	estimate time.Duration
}

// Expected returns the expected duration of a load.
func (l *LoadTime) Expected() time.Duration {
	if l.estimate == 0 {
		return l.InitialEstimate
	}
	return l.estimate
}

// HasMeasurement reports whether a load has been measured.
func (l *LoadTime) HasMeasurement() bool { return l.estimate > 0 }

// FirstPollDelay returns the delay from the load order to the first poll.
func (l *LoadTime) FirstPollDelay() time.Duration {
	return time.Duration(firstPollFraction * float64(l.Expected()))
}

// PollInterval returns the delay until the next poll.
func (l *LoadTime) PollInterval() time.Duration {
	return min(max(l.Expected()/pollsPerLoad, minPollInterval), maxPollInterval)
}

// Observe adds a measurement: the time from the load order to the poll that found the load done, and whether that was
// the first poll.
func (l *LoadTime) Observe(took time.Duration, firstPoll bool) {
	expected := l.Expected()
	if firstPoll {
		l.estimate = min(expected, max(time.Duration(firstPollFactor*float64(expected)), time.Millisecond))
		return
	}
	l.estimate = expected + time.Duration(laterPollWeight*float64(took-expected))
}
