package forecast

import "time"

// load.go foretells how long an adapter takes to load.

const (
	// early is the part of the usual time after which a load is looked at first, often what part of it passes
	// until the next look.
	early = 0.9
	often = 8
	// leastPause and mostPause bound the time between two looks: each is a call to the upstream, and a request waits.
	leastPause = 8 * time.Millisecond
	mostPause  = 100 * time.Millisecond
	// shorten is what is left of the usual time when a load was done at the first look: it may have been done long
	// before.
	shorten = 0.85
	// lengthen is the weight of a load that took longer.
	lengthen = 0.5
)

// Load foretells loads that nobody announces: whether one is done is only seen by looking. Set Guess, what counts
// until one was seen. It is not safe for use by several goroutines.
type Load struct {
	Guess time.Duration

	usual time.Duration
}

// Usual is how long a load takes.
func (l *Load) Usual() time.Duration {
	if l.usual == 0 {
		return l.Guess
	}
	return l.usual
}

// Seen tells whether any load was seen.
func (l *Load) Seen() bool { return l.usual > 0 }

// FirstLook is how long after its order a load is worth looking at.
func (l *Load) FirstLook() time.Duration { return time.Duration(early * float64(l.Usual())) }

// NextLook is the pause until the next look.
func (l *Load) NextLook() time.Duration {
	return min(max(l.Usual()/often, leastPause), mostPause)
}

// Done takes note of a load that was found done some time after its order, at the first look or a later one.
func (l *Load) Done(took time.Duration, firstLook bool) {
	usual := l.Usual()
	if firstLook {
		l.usual = min(usual, max(time.Duration(shorten*float64(usual)), time.Millisecond))
		return
	}
	l.usual = usual + time.Duration(lengthen*float64(took-usual))
}
