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

// changeWithin is how soon a change has to be in force on the smallest deployments, and the soonest of all.
const changeWithin = 2 * time.Second

// sentMessage is a message on its way, and when it arrives.
type sentMessage struct {
	message mesh.Message
	arrives time.Time
}

// lateStream is one end of a link in memory on which messages take a while.
type lateStream struct {
	takes func() time.Duration
	out   chan<- sentMessage
	in    <-chan sentMessage
}

func (s lateStream) Send(message mesh.Message) error {
	s.out <- sentMessage{message: message, arrives: time.Now().Add(s.takes())}
	return nil
}

func (s lateStream) Receive() (mesh.Message, error) {
	sent, open := <-s.in
	if !open {
		return mesh.Message{}, io.EOF
	}
	time.Sleep(time.Until(sent.arrives))
	return sent.message, nil
}

// messagesOnTheWay is more than a test sends over one link.
const messagesOnTheWay = 1000

// linkLate links two instances until the context ends. A message takes there from a to b, and back from b to a.
func linkLate(ctx context.Context, a, b *Node, there, back func() time.Duration) {
	toA, toB := make(chan sentMessage, messagesOnTheWay), make(chan sentMessage, messagesOnTheWay)
	for _, end := range []struct {
		of, to *Node
		stream lateStream
	}{
		{a, b, lateStream{takes: there, out: toB, in: toA}},
		{b, a, lateStream{takes: back, out: toA, in: toB}},
	} {
		go func() {
			_ = newLinkEnd(end.of, end.stream, end.to.self).run(ctx)
			close(end.stream.out)
		}()
	}
}

// endLinks ends what runs by a context, and lets all messages arrive that are on their way.
func endLinks(cancel context.CancelFunc) {
	cancel()
	time.Sleep(time.Minute)
	synctest.Wait()
}

func always(wait time.Duration) func() time.Duration { return func() time.Duration { return wait } }

// beating has an instance send over its links as often as it does when it runs.
func beating(ctx context.Context, nodes ...*Node) {
	for pause.For(ctx, beatEvery) {
		for _, n := range nodes {
			n.overlay.wake(true)
		}
	}
}

// readingStore notes when it was last asked, in Unix nanoseconds, and has no changes.
type readingStore struct {
	coordination.Store
	asked atomic.Int64
}

func (s *readingStore) Watch(_ context.Context, after int64, _ time.Duration) (replica.Batch, error) {
	s.asked.Store(time.Now().UnixNano())
	return replica.Batch{After: after, Through: after}, nil
}

// askedSince reports whether the store was asked after a moment.
func (s *readingStore) askedSince(moment time.Time) bool { return s.asked.Load() > moment.UnixNano() }

// lateStore has no changes, and its answers take a while.
type lateStore struct {
	coordination.Store
	answersAfter, onTheWay time.Duration
}

func (s lateStore) Watch(_ context.Context, after int64, _ time.Duration) (replica.Batch, error) {
	time.Sleep(s.answersAfter + s.onTheWay)
	return replica.Batch{After: after, Through: after}, nil
}

// instanceThatKnows is an instance of a fleet of the given names that has read the store.
func instanceThatKnows(t *testing.T, name string, names []string) *Node {
	t.Helper()
	n := nodeAmong(t, 0, nil)
	n.self.Name = name
	n.overlay.prepare(name)
	n.scope = tally.NoopScope
	for i, other := range names {
		n.applyOne(t, roster.InstanceKey(other), int64(i+1), func() ([]byte, error) {
			return roster.EncodeInstance(roster.Instance{Name: other})
		})
	}
	n.merge(replica.Batch{Snapshot: true, Through: int64(len(names))}, time.Now(), fromStore)
	return n
}

// firstAndLastReader gives two names, the first of which is before the other in the line of readers.
func firstAndLastReader() (first, last string) {
	for i := 0; ; i++ {
		first, last = fmt.Sprint("a", i), fmt.Sprint("b", i)
		if roster.Rank(readingOrder, last, []string{first, last}) == 1 {
			return first, last
		}
	}
}

// Guards against an instance that goes by an old configuration behind a relay that is short of its processor: what the
// relay sends lies in buffers for seconds, and each message that says how fresh the relay is counts as written just now.
func TestInstanceBehindASlowRelayReadsTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer endLinks(cancel)
		relayName, name := firstAndLastReader()
		names := []string{relayName, name}
		relay, n := instanceThatKnows(t, relayName, names), instanceThatKnows(t, name, names)
		store := &readingStore{}
		n.Store = store
		began := time.Now()
		growing := func() time.Duration { return min(time.Since(began)/2, 2*changeWithin) }
		linkLate(ctx, n, relay, always(0), growing)
		go beating(ctx, n, relay)
		go func() {
			for pause.For(ctx, watchEvery) {
				relay.merge(replica.Batch{After: 2, Through: 2}, time.Now(), fromStore)
			}
		}()
		go func() { _ = n.runReading(ctx) }()
		time.Sleep(4 * changeWithin) // until the relay's messages take twice as long as a change may
		changed := time.Now()
		is.True(n.overlay.isAlive(changed, relayName))
		time.Sleep(changeWithin)
		is.True(store.askedSince(changed))
	})
}

// Guards against a reader that is short of its processor: the store's answer that nothing has changed lies in a buffer,
// and counts as of when it is taken up, while changes are made.
func TestLateAnswerOfTheStoreIsOld(t *testing.T) {
	const onTheWay = time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := instanceThatKnows(t, "a", []string{"a"})
		n.Store = lateStore{answersAfter: watchFor, onTheWay: onTheWay}
		is.NoErr(n.read(t.Context()))
		is.Equal(n.ConfirmedAge(), onTheWay)
	})
}

// Guards against instances that keep each other's knowledge fresh while none of them reads the store: each passes
// the last confirmation on as a little younger than it is, for the time that a message takes, and gets it back younger
// still.
func TestConfirmationAgesWhileItIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer endLinks(cancel)
		names := []string{"a", "b", "c"}
		var fleet []*Node
		for _, name := range names {
			fleet = append(fleet, instanceThatKnows(t, name, names))
		}
		const takes = 60 * time.Millisecond
		for i, one := range fleet {
			linkLate(ctx, one, fleet[(i+1)%len(fleet)], always(takes), always(takes))
			go beating(ctx, one)
			time.Sleep(beatEvery / 3) // the beats of instances are not at the same time
		}
		confirmed := fleet[0].knowledge.confirmed.last()
		for range 12 {
			time.Sleep(beatEvery)
			for _, one := range fleet {
				is.True(!one.knowledge.confirmed.last().After(confirmed))
			}
		}
	})
}
