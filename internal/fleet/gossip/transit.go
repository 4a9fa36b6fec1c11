package gossip

import "time"

// transit.go bounds how long messages over a link have been on their way. Clocks of instances differ, so neither end
// can tell from the other's time when a message was made; but a message that answers one of its own cannot have been on
// its way for longer than the round trip took.
//
// Made for an instance that is short of its processor: what it sends and what it is sent lies in buffers for seconds,
// and what a message says of ages would be taken as of now.

// Stamp goes with each message over a link. Its times count from when the sender, for Echo the receiver, made its end of
// the link.
type Stamp struct {
	// Sent is when the message was made.
	Sent time.Duration
	// Echo is the Sent of the last message that the sender had received, and EchoAge is how long before this message
	// it came. Echo is 0 if none has come.
	Echo    time.Duration
	EchoAge time.Duration
}

// transit is what an end of a link keeps of the other's stamps.
type transit struct {
	sent     time.Duration
	received time.Duration
}

// Stamp gives the stamp of a message that is made now.
func (l *Link) Stamp(now time.Duration) Stamp {
	stamp := Stamp{Sent: now, Echo: l.transit.sent}
	if stamp.Echo > 0 {
		stamp.EchoAge = now - l.transit.received
	}
	return stamp
}

// Receive takes note of the stamp of a message that has come, and gives the longest that the message can have been on
// its way. It is not known until a message of this end has been answered.
func (l *Link) Receive(now time.Duration, stamp Stamp) (longest time.Duration, known bool) {
	l.transit = transit{sent: stamp.Sent, received: now}
	if stamp.Echo <= 0 {
		return 0, false
	}
	return max(now-stamp.Echo-stamp.EchoAge, 0), true
}
