package suspect_test

// Prompt parts of different requests that were in flight at the same crashes.

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
)

// Guards against sound callers that are refused beside a bad part: while nothing completes, a sound part is in flight at the same three
// crashes by chance, in as many requests or in fewer that were sent to several upstreams.
func TestSoundPartInFlightAtTheSameCrashesIsNotRefused(t *testing.T) {
	bad, sound := parts("first", "bad"), parts("first", "sound")
	tests := []struct {
		name string
		// requests are the sound ones in flight at each crash.
		requests [][]string
	}{
		{"another request each time", [][]string{{"a"}, {"b"}, {"c"}}},
		{"one request that was sent to two upstreams", [][]string{{"a"}, {"a"}, {"b"}}},
		{"two callers", [][]string{{"a", "b"}, {"b", "c"}, {"c"}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				u := &upstreams{tracker: newTracker()}
				for crash, requests := range tt.requests {
					u.crashBeside(fmt.Sprint("bad ", crash), bad, sound, requests...)
				}
				time.Sleep(settled)
				is.True(partVerdict(u.tracker, sound...) != suspect.Refused)
				u.crash(bad)
				time.Sleep(settled)
				is.Equal(partVerdict(u.tracker, bad...), suspect.Refused)
				is.True(partVerdict(u.tracker, sound...) != suspect.Refused)
			})
		})
	}
}

// Guards against a bad part that is never refused because a sound one is in flight at all of its crashes.
func TestBadPartWithARivalIsRefused(t *testing.T) {
	const callers, crashes, most = 6, 6, 0
	bad, sounds := parts("first", "bad"), [][]suspect.Fingerprint{parts("first", "sound"), parts("first", "other")}
	missed := 0
	for seed := range uint64(100) {
		synctest.Test(t, func(*testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			u := &upstreams{tracker: newTracker()}
			for crash := range crashes {
				life := u.begin(fmt.Sprint("bad ", crash), bad)
				for caller := range callers {
					prompt := sounds[caller%len(sounds)]
					if random.IntN(2) == 0 && partVerdict(u.tracker, prompt...) != suspect.Refused {
						u.beginAt(life, fmt.Sprint("sound ", caller, (crash+caller)/2), prompt)
					}
				}
				u.tracker.RecordEnd(time.Now(), life)
				time.Sleep(settled)
			}
			if partVerdict(u.tracker, bad...) != suspect.Refused {
				missed++
			}
		})
	}
	if missed > most {
		t.Errorf("not refused in %d of 100 cases", missed)
	}
}

// Guards against a bad part that is let run because a part of other requests was in flight at the same crashes, and a further one does
// not count yet: the two were refused together only, and no request has both.
func TestPartsOfDifferentRequestsAreRefusedApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		bad, sound := parts("first", "bad"), parts("first", "sound")
		u := &upstreams{tracker: newTracker()}
		for crash := range 5 {
			u.crashBeside(fmt.Sprint("bad ", crash), bad, sound, fmt.Sprint("sound ", crash))
		}
		time.Sleep(settled)
		is.Equal(partVerdict(u.tracker, bad...), suspect.Refused)
		u.crashBeside("bad 6", bad, sound, "sound 6")
		is.Equal(partVerdict(u.tracker, bad...), suspect.Refused)
	})
}

// crashBeside ends an upstream under a request, and under others with another prompt.
func (u *upstreams) crashBeside(content string, prompt, other []suspect.Fingerprint, others ...string) {
	life := u.begin(content, prompt)
	for _, one := range others {
		u.beginAt(life, one, other)
	}
	u.tracker.RecordEnd(time.Now(), life)
}

// begin starts an upstream and has a request in flight there.
func (u *upstreams) begin(content string, prompt []suspect.Fingerprint) traffic.Life {
	time.Sleep(apart)
	u.lives++
	life := traffic.Life{Upstream: fmt.Sprint("u", u.lives), StartedMillis: u.lives}
	u.beginAt(life, content, prompt)
	return life
}

func (u *upstreams) beginAt(life traffic.Life, content string, prompt []suspect.Fingerprint) {
	u.tracker.RecordUnfinished(time.Now(), life, suspect.Attempt{Fingerprint: suspect.Fingerprint(content), Parts: prompt, Began: time.Now()})
}

// Guards against a bad part whose requests come all at once: the upstreams that it ends at one time counted as one crash, so that it had
// to end all of them three times.
func TestPartOfManyRequestsThatEndUpstreamsAtOneTime(t *testing.T) {
	bad, sound := parts("first", "bad"), parts("first", "sound")
	tests := []struct {
		name    string
		upTo    int // upstreams that end
		content string
		before  func(u *upstreams)
		verdict suspect.Verdict
	}{
		{"others completed before", 7, "", func(u *upstreams) { u.complete(sound) }, suspect.Refused},
		{"nothing completed before", 7, "", func(*upstreams) {}, suspect.Free},
		{"few upstreams end", 4, "", func(u *upstreams) { u.complete(sound) }, suspect.Free},
		{"one request that came to all of them", 7, "again", func(u *upstreams) { u.complete(sound) }, suspect.Free},
		{"it completed too", 7, "", func(u *upstreams) {
			u.complete(sound)
			u.complete(bad)
		}, suspect.Free},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := &upstreams{tracker: newTracker()}
				tt.before(u)
				time.Sleep(time.Second)
				for range tt.upTo {
					u.crashUnder(tt.content, bad)
					time.Sleep(time.Millisecond)
				}
				time.Sleep(settled)
				is.New(t).Equal(partVerdict(u.tracker, bad...), tt.verdict)
			})
		})
	}
}
