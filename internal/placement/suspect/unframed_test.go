package suspect_test

// Responses that end in order with their connection, without a length or chunks. Whether one is whole only what comes next shows.

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
)

// respond has an upstream send a response that ends so.
func (u *upstreams) respond(life traffic.Life, content string, prompt []suspect.Fingerprint, began time.Time) {
	u.tracker.RecordUnfinished(time.Now(), life, suspect.Attempt{
		Fingerprint: suspect.Fingerprint(content), Parts: prompt, Began: began, Ended: true,
	})
}

// Guards against sound callers that are refused where all responses of upstreams end so: nothing cleared their parts of having been in
// flight when upstreams ended by themselves.
func TestResponsesThatEndInOrderClearTheirParts(t *testing.T) {
	sound := parts("first", "sound")
	tests := []struct {
		name     string
		responds func(u *upstreams, life traffic.Life)
		verdict  suspect.Verdict
	}{
		{"nothing responds", func(*upstreams, traffic.Life) {}, suspect.Refused},
		{"the upstream responds again later", func(u *upstreams, life traffic.Life) {
			u.respond(life, "a", sound, time.Now())
			time.Sleep(2 * time.Second)
			u.respond(life, "b", nil, time.Now())
		}, suspect.Free},
		{"it responds to what was sent at the same time", func(u *upstreams, life traffic.Life) {
			began := time.Now()
			u.respond(life, "a", sound, began)
			time.Sleep(2 * time.Second)
			u.respond(life, "b", nil, began)
		}, suspect.Refused},
		{"another upstream responds later", func(u *upstreams, life traffic.Life) {
			u.respond(life, "a", sound, time.Now())
			time.Sleep(2 * time.Second)
			u.respond(traffic.Life{Upstream: "other"}, "b", nil, time.Now())
		}, suspect.Refused},
		{"nothing shows for seconds that it has ended", func(u *upstreams, life traffic.Life) {
			u.respond(life, "a", sound, time.Now())
			time.Sleep(7 * time.Second)
			u.respond(traffic.Life{Upstream: "other"}, "b", nil, time.Now())
		}, suspect.Free},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := &upstreams{tracker: newTracker()}
				tt.responds(u, traffic.Life{Upstream: "engine", StartedMillis: 1})
				for range 3 {
					u.crash(sound)
				}
				time.Sleep(settled)
				is.New(t).Equal(partVerdict(u.tracker, sound...), tt.verdict)
			})
		})
	}
}

// Guards against a bad part that is never refused: the upstream that it has ended closes its connections in order, and another life
// responds in its place before its entry shows that.
func TestResponseOfALifeThatHasEndedClearsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		bad := parts("first", "bad")
		u := &upstreams{tracker: newTracker()}
		for crash := range int64(4) {
			life := traffic.Life{Upstream: "engine", StartedMillis: crash}
			u.respond(life, fmt.Sprint("bad ", crash), bad, time.Now())
			time.Sleep(400 * time.Millisecond)
			u.respond(life, "other", nil, time.Now()) // by the next life
			time.Sleep(100 * time.Millisecond)
			u.tracker.RecordEnd(time.Now(), life)
		}
		time.Sleep(settled)
		is.Equal(partVerdict(u.tracker, bad...), suspect.Refused)
	})
}
