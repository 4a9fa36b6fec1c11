package origin_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/placement/origin"
)

// Guards against a stream whose origin is forgotten before its caller resumes it, because a configuration has shortened the
// timeout of its route since it began.
func TestStreamsKeepTheLifetimeOfTheirConfiguration(t *testing.T) {
	const long, middle, short = 20 * time.Second, 10 * time.Second, 6 * time.Second
	for _, c := range []struct {
		name    string
		history func(l *origin.Lifetimes)
		longest time.Duration
	}{
		{"no configuration", func(*origin.Lifetimes) {}, 0},
		{"one configuration", func(l *origin.Lifetimes) { l.Set(time.Now(), short) }, short},
		{"lengthened", func(l *origin.Lifetimes) {
			l.Set(time.Now(), short)
			l.Set(time.Now(), long)
		}, long},
		{"shortened, and the last stream may be resumed", func(l *origin.Lifetimes) {
			l.Set(time.Now(), long)
			time.Sleep(time.Hour)
			l.Set(time.Now(), short)
			time.Sleep(long - time.Millisecond)
		}, long},
		{"shortened, and the last stream has ended", func(l *origin.Lifetimes) {
			l.Set(time.Now(), long)
			l.Set(time.Now(), short)
			time.Sleep(long)
		}, short},
		{"shortened in steps", func(l *origin.Lifetimes) {
			l.Set(time.Now(), long)
			l.Set(time.Now(), middle)
			time.Sleep(long - middle/2)
			l.Set(time.Now(), short)
			time.Sleep(middle - time.Millisecond)
		}, middle},
		{"shortened for a moment again and again", func(l *origin.Lifetimes) {
			for range 3 {
				l.Set(time.Now(), long)
				time.Sleep(short)
				l.Set(time.Now(), short)
				time.Sleep(short)
			}
			time.Sleep(long - short - time.Millisecond)
		}, long},
		{"no streams for a moment", func(l *origin.Lifetimes) {
			l.Set(time.Now(), long)
			l.Set(time.Now(), 0)
			time.Sleep(short)
			l.Set(time.Now(), short)
			time.Sleep(short)
		}, long},
		{"no streams any more", func(l *origin.Lifetimes) {
			l.Set(time.Now(), long)
			l.Set(time.Now(), 0)
			time.Sleep(long)
		}, 0},
		{"a longer one was in force before the start", func(l *origin.Lifetimes) {
			l.Extend(time.Now(), long)
			l.Set(time.Now(), short)
			time.Sleep(long - time.Millisecond)
		}, long},
		{"a shorter one was in force before the start", func(l *origin.Lifetimes) {
			l.Extend(time.Now(), short)
			l.Set(time.Now(), long)
		}, long},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var lifetimes origin.Lifetimes
				c.history(&lifetimes)
				is.Equal(lifetimes.Longest(time.Now()), c.longest)
			})
		})
	}
}

// Guards against a stream that is forgotten while its caller waits, and against lifetimes that callers choose freely: each
// change of the longest one is written to the store.
func TestLifetimeOfCallersThatWait(t *testing.T) {
	for _, c := range []struct {
		waits    time.Duration
		lifetime time.Duration
	}{
		{0, 0},
		{time.Millisecond, 10 * time.Second},
		{10 * time.Second, 10 * time.Second},
		{14983 * time.Millisecond, 20 * time.Second},
		{15 * time.Second, 20 * time.Second},
		{origin.MaxLifetime - time.Millisecond, origin.MaxLifetime},
		{24 * time.Hour, origin.MaxLifetime},
	} {
		is := is.New(t)
		is.Equal(origin.LifetimeOf(c.waits), c.lifetime)
	}
}
