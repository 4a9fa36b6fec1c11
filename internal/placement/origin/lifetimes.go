package origin

import "time"

// lifetimes.go bounds how long callers may resume streams. The configuration under which a stream began and the time for
// which its caller waits settle its lifetime: a configuration with shorter timeouts that comes later makes it no shorter.

const (
	// lifetimeStep is the step to which lifetimes that callers settle are rounded up. Each change of the longest one is
	// sent to all instances and written to the store.
	lifetimeStep = 10 * time.Second
	// MaxLifetime bounds the lifetimes that callers settle. Records are kept, and versions that have left count, for as long.
	MaxLifetime = 10 * time.Minute
)

// LifetimeOf returns the lifetime of a stream whose caller waits for some time from its request on.
func LifetimeOf(callerTimeout time.Duration) time.Duration {
	if callerTimeout >= MaxLifetime {
		return MaxLifetime
	}
	return (callerTimeout + lifetimeStep - 1).Truncate(lifetimeStep)
}

// Lifetimes gives the longest time from the first event of a stream until its caller resumes it, over all configurations
// under which a stream that is still resumable may have begun. The zero value knows no configuration. It is not safe for
// concurrent use.
type Lifetimes struct {
	current time.Duration
	earlier []earlierLifetime
}

// earlierLifetime is the lifetime of streams that may have begun before, and when the last of them ends.
type earlierLifetime struct {
	lifetime time.Duration
	until    time.Time
}

// Set records the lifetime of streams that begin from now on.
func (l *Lifetimes) Set(now time.Time, lifetime time.Duration) {
	previous := l.current
	l.current = lifetime
	l.Extend(now, previous)
}

// Extend records that streams with a lifetime may have begun until now.
func (l *Lifetimes) Extend(now time.Time, lifetime time.Duration) {
	if lifetime <= l.current {
		return
	}
	added := earlierLifetime{lifetime: lifetime, until: now.Add(lifetime)}
	kept := l.earlier[:0]
	for _, known := range l.earlier {
		covered := known.lifetime <= added.lifetime && !known.until.After(added.until)
		if !covered {
			kept = append(kept, known)
		}
	}
	l.earlier = append(kept, added)
}

// Current returns the lifetime of streams that begin under the configuration in force.
func (l *Lifetimes) Current() time.Duration { return l.current }

// Longest returns the longest lifetime of a stream that may still be resumed; 0 if none may.
func (l *Lifetimes) Longest(now time.Time) time.Duration {
	longest := l.current
	kept := l.earlier[:0]
	for _, known := range l.earlier {
		if !now.Before(known.until) {
			continue
		}
		kept = append(kept, known)
		longest = max(longest, known.lifetime)
	}
	l.earlier = kept
	return longest
}
