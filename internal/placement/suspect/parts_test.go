package suspect_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
)

// settled is the time after which crashes count for prompt parts, apart that between two that are not at one time.
const (
	settled = time.Second
	apart   = 300 * time.Millisecond
)

// parts returns the fingerprints of prompt parts.
func parts(ids ...string) (fingerprints []suspect.Fingerprint) {
	for _, id := range ids {
		fingerprints = append(fingerprints, suspect.FingerprintOfPart(id))
	}
	return fingerprints
}

// upstreams is a service whose upstreams end under requests, as one tracker sees it.
type upstreams struct {
	tracker *suspect.Tracker
	lives   int64
}

// crash ends a life of an upstream under requests with the given prompts, no two of which are alike, some time after the last.
func (u *upstreams) crash(prompts ...[]suspect.Fingerprint) {
	time.Sleep(apart)
	u.crashUnder("", prompts...)
}

// crashTogether ends as many upstreams at one time.
func (u *upstreams) crashTogether(count int, prompts ...[]suspect.Fingerprint) {
	for range count {
		u.crashUnder("", prompts...)
		time.Sleep(time.Millisecond)
	}
}

// crashUnder does so under requests of the same content, unless it is empty.
func (u *upstreams) crashUnder(content string, prompts ...[]suspect.Fingerprint) {
	u.lives++
	life := traffic.Life{Upstream: fmt.Sprint("u", u.lives), StartedMillis: u.lives}
	for number, prompt := range prompts {
		fingerprint := suspect.Fingerprint(content)
		if content == "" {
			fingerprint = suspect.Fingerprint(fmt.Sprint("request ", u.lives, number))
		}
		u.tracker.RecordUnfinished(time.Now(), life, suspect.Attempt{Fingerprint: fingerprint, Parts: prompt, Began: time.Now()})
	}
	u.tracker.RecordEnd(time.Now(), life)
}

func (u *upstreams) complete(prompt []suspect.Fingerprint) {
	u.tracker.RecordCompletion(time.Now(), "sound", prompt...)
}

func partVerdict(tracker *suspect.Tracker, prompt ...suspect.Fingerprint) suspect.Verdict {
	return tracker.Judge(time.Now(), "new", prompt...).Verdict
}

// Guards against blame that is laid on whole requests only: no two requests are alike, and each with one prompt part crashes the
// upstream that runs it. Callers of sound requests with the other parts must not be refused for it.
func TestPromptPartThatCrashesUpstreamsIsRefused(t *testing.T) {
	bad, other := parts("first", "bad"), parts("first", "sound")
	tests := []struct {
		name    string
		happens func(u *upstreams)
		refused [][]suspect.Fingerprint
		allowed [][]suspect.Fingerprint
	}{
		{"the other parts are in use", func(u *upstreams) {
			for range 3 {
				u.complete(other)
				u.crash(bad, other)
			}
		}, [][]suspect.Fingerprint{bad, parts("second", "bad")}, [][]suspect.Fingerprint{other, parts("first")}},
		{"others complete later", func(u *upstreams) {
			for range 5 {
				u.crash(bad, other)
			}
			u.complete(other)
		}, [][]suspect.Fingerprint{bad}, [][]suspect.Fingerprint{other}},
		{"nothing completes, sound requests share some batches", func(u *upstreams) {
			u.crash(bad, other, parts("first", "third"))
			for range 4 {
				u.crash(bad, other)
			}
			u.crash(bad)
		}, [][]suspect.Fingerprint{bad}, [][]suspect.Fingerprint{other, parts("first", "third")}},
		{"both parts come together only", func(u *upstreams) {
			for range 5 {
				u.crash(bad)
			}
		}, [][]suspect.Fingerprint{bad}, [][]suspect.Fingerprint{other, parts("second", "bad")}},
		{"one of them comes without the other later", func(u *upstreams) {
			for range 5 {
				u.crash(bad)
			}
			u.complete(other)
		}, [][]suspect.Fingerprint{bad, parts("second", "bad")}, [][]suspect.Fingerprint{other}},
		{"two bad parts", func(u *upstreams) {
			for range 4 {
				u.crash(bad, other)
				u.crash(parts("first", "worse"), other)
				u.complete(other)
			}
		}, [][]suspect.Fingerprint{bad, parts("second", "worse")}, [][]suspect.Fingerprint{other}},
		{"nothing completes, many sound requests share the batches", func(u *upstreams) {
			for range 5 {
				u.crash(bad, other, other, other, other, other)
			}
		}, [][]suspect.Fingerprint{bad}, [][]suspect.Fingerprint{other, parts("first", "third")}},
		{"nothing completes, the bad part comes with others as well", func(u *upstreams) {
			for range 3 {
				u.crash(bad, other, other)
				u.crash(parts("second", "bad"), other, other)
			}
		}, [][]suspect.Fingerprint{bad, parts("second", "bad")}, [][]suspect.Fingerprint{other, parts("first", "third")}},
		{"nothing completes, an upstream ends for another reason", func(u *upstreams) {
			for range 5 {
				u.crash(bad, other, other)
			}
			u.crash(parts("first", "third"))
		}, [][]suspect.Fingerprint{bad}, [][]suspect.Fingerprint{other, parts("first", "third")}},
		{"a rare part is in flight at three of the crashes", func(u *upstreams) {
			for range 3 {
				u.crash(bad, parts("first", "rare"))
				u.crash(bad, other)
				u.complete(other)
			}
		}, [][]suspect.Fingerprint{bad}, [][]suspect.Fingerprint{other, parts("first", "rare"), parts("rare")}},
		{"one request that comes again", func(u *upstreams) {
			for range 5 {
				time.Sleep(apart)
				u.crashUnder("again", bad)
			}
		}, nil, [][]suspect.Fingerprint{bad, other}},
		{"one request that comes again, with others of its part beside", func(u *upstreams) {
			for range 3 {
				time.Sleep(apart)
				u.crashUnder("again", bad)
			}
			u.crash(bad)
			u.complete(parts("first"))
		}, [][]suspect.Fingerprint{bad}, [][]suspect.Fingerprint{other}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				u := &upstreams{tracker: newTracker()}
				tt.happens(u)
				time.Sleep(settled)
				for _, prompt := range tt.refused {
					is.Equal(partVerdict(u.tracker, prompt...), suspect.Refused)
				}
				for _, prompt := range tt.allowed {
					is.True(partVerdict(u.tracker, prompt...) != suspect.Refused)
				}
			})
		})
	}
}

