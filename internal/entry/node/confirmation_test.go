package node

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"lacewingrock.example/lacewingrock/internal/fleet/coordination"
	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/fleet/replica"
	"lacewingrock.example/lacewingrock/internal/fleet/roster"
	"lacewingrock.example/lacewingrock/internal/timing/pause"
)

// changeWithin is how soon a change has to be in force on the smallest deployments, which is the shortest time of all.
const changeWithin = 2 * time.Second

// sentMessage is a message in transit, and the time of its arrival.
type sentMessage struct {
	message mesh.Message
	arrives time.Time
}

// delayedStream is one end of an in-memory link that delays messages.
type delayedStream struct {
	delay func() time.Duration
	out   chan<- sentMessage
	in    <-chan sentMessage
}

func (s delayedStream) Send(message mesh.Message) error {
	s.out <- sentMessage{message: message, arrives: time.Now().Add(s.delay())}
	return nil
}

func (s delayedStream) Receive() (mesh.Message, error) {
	sent, open := <-s.in
	if !open {
		return mesh.Message{}, io.EOF
	}
	time.Sleep(time.Until(sent.arrives))
	return sent.message, nil
}

// maxInTransit is more than a test sends over one link.
const maxInTransit = 1000

// linkWithDelay links two instances until the context ends. Messages from a to b are delayed by there, and messages
// from b to a by back.
func linkWithDelay(ctx context.Context, a, b *Node, there, back func() time.Duration) {
	toA, toB := make(chan sentMessage, maxInTransit), make(chan sentMessage, maxInTransit)
	for _, end := range []struct {
		of, to *Node
		stream delayedStream
	}{
		{a, b, delayedStream{delay: there, out: toB, in: toA}},
		{b, a, delayedStream{delay: back, out: toA, in: toB}},
	} {
		go func() {
			_ = newLinkEnd(end.of, end.stream, end.to.self).run(ctx)
			close(end.stream.out)
		}()
	}
}

// endLinks cancels the context of the links and lets all messages in transit arrive.
func endLinks(cancel context.CancelFunc) {
	cancel()
	time.Sleep(time.Minute)
	synctest.Wait()
}

func constantDelay(wait time.Duration) func() time.Duration {
	return func() time.Duration { return wait }
}

// sendHeartbeats makes instances send over their links as often as a running instance does.
func sendHeartbeats(ctx context.Context, nodes ...*Node) {
	for pause.For(ctx, heartbeatInterval) {
		for _, n := range nodes {
			n.overlay.requestMessages(true)
		}
	}
}

// recordingStore records the time of the last watch, in Unix nanoseconds, and has no changes.
type recordingStore struct {
	coordination.Store
	lastWatch atomic.Int64
}

func (s *recordingStore) Watch(_ context.Context, after int64, _ time.Duration) (replica.Batch, error) {
	s.lastWatch.Store(time.Now().UnixNano())
	return replica.Batch{After: after, Through: after}, nil
}

// watchedSince reports whether a watch began after the given time.
func (s *recordingStore) watchedSince(moment time.Time) bool {
	return s.lastWatch.Load() > moment.UnixNano()
}

// delayedStore has no changes and delays its responses.
type delayedStore struct {
	coordination.Store
	wait, transit time.Duration
}

func (s delayedStore) Watch(_ context.Context, after int64, _ time.Duration) (replica.Batch, error) {
	time.Sleep(s.wait + s.transit)
	return replica.Batch{After: after, Through: after}, nil
}

// syncedNode returns an instance that has read the store, of a fleet with the given names.
func syncedNode(t *testing.T, name string, names []string) *Node {
	t.Helper()
	n := nodeWithPeers(t, 0, nil)
	n.self.Name = name
	n.overlay.initialise(name)
	n.scope = tally.NoopScope
	for i, other := range names {
		n.applyOne(t, roster.InstanceKey(other), int64(i+1), func() ([]byte, error) {
			return roster.EncodeInstance(roster.Instance{Name: other})
		})
	}
	n.merge(replica.Batch{Snapshot: true, Through: int64(len(names))}, time.Now(), sourceStore)
	return n
}

// firstAndLastReader returns two names, the first of which is ranked before the other as a reader.
func firstAndLastReader() (first, last string) {
	for i := 0; ; i++ {
		first, last = fmt.Sprint("a", i), fmt.Sprint("b", i)
		if roster.Rank(readerRankSubject, last, []string{first, last}) == 1 {
			return first, last
		}
	}
}

// Guards against an instance that uses an old configuration behind a relay that is short of processor time. The
// messages of the relay stay in buffers for seconds, and each message about the freshness of the relay counts as
// written just now.
func TestInstanceBehindASlowRelayReadsTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer endLinks(cancel)
		relayName, name := firstAndLastReader()
		names := []string{relayName, name}
		relay, n := syncedNode(t, relayName, names), syncedNode(t, name, names)
		store := &recordingStore{}
		n.Store = store
		began := time.Now()
		growing := func() time.Duration { return min(time.Since(began)/2, 2*changeWithin) }
		linkWithDelay(ctx, n, relay, constantDelay(0), growing)
		go sendHeartbeats(ctx, n, relay)
		go func() {
			for pause.For(ctx, watchInterval) {
				relay.merge(replica.Batch{After: 2, Through: 2}, time.Now(), sourceStore)
			}
		}()
		go func() { _ = n.runStoreReading(ctx) }()
		time.Sleep(4 * changeWithin) // until the messages of the relay take twice the time that a change may take
		changed := time.Now()
		is.True(n.overlay.isAlive(changed, relayName))
		time.Sleep(changeWithin)
		is.True(store.watchedSince(changed))
	})
}

// Guards against a reader that is short of processor time. The response of the store that nothing has changed stays in
// a buffer and counts as of the time when it is read, while changes are made.
func TestLateAnswerOfTheStoreIsOld(t *testing.T) {
	const transit = time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := syncedNode(t, "a", []string{"a"})
		n.Store = delayedStore{wait: watchTimeout, transit: transit}
		is.NoErr(n.read(t.Context()))
		is.Equal(n.ConfirmedAge(), transit)
	})
}

// Guards against instances that confirm the state of each other while none of them reads the store: each one relays the
// last confirmation as younger than it is, by the transit time of a message, and gets it back younger still.
func TestConfirmationAgesWhileItIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer endLinks(cancel)
		names := []string{"a", "b", "c"}
		var fleet []*Node
		for _, name := range names {
			fleet = append(fleet, syncedNode(t, name, names))
		}
		const transit = 60 * time.Millisecond
		for i, node := range fleet {
			linkWithDelay(ctx, node, fleet[(i+1)%len(fleet)], constantDelay(transit), constantDelay(transit))
			go sendHeartbeats(ctx, node)
			time.Sleep(heartbeatInterval / 3) // the heartbeats of the instances are not synchronised
		}
		confirmed := fleet[0].view.confirmed.last()
		for range 12 {
			time.Sleep(heartbeatInterval)
			for _, node := range fleet {
				is.True(!node.view.confirmed.last().After(confirmed))
			}
		}
	})
}
