package forecast

import "time"

// load.go predicts how long an adapter takes to load.

const (
	// firstPollAt is the part of the usual time after which a load is polled first, and pollsEach how many polls go
	// into the usual time from then on.
	firstPollAt = 0.9
	pollsEach   = 8
	// leastPause and mostPause bound the time between two polls: each is a call to the upstream, and a request waits.
	leastPause = 8 * time.Millisecond
	mostPause  = 100 * time.Millisecond
	// shorten is what is left of the usual time when a load was done at the first poll: it may have been done long
	// before.
	shorten = 0.85
	// lengthen is the weight of a load that took longer.
	lengthen = 0.5
)

// LoadTime predicts loads whose end nobody announces, so that the upstream has to be polled for it. Set Guess, what counts
// until one was seen. It is not safe for use by several goroutines.
type LoadTime struct {
	InitialEstimate time.Duration

	usual time.Duration
}

// Expected is how long a load takes.
func (l *LoadTime) Expected() time.Duration {
	if l.usual == 0 {
		return l.InitialEstimate
	}
	return l.usual
}

// HasMeasurement tells whether any load was seen.
func (l *LoadTime) HasMeasurement() bool { return l.usual > 0 }

// FirstPollDelay is how long after its order a load is polled first.
func (l *LoadTime) FirstPollDelay() time.Duration {
	return time.Duration(firstPollAt * float64(l.Expected()))
}

// PollInterval is the pause until the next poll.
func (l *LoadTime) PollInterval() time.Duration {
	return min(max(l.Expected()/pollsEach, leastPause), mostPause)
}

// Observe takes note of a load that was found done some time after its order, at the first poll or a later one.
func (l *LoadTime) Observe(took time.Duration, firstPoll bool) {
	usual := l.Expected()
	if firstPoll {
		l.usual = min(usual, max(time.Duration(shorten*float64(usual)), time.Millisecond))
		return
	}
	l.usual = usual + time.Duration(lengthen*float64(took-usual))
}