// Guards against sound callers that are refused because many upstreams end at once for no request's sake.
func TestPartsInUseAreNotRefusedWhenManyUpstreamsCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		u := &upstreams{tracker: newTracker()}
		u.complete(parts("first", "subject"))
		for range 3 {
			time.Sleep(20 * time.Second)
			u.crashTogether(30, parts("first", "subject"), parts("first", "other"))
		}
		time.Sleep(settled)
		is.Equal(partVerdict(u.tracker, parts("first", "subject")...), suspect.Free)
		is.Equal(partVerdict(u.tracker, parts("first")...), suspect.Free)
	})
}

// Guards against instances that each blame a part by themselves: what crashes were seen at different instances adds up, and one
// instance at which a part is in use clears it everywhere.
func TestPartsAreJudgedAlikeByAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		bad, other := parts("first", "bad"), parts("first", "sound")
		a, b, c := newTracker(), newTracker(), newTracker()
		c.RecordCompletion(time.Now(), "sound", other...)
		for crash := range int64(4) {
			from := []*suspect.Tracker{a, b}[crash%2]
			u := &upstreams{tracker: from, lives: 10 * crash}
			u.crash(bad, other)
			c.Merge(time.Now(), from.Records(time.Now()))
			is.Equal(c.IsStatementDue(), crash > 0) // c has to send that to the others before a third crash counts
		}
		for _, to := range []*suspect.Tracker{a, b} {
			to.Merge(time.Now(), a.Records(time.Now()))
			to.Merge(time.Now(), b.Records(time.Now()))
			to.Merge(time.Now(), c.Records(time.Now()))
		}
		time.Sleep(settled)
		for _, one := range []*suspect.Tracker{a, b, c} {
			is.Equal(partVerdict(one, bad...), suspect.Refused)
			is.Equal(partVerdict(one, other...), suspect.Free)
		}
	})
}

