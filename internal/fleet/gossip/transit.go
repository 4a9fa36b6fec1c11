package gossip

import "time"

// transit.go bounds the transit time of messages over a link. The clocks of instances differ, so a receiver cannot
// compute from the sender's time when a message was created. But a message that echoes a message of the receiver cannot
// have been in transit for longer than the round trip.
//
// Messages from and to an instance that is short of CPU wait in buffers for seconds. Without the bound, the ages in them
// would be read as if the message had just been created.

// Stamp is part of each message over a link. Sent is measured from when the sender created its end of the link, Echo
// from when the receiver created its end.
type Stamp struct {
	// Sent is when the message was created.
	Sent time.Duration
	// Echo is Sent of the last message that the sender received, 0 if there was none. EchoAge is the time between the
	// arrival of that message and the creation of this one.
	Echo    time.Duration
	EchoAge time.Duration
}

// transit holds the last stamp received at one end of a link.
type transit struct {
	lastSent   time.Duration
	receivedAt time.Duration
}

// Stamp returns the stamp of a message that is created now.
func (l *Link) Stamp(now time.Duration) Stamp {
	stamp := Stamp{Sent: now, Echo: l.transit.lastSent}
	if stamp.Echo > 0 {
		stamp.EchoAge = now - l.transit.receivedAt
	}
	return stamp
}

// Receive records the stamp of a received message, and returns an upper bound on the message's transit time. The bound
// is unknown until the other end has echoed a message of this end.
func (l *Link) Receive(now time.Duration, stamp Stamp) (maxTransit time.Duration, known bool) {
	l.transit = transit{lastSent: stamp.Sent, receivedAt: now}
	if stamp.Echo <= 0 {
		return 0, false
	}
	return max(now-stamp.Echo-stamp.EchoAge, 0), true
}
