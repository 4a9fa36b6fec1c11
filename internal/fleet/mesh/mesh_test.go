package mesh_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc/credentials/insecure"

	"lacewingrock.example/lacewingrock/internal/admission/quota"
	"lacewingrock.example/lacewingrock/internal/fleet/gossip"
	"lacewingrock.example/lacewingrock/internal/fleet/link"
	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/fleet/replica"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/forecast"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
)

// echo is a peer that keeps what it gets and answers as it is set.
type echo struct {
	messages []mesh.Message
	report   mesh.LoadReport
	held     mesh.HeldReport
	asked    mesh.PrepareRequest
	after    int64
	batch    replica.Batch
	prepared mesh.PrepareResult
}

func (e *echo) Gossip(_ context.Context, stream mesh.Stream) error {
	for {
		message, err := stream.Receive()
		if err != nil {
			return nil
		}
		e.messages = append(e.messages, message)
		if err := stream.Send(message); err != nil {
			return err
		}
	}
}

func (e *echo) Report(report mesh.LoadReport) mesh.HeldReport {
	e.report = report
	return e.held
}

func (e *echo) CatchUp(after int64) replica.Batch {
	e.after = after
	return e.batch
}

func (e *echo) Prepare(_ context.Context, request mesh.PrepareRequest) mesh.PrepareResult {
	e.asked = request
	return e.prepared
}

func serveEcho(t *testing.T) (*echo, *mesh.Peers, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	peer := &echo{}
	server := mesh.NewServer(peer)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	peers := &mesh.Peers{Links: link.Links{Credentials: insecure.NewCredentials()}}
	t.Cleanup(peers.Close)
	return peer, peers, listener.Addr().String()
}

func TestMessagesArriveWhole(t *testing.T) {
	is := is.New(t)
	peer, peers, address := serveEcho(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stream, err := peers.Gossip(ctx, address)
	is.NoErr(err)
	messages := []mesh.Message{
		{Instance: "i", Address: "10.0.0.1:1", Attached: true, Revision: 7, UrgentRevision: 5, ConfirmedAge: 250 * time.Millisecond, Stamp: gossip.Stamp{Sent: 3 * time.Second, Echo: 2 * time.Second, EchoAge: time.Millisecond}},
		{Revision: 8, ConfirmedAge: -time.Microsecond, Records: []gossip.Record{
			{Instance: "j", Version: 5, Age: time.Second, Urgent: true, Content: []byte("x")}, {Instance: "k", Version: 2, Part: gossip.PartHeld},
		}},
	}
	for _, message := range messages {
		is.NoErr(stream.Send(message))
		answer, err := stream.Receive()
		is.NoErr(err)
		is.Equal(answer, message)
	}
	is.Equal(peer.messages, messages)
}

func TestStateArrivesWhole(t *testing.T) {
	is := is.New(t)
	a := traffic.Adapter{Model: "m", Name: "a"}
	var engine forecast.Engine
	engine.Observe(1500, forecast.Backlog{Prefill: 300, Running: 2}, 90*time.Millisecond)
	state := mesh.State{
		Incarnation: "x", Address: "10.0.0.1:1", StoreUnreachable: true,
		Spent:    quota.Totals{"w": 12.5},
		Loads:    map[string]pool.Load{"u": {Running: 3, PromptTokens: 4000, MemoryTokens: 9000, InUse: []traffic.Adapter{a}}},
		Suspects: []suspect.Count{{Fingerprint: "f", Crashes: 2, Cleared: 1}},
		Evidence: map[string]forecast.Evidence{"s": engine.LocalEvidence()},
	}
	content, err := mesh.EncodeState(state)
	is.NoErr(err)
	decoded, err := mesh.DecodeState(content)
	is.NoErr(err)
	is.Equal(decoded, state)
	_, err = mesh.DecodeState([]byte{0xff})
	is.True(err != nil)
}

func TestReportsArriveWhole(t *testing.T) {
	is := is.New(t)
	peer, peers, address := serveEcho(t)
	a := traffic.Adapter{Model: "m", Name: "a"}
	report := mesh.LoadReport{Instance: "i", Loads: map[string]pool.Load{
		"u": {Running: 3, PromptTokens: 4000, MemoryTokens: 9000, InUse: []traffic.Adapter{a}},
	}}
	peer.held = mesh.HeldReport{
		Loads: map[string]pool.Load{"u": {Running: 5, PromptTokens: 100, MemoryTokens: 700}},
		Residencies: []pool.Residency{{
			Upstream: "u", Fence: 4, Version: 17, FreeSlots: 2, SlotWait: 300 * time.Millisecond, Unreachable: true,
			Loaded: []pool.Resident{{Adapter: a, Version: 2, InTransit: true}},
		}},
	}
	held, err := peers.Report(context.Background(), address, report)
	is.NoErr(err)
	is.Equal(peer.report, report)
	is.Equal(held, peer.held)
	content, err := mesh.EncodeHeld(peer.held)
	is.NoErr(err)
	held, err = mesh.DecodeHeld(content)
	is.NoErr(err)
	is.Equal(held, peer.held)
	_, err = mesh.DecodeHeld([]byte{0xff})
	is.True(err != nil)
}

func TestChangesArriveWhole(t *testing.T) {
	is := is.New(t)
	peer, peers, address := serveEcho(t)
	peer.batch = replica.Batch{After: 3, Through: 9, Snapshot: true, Items: []replica.Item{
		{Key: "a", Value: []byte("x"), Revision: 4}, {Key: "b", Revision: 9, Removed: true},
	}}
	batch, err := peers.CatchUp(context.Background(), address, 3)
	is.NoErr(err)
	is.Equal(peer.after, int64(3))
	is.Equal(batch, peer.batch)
}

// An instance begins with a whole copy of a large store from a peer. The library's bound of four megabytes
// would refuse it each time, and the instance would never know a configuration.
func TestLargeCopyArrives(t *testing.T) {
	is := is.New(t)
	peer, peers, address := serveEcho(t)
	peer.batch = replica.Batch{Snapshot: true, Through: 1, Items: []replica.Item{{Key: "a", Value: make([]byte, 6<<20), Revision: 1}}}
	batch, err := peers.CatchUp(context.Background(), address, 0)
	is.NoErr(err)
	is.Equal(len(batch.Items[0].Value), 6<<20)
}

func TestPrepare(t *testing.T) {
	tests := []struct {
		name     string
		prepared mesh.PrepareResult
	}{
		{"loaded", mesh.Loaded{Version: 5}},
		{"not the holder", mesh.NotHolder{}},
		{"busy", mesh.Busy{RetryAfter: 700 * time.Millisecond}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			peer, peers, address := serveEcho(t)
			peer.prepared = test.prepared
			request := mesh.PrepareRequest{
				Upstream: "u", Adapter: traffic.Adapter{Model: "m", Name: "a"}, Version: 2,
				MaxWait: time.Second, OnTime: 300 * time.Millisecond, Priority: 1,
			}
			prepared, err := peers.Prepare(context.Background(), address, request)
			is.NoErr(err)
			is.Equal(prepared, test.prepared)
			is.Equal(peer.asked, request)
		})
	}
}