// Guards against a crash that counts for all that shared a batch with its cause: requests that were in flight at several crashes
// of a bad part are not refused for that.
func TestExplainedCrashesDoNotCountForRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		u := &upstreams{tracker: newTracker()}
		innocent := suspect.Fingerprint("innocent")
		for range 4 {
			time.Sleep(apart)
			u.lives++
			life := traffic.Life{Upstream: "u", StartedMillis: u.lives}
			u.tracker.RecordUnfinished(time.Now(), life, suspect.Attempt{Fingerprint: innocent, Parts: parts("x"), Began: time.Now()})
			u.tracker.RecordUnfinished(time.Now(), life, suspect.Attempt{
				Fingerprint: suspect.Fingerprint(fmt.Sprint(u.lives)), Parts: parts("bad"), Began: time.Now(),
			})
			u.tracker.RecordEnd(time.Now(), life)
		}
		is.Equal(verdict(u.tracker, innocent), suspect.Refused)
		time.Sleep(settled)
		is.Equal(verdict(u.tracker, innocent), suspect.Free)
	})
}

// Guards against a request that crashes upstreams by its content and gets the parts of its prompt refused, which many others share.
func TestRequestThatComesAgainExplainsCrashesOfItsParts(t *testing.T) {
	for first := range int64(20) { // whether it is one of those that are kept of a part depends on its number
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			u := &upstreams{tracker: newTracker()}
			again := suspect.Fingerprint(fmt.Sprint("again ", first))
			for crash := range int64(4) {
				life := traffic.Life{Upstream: "u", StartedMillis: crash}
				for number := range 10 {
					fingerprint := suspect.Fingerprint(fmt.Sprint("sound ", first, crash, number))
					if number == 0 {
						fingerprint = again
					}
					u.tracker.RecordUnfinished(time.Now(), life, suspect.Attempt{Fingerprint: fingerprint, Parts: parts("first"), Began: time.Now()})
				}
				u.tracker.RecordEnd(time.Now(), life)
			}
			time.Sleep(settled)
			is.Equal(verdict(u.tracker, again), suspect.Refused)
			is.True(partVerdict(u.tracker, parts("first")...) != suspect.Refused)
		})
	}
}

// Guards against a blame that ends with the process, or never does.
func TestBlameOutlivesProcessesAndExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		u := &upstreams{tracker: newTracker()}
		for range 4 {
			u.crash(parts("bad"))
		}
		after := newTracker()
		for _, record := range u.tracker.Unstored(time.Now(), 16) {
			after.MergeStored(time.Now(), record)
		}
		time.Sleep(settled)
		is.Equal(partVerdict(after, parts("bad")...), suspect.Refused)
		judged := after.Judge(time.Now(), "new", parts("bad")...)
		is.True(judged.RetryAfter > 9*time.Minute && judged.RetryAfter <= 10*time.Minute)
		time.Sleep(suspect.DefaultSettings().Retention)
		is.Equal(partVerdict(after, parts("bad")...), suspect.Free)
	})
}

// Guards against a part that stays suspect in the store after it was cleared: an instance that starts would refuse it.
func TestClearedPartIsClearedInTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		u := &upstreams{tracker: newTracker()}
		for range 4 {
			u.crash(parts("sound"))
		}
		for _, record := range u.tracker.Unstored(time.Now(), 16) {
			u.tracker.MergeStored(time.Now(), record)
		}
		u.complete(parts("sound"))
		cleared := u.tracker.Unstored(time.Now(), 16)
		is.Equal(len(cleared), 1)
		is.Equal(len(cleared[0].Cleared), 4)
		after := newTracker()
		after.MergeStored(time.Now(), cleared[0])
		time.Sleep(settled)
		is.Equal(partVerdict(after, parts("sound")...), suspect.Free)
	})
}

// Guards against a store that is written for each crash of a part that is in use, and read by all instances for it.
func TestPartInUseIsNotStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		u := &upstreams{tracker: newTracker()}
		for crash := range 12 {
			u.crash(parts("sound"))
			is.Equal(len(u.tracker.Unstored(time.Now(), 16)), 0)
			if crash%2 == 1 {
				u.complete(parts("sound"))
			}
		}
	})
}

// Guards against a fleet in which each instance sends to all others what one of them has sent them: where many upstreams crash at
// once, parts in use are cleared by the instance that saw the crash, and nobody else sends anything for it.
func TestPartThatIsClearedIsNotClearedAgainByOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		u, other := &upstreams{tracker: newTracker()}, newTracker()
		u.complete(parts("first"))
		other.RecordCompletion(time.Now(), "sound", parts("first")...)
		for range 3 {
			u.crash(parts("first"))
			other.Merge(time.Now(), u.tracker.Records(time.Now()))
			is.True(!other.IsStatementDue())
		}
		for _, record := range other.Records(time.Now()) {
			is.Equal(len(record.Cleared), 0)
		}
	})
}

