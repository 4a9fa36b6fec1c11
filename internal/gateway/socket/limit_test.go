package socket

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// Guards against a user timeout that is raised for a peer which shows no sign of life, or not for one that does: the first
// is noticed late, the second loses its connection.
func TestUserTimeoutFollowsTheAcknowledgements(t *testing.T) {
	const never = -1
	type check struct {
		info unix.TCPInfo
		// lastSegment is the time of the last segment in milliseconds from the start.
		lastSegment int
		expected    time.Duration
	}
	full := unix.TCPInfo{Bytes_acked: 100, Notsent_bytes: 50}
	dropped := unix.TCPInfo{Bytes_acked: 100, Notsent_bytes: 50, Unacked: 2}
	inFlight := unix.TCPInfo{Bytes_acked: 100, Notsent_bytes: 50, Unacked: 2, Snd_wnd: 10}
	read := unix.TCPInfo{Bytes_acked: 200, Notsent_bytes: 50}
	for _, c := range []struct {
		name   string
		checks []check // one a checkInterval
	}{
		{"probes are acknowledged", []check{{full, 600, userTimeout}, {full, 1400, 3900 * time.Millisecond}, {full, 2900, 5400 * time.Millisecond}}},
		{"a probe in more than an interval", []check{{full, 600, userTimeout}, {full, 1400, 3900 * time.Millisecond}, {full, 1400, 3900 * time.Millisecond}, {full, 3800, 6300 * time.Millisecond}}},
		{"what the window has no room for is dropped", []check{{dropped, 600, userTimeout}, {dropped, 1400, 3900 * time.Millisecond}}},
		{"nothing is acknowledged", []check{{full, 10, userTimeout}, {full, 10, userTimeout}, {full, 10, userTimeout}}},
		{"nothing is acknowledged any more", []check{{full, 600, userTimeout}, {full, 1400, 3900 * time.Millisecond}, {full, 1400, 3900 * time.Millisecond}, {full, 1400, 3900 * time.Millisecond}}},
		{"the window has room", []check{{inFlight, 600, userTimeout}, {inFlight, 1400, userTimeout}, {inFlight, 2900, userTimeout}}},
		{"the peer reads again", []check{{full, 600, userTimeout}, {full, 1400, 3900 * time.Millisecond}, {read, 2900, userTimeout}, {read, 3400, 3900 * time.Millisecond}}},
		{"the time of the last segment is not reported", []check{{full, never, userTimeout}, {full, never, userTimeout}, {full, never, userTimeout}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			start := time.Unix(1000, 0)
			now := start
			current := newLimit(now)
			for _, step := range c.checks {
				now = now.Add(checkInterval)
				info := step.info
				if step.lastSegment != never {
					info.Last_ack_recv = uint32(now.Sub(start).Milliseconds()) - uint32(step.lastSegment)
				}
				current = current.next(now, windowOf(&info, now))
				is.Equal(current.timeout, step.expected)
			}
		})
	}
}