// slow is a peer that answers late.
type slow struct{ echo }

func (s *slow) Report(mesh.LoadReport) mesh.HeldReport {
	time.Sleep(60 * time.Millisecond)
	return mesh.HeldReport{}
}

// A holder is short of processor time and answers questions a little too late for those who ask. Its connection
// is sound; replaced after each few questions, it would cost both ends more than the answers, just when there
// is the least to spare.
func TestLateAnswersToQuestionsKeepTheConnection(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	counting := &countedListener{Listener: listener}
	server := mesh.NewServer(&slow{})
	go func() { _ = server.Serve(counting) }()
	defer server.Stop()
	peers := &mesh.Peers{Links: link.Links{Credentials: insecure.NewCredentials()}}
	defer peers.Close()
	for range 6 {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		_, err := peers.Query(ctx, listener.Addr().String(), mesh.LoadReport{})
		is.True(err != nil)
		cancel()
	}
	_, err = peers.Query(context.Background(), listener.Addr().String(), mesh.LoadReport{})
	is.NoErr(err)
	is.Equal(counting.accepted.Load(), int64(1))
}

// counted is a connection that counts what the server writes.
type counted struct {
	net.Conn
	bytes *atomic.Int64
}

func (c counted) Write(content []byte) (int, error) {
	c.bytes.Add(int64(len(content)))
	return c.Conn.Write(content)
}

type countedListener struct {
	net.Listener
	bytes    atomic.Int64
	accepted atomic.Int64
}

func (l *countedListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	l.accepted.Add(1)
	return counted{Conn: accepted, bytes: &l.bytes}, err
}

// The operators put some thousand routes into force, half a megabyte that each instance fetches from another.
// Their links carry about a megabyte a second, and many fetch at once; sent as it is, the configuration is
// late at those that come last, who refuse requests on the new routes.
func TestConfigurationIsSentSmall(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	counting := &countedListener{Listener: listener}
	var value strings.Builder
	for number := range 1640 {
		fmt.Fprintf(&value, `{"name":"r%d","host":"a%d.example","prefix":"/p%d/","route-kind":"idempotent","timeout-ms":5000,`+
			`"latency-target-ms":300,"priority":2,"service":"app","attempts":2,"public":false,"resumable":false},`, number, number, number)
	}
	peer := &echo{batch: replica.Batch{Through: 9, Items: []replica.Item{{Key: "k", Value: []byte(value.String()), Revision: 9}}}}
	server := mesh.NewServer(peer)
	go func() { _ = server.Serve(counting) }()
	defer server.Stop()
	peers := &mesh.Peers{Links: link.Links{Credentials: insecure.NewCredentials()}}
	defer peers.Close()
	batch, err := peers.CatchUp(context.Background(), listener.Addr().String(), 1)
	is.NoErr(err)
	is.Equal(batch, peer.batch)
	t.Logf("%d bytes sent for %d", counting.bytes.Load(), value.Len())
	is.True(counting.bytes.Load() < int64(value.Len())/5)
}

// A peer's connection is opened and then lost on the way, before it said a word. The instance is told to
// stop. It must not wait for that connection: whoever replaces instances one by one waits with it, and in the
// end the process is killed.
func TestStopDoesNotWaitForASilentConnection(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := mesh.NewServer(&echo{})
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	silent, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer silent.Close()
	time.Sleep(100 * time.Millisecond) // until the server has accepted it
	stopped := make(chan struct{})
	go func() {
		server.Stop()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-time.After(5 * time.Second):
		t.Fatal("still stopping")
	}
	is.NoErr(<-served)
}