// Guards against a part that completed once and is never suspected again, as when the software of upstreams changes.
func TestPartThatCompletedOnceIsRefusedInTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		u := &upstreams{tracker: newTracker()}
		u.complete(parts("bad"))
		for range 7 {
			time.Sleep(time.Second)
			u.crash(parts("bad"))
		}
		time.Sleep(settled)
		is.Equal(partVerdict(u.tracker, parts("bad")...), suspect.Refused)
	})
}

// Guards against unbounded memory where each request has parts of its own.
func TestCompletionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker()
		for i := range 20_000 {
			tracker.RecordCompletion(time.Now(), "sound", parts(fmt.Sprint(i))...)
			time.Sleep(time.Millisecond)
		}
		kept := 0
		u := &upstreams{tracker: tracker}
		for i := 0; i < 20_000; i += 10 {
			u.crash(parts(fmt.Sprint(i)))
		}
		for _, record := range tracker.Records(time.Now()) {
			kept += len(record.Cleared)
		}
		is.New(t).True(kept <= 500) // of 2,000, at most 4,096 of 20,000 being remembered
	})
}

// Guards against a pair of parts that is taken apart by a crash that does not count yet: as soon as one of them had come without
// the other, the wrong one was refused, and the cause was not.
func TestPairStaysRefusedWhenItsPartsComeApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		u := &upstreams{tracker: newTracker()}
		for range 5 {
			u.crash(parts("first", "bad"))
		}
		time.Sleep(settled)
		is.Equal(partVerdict(u.tracker, parts("second", "bad")...), suspect.Alone)
		u.crash(parts("second", "bad"))
		is.Equal(partVerdict(u.tracker, parts("second", "bad")...), suspect.Alone)
		is.Equal(partVerdict(u.tracker, parts("first", "bad")...), suspect.Refused)
		is.True(partVerdict(u.tracker, parts("first", "sound")...) != suspect.Refused)
		time.Sleep(settled)
		is.Equal(partVerdict(u.tracker, parts("second", "bad")...), suspect.Refused)
		is.True(partVerdict(u.tracker, parts("first", "sound")...) != suspect.Refused)
	})
}

// Guards against instances that judge differently by the order in which they learned of the same crashes: of the requests that had
// a part they kept the first ones.
func TestOrderOfRecordsDoesNotMatter(t *testing.T) {
	prompts := [][]suspect.Fingerprint{parts("first", "bad"), parts("first", "sound"), parts("second", "bad"), parts("second")}
	inFlight := rapid.SliceOfN(rapid.SampledFrom(prompts), 1, 12)
	crashes := rapid.SliceOfN(rapid.SliceOfN(inFlight, 1, 6), 2, 4) // by instance
	rapid.Check(t, func(rt *rapid.T) {
		drawn := crashes.Draw(rt, "in flight")
		var verdicts [2][]suspect.Verdict
		synctest.Test(t, func(*testing.T) {
			var records [][]suspect.Record
			for instance, crashes := range drawn {
				u := &upstreams{tracker: newTracker(), lives: int64(100 * instance)}
				for _, crash := range crashes {
					u.crash(crash...)
				}
				records = append(records, u.tracker.Records(time.Now()))
			}
			for i := range verdicts {
				tracker := newTracker()
				slices.Reverse(records)
				for _, one := range records {
					tracker.Merge(time.Now(), one)
				}
				time.Sleep(settled)
				for _, prompt := range append(prompts, parts("first"), parts("bad"), parts("sound")) {
					verdicts[i] = append(verdicts[i], partVerdict(tracker, prompt...))
				}
			}
		})
		if !slices.Equal(verdicts[0], verdicts[1]) {
			rt.Fatalf("%v by one order, %v by the other", verdicts[0], verdicts[1])
		}
	})
}

// Guards against sound callers that are refused because many upstreams end at once while nothing with their prompts has completed
// yet, at instances that saw it and at those that learned of it, also when they have started since.
func TestCrashesAtOneTimeCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		u, peer, started := &upstreams{tracker: newTracker()}, newTracker(), newTracker()
		for range 2 {
			time.Sleep(5 * time.Second)
			u.crashTogether(9, parts("first", "subject"))
		}
		time.Sleep(2 * time.Second)
		peer.Merge(time.Now(), u.tracker.Records(time.Now()))
		for _, record := range u.tracker.Unstored(time.Now(), 16) {
			started.MergeStored(time.Now(), record)
		}
		time.Sleep(settled)
		for _, tracker := range []*suspect.Tracker{u.tracker, peer, started} {
			is.True(partVerdict(tracker, parts("first", "subject")...) != suspect.Refused)
		}
	})
}

// Guards against sound callers whose streams are so long that none has completed between the crashes of upstreams that end for no
// request's sake.
func TestLongStreamsMakeNoSuspectsOfTheirParts(t *testing.T) {
	tests := []struct {
		name    string
		sending time.Duration
		verdict suspect.Verdict
	}{
		{"nothing was sent", 0, suspect.Refused},
		{"the first events were sent", 300 * time.Millisecond, suspect.Refused},
		{"the stream went on for long", 3 * time.Second, suspect.Free},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tracker := newTracker()
				for lives := range int64(6) {
					time.Sleep(5 * time.Second)
					life := traffic.Life{Upstream: "u", StartedMillis: lives}
					tracker.RecordUnfinished(time.Now(), life, suspect.Attempt{
						Fingerprint: suspect.Fingerprint(fmt.Sprint(lives)), Parts: parts("subject"), Began: time.Now(), Sending: tt.sending,
					})
					tracker.RecordEnd(time.Now(), life)
				}
				time.Sleep(settled)
				is.New(t).Equal(partVerdict(tracker, parts("subject")...), tt.verdict)
				if tt.verdict == suspect.Free { // and clears what others make of the part
					u := &upstreams{tracker: tracker, lives: 100}
					for range 4 {
						u.crash(parts("subject"))
					}
					time.Sleep(settled)
					is.New(t).Equal(partVerdict(tracker, parts("subject")...), tt.verdict)
				}
			})
		})
	}
}

// Guards against a sound part that is refused for as long as records are kept, since nothing that has it may run and clear it: many
// upstreams have ended for no request's sake while nothing completed.
func TestRefusedPartIsTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		u := &upstreams{tracker: newTracker()}
		for range 5 {
			u.crash(parts("sound"))
		}
		time.Sleep(settled)
		tried := ""
		for number := 0; tried == "" && number < 4000; number++ {
			content := fmt.Sprint("request ", number)
			if u.tracker.Judge(time.Now(), suspect.Fingerprint(content), parts("sound")...).Verdict == suspect.Alone {
				tried = content
			}
			time.Sleep(50 * time.Millisecond)
		}
		is.Equal(u.tracker.Judge(time.Now(), suspect.Fingerprint(tried), parts("sound")...).Verdict, suspect.Alone)
		u.tracker.RecordCompletion(time.Now(), suspect.Fingerprint(tried), parts("sound")...)
		time.Sleep(settled)
		is.Equal(partVerdict(u.tracker, parts("sound")...), suspect.Free)
	})
}

// Guards against tries that crash upstreams as often as the part did before it was refused: requests with a bad part go on coming at
// all instances, which learn of each other's crashes late.
func TestRefusedPartIsTriedSeldom(t *testing.T) {
	const (
		instances = 7
		interval  = 250 * time.Millisecond
		known     = 2 // intervals after which all instances know of a crash
		watched   = time.Minute
		most      = 3
	)
	for day := range 20 {
		synctest.Test(t, func(t *testing.T) {
			var trackers []*suspect.Tracker
			for range instances {
				trackers = append(trackers, newTracker())
			}
			u := &upstreams{tracker: trackers[0]}
			for range 5 {
				u.crash(parts("bad"))
			}
			crashes, spreadAt := 0, known
			for number := range int(watched / interval) {
				at := trackers[number%instances]
				content := suspect.Fingerprint(fmt.Sprint("request ", day, number))
				if number > 4*known && at.Judge(time.Now(), content, parts("bad")...).Verdict != suspect.Refused {
					crashes++
					u.tracker = at
					u.crashUnder(string(content), parts("bad"))
					spreadAt = number + known
				}
				if number == spreadAt {
					for _, one := range trackers {
						for _, other := range trackers {
							one.Merge(time.Now(), other.Records(time.Now()))
						}
					}
				}
				time.Sleep(interval)
			}
			if crashes > most {
				t.Errorf("%d more crashes in %s", crashes, watched)
			}
		})
	}
}

// Guards against a refused part that is forgotten in a storm of crashes of other causes: what is kept is bounded, and requests that
// were in flight once pushed it out.
func TestStormDoesNotPushOutWhatIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		u := &upstreams{tracker: newTracker()}
		for range 4 {
			u.crash(parts("bad"))
			u.crashUnder("again", nil)
		}
		for range suspect.DefaultSettings().MaxFingerprints {
			time.Sleep(time.Millisecond)
			u.crashUnder("", nil, nil)
		}
		time.Sleep(settled)
		is.Equal(partVerdict(u.tracker, parts("bad")...), suspect.Refused)
		is.Equal(verdict(u.tracker, "again"), suspect.Refused)
	})
}

// Guards against a part that is suspect again, everywhere, because an instance was out of reach while it was cleared: the others had
// forgotten the crashes that the instance still stated.
func TestClearedPartStaysClearedWhenAnInstanceComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		u := &upstreams{tracker: newTracker()}
		for range 4 {
			u.crash(parts("sound"))
		}
		away, there := u.tracker, newTracker()
		there.Merge(time.Now(), away.Records(time.Now()))
		there.RecordCompletion(time.Now(), "other", parts("sound")...)
		time.Sleep(2 * time.Minute)
		there.Merge(time.Now(), away.Records(time.Now()))
		away.Merge(time.Now(), there.Records(time.Now()))
		time.Sleep(settled)
		is.Equal(partVerdict(there, parts("sound")...), suspect.Free)
		is.Equal(partVerdict(away, parts("sound")...), suspect.Free)
	})
}

// Guards against a bad part that is not in the store when all instances end, because requests that shared batches with it were
// written first.
func TestMostSuspectIsStoredFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		u := &upstreams{tracker: newTracker()}
		for range 4 {
			u.crash(parts("bad"))
		}
		for number := range 100 {
			u.crashUnder(fmt.Sprint(number), nil)
			u.crashUnder(fmt.Sprint(number), nil)
		}
		is.Equal(u.tracker.Unstored(time.Now(), 16)[0].Fingerprint, parts("bad")[0])
	})
}

// Guards against a completion that is forgotten before the instance learns of the crashes which it clears: the links were cut meanwhile.
func TestCompletionClearsCrashesThatAreKnownLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		u, there := &upstreams{tracker: newTracker()}, newTracker()
		for range 4 {
			u.crash(parts("sound"))
		}
		time.Sleep(10 * time.Second)
		there.RecordCompletion(time.Now(), "other", parts("sound")...)
		time.Sleep(20 * time.Second)
		there.Merge(time.Now(), u.tracker.Records(time.Now()))
		is.True(there.IsStatementDue())
		u.tracker.Merge(time.Now(), there.Records(time.Now()))
		is.Equal(partVerdict(u.tracker, parts("sound")...), suspect.Free)
		time.Sleep(settled)
		is.Equal(partVerdict(there, parts("sound")...), suspect.Free)
	})
}

// Guards against a part that is taken for a request, because an instance of an older build passed its record on without the requests:
// crashes that a completion had cleared counted again.
func TestRecordsOfOlderBuildsKeepPartsApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		u, there := &upstreams{tracker: newTracker()}, newTracker()
		u.crash(parts("sound"))
		there.Merge(time.Now(), u.tracker.Records(time.Now()))
		there.RecordCompletion(time.Now(), "other", parts("sound")...)
		for range 4 {
			u.crash(parts("sound"))
		}
		records := u.tracker.Records(time.Now())
		for i := range records {
			records[i].Requests = nil
		}
		there.Merge(time.Now(), records)
		time.Sleep(settled)
		is.Equal(there.Crashes(parts("sound")[0]), 0)
	})
}

// Guards against a crash after which all instances send their states at once: they clear the parts that are in use, which the instance
// that observed the crash has done in the record itself.
func TestClearedCrashIsNoNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		u, there := &upstreams{tracker: newTracker()}, newTracker()
		u.complete(parts("sound"))
		there.RecordCompletion(time.Now(), "other", parts("sound")...)
		for range 3 {
			u.crash(parts("sound"))
			there.Merge(time.Now(), u.tracker.Records(time.Now()))
			is.True(!there.IsStatementDue())
		}
	})
}

// Guards against many instances that use a part and all state at once, after each crash, that it is cleared: one crash makes no
// instance refuse the part, and one statement is enough for all.
func TestOneStatementClearsAPartForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		u, first, second := &upstreams{tracker: newTracker()}, newTracker(), newTracker()
		for _, user := range []*suspect.Tracker{first, second} {
			user.RecordCompletion(time.Now(), "other", parts("sound")...)
		}
		for crash := range 4 {
			u.crash(parts("sound"))
			for _, user := range []*suspect.Tracker{first, second} {
				user.Merge(time.Now(), u.tracker.Records(time.Now()))
				is.Equal(user.IsStatementDue(), crash%2 == 1)
			}
			if crash%2 == 1 {
				is.True(first.TakeStatementDue())
				second.Merge(time.Now(), first.Records(time.Now()))
				is.True(!first.IsStatementDue())
				is.True(!second.IsStatementDue())
			}
		}
	})
}

// Guards against states that grow with each crash: nearly all parts in flight there are cleared within a moment, and each state had
// all of them for as long as records are kept.
func TestClearedPartsAreStatedForAShortTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		u := &upstreams{tracker: newTracker()}
		u.complete(parts("first"))
		u.crash(parts("first"))
		stated := func() (parts int) {
			for _, record := range u.tracker.Records(time.Now()) {
				parts += len(record.Requests)
			}
			return parts
		}
		is.Equal(stated(), 1)
		time.Sleep(20 * time.Second)
		is.Equal(stated(), 0)
	})
}

// Guards against a cleared part that instances go on stating to one another: two were in flight at the crash and a third one cleared
// it, so that the record of each of the two lacked that, which made the other one state it again.
func TestClearedPartsAreStatedForAShortTimeInAFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		shared := parts("sound")
		fleet := []*suspect.Tracker{newTracker(), newTracker(), newTracker()}
		life := traffic.Life{Upstream: "u", StartedMillis: 1}
		for number, one := range fleet[:2] {
			fingerprint := suspect.Fingerprint(fmt.Sprint("request ", number))
			one.RecordUnfinished(time.Now(), life, suspect.Attempt{Fingerprint: fingerprint, Parts: shared, Began: time.Now()})
			one.RecordEnd(time.Now(), life)
		}
		exchange := func() (stated int) {
			for _, from := range fleet {
				records := from.Records(time.Now())
				for _, record := range records {
					stated += len(record.Requests)
				}
				for _, to := range fleet {
					to.Merge(time.Now(), records)
				}
			}
			return stated
		}
		is.True(exchange() > 0)
		fleet[2].RecordCompletion(time.Now(), "other", shared...)
		for range 30 {
			time.Sleep(time.Second)
			exchange()
		}
		is.Equal(exchange(), 0)
		for _, one := range fleet {
			is.Equal(one.Crashes(shared[0]), 0)
		}
	})
}

// Guards against the same statements by all instances: a part that all of them use is cleared by each, and the upstream of a crash
// may turn out to go on, which each finds out.
func TestFewInstancesStateWhatAllKnow(t *testing.T) {
	tests := []struct {
		name   string
		clears func(one *suspect.Tracker, life traffic.Life)
	}{
		{"requests with the part complete", func(one *suspect.Tracker, _ traffic.Life) {
			one.RecordCompletion(time.Now(), "other", parts("sound")...)
		}},
		{"the upstream goes on", func(one *suspect.Tracker, life traffic.Life) { one.RecordAlive(time.Now(), life) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				life := traffic.Life{Upstream: "u", StartedMillis: 1}
				var fleet []*suspect.Tracker
				for range 12 {
					fleet = append(fleet, newTracker())
				}
				for _, one := range fleet {
					one.RecordExpiry(time.Now(), life)
				}
				attempt := suspect.Attempt{Fingerprint: "request", Parts: parts("sound"), Began: time.Now()}
				is.True(fleet[0].RecordUnfinished(time.Now(), life, attempt))
				exchange := func() (stating int) {
					for _, from := range fleet {
						records := from.Records(time.Now())
						if len(records) > 0 {
							stating++
						}
						for _, to := range fleet {
							if to != from {
								to.Merge(time.Now(), records)
							}
						}
					}
					return stating
				}
				is.Equal(exchange(), 1)
				for _, one := range fleet {
					tt.clears(one, life)
				}
				for range 8 {
					time.Sleep(time.Second)
					is.True(exchange() <= 2)
					for _, one := range fleet {
						is.Equal(one.Crashes(parts("sound")[0]), 0)
					}
				}
			})
		})
	}
}
