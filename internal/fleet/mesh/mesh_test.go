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
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"lacewingrock.example/lacewingrock/internal/admission/quota"
	"lacewingrock.example/lacewingrock/internal/fleet/gossip"
	"lacewingrock.example/lacewingrock/internal/fleet/link"
	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/fleet/replica"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/forecast"
	"lacewingrock.example/lacewingrock/internal/placement/origin"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
)

// echo is a peer that records the calls it receives and returns the configured responses.
type echo struct {
	server         *grpc.Server
	messages       []mesh.Message
	report         mesh.LoadReport
	held           mesh.HeldReport
	prepareRequest mesh.PrepareRequest
	after          int64
	batch          replica.Batch
	prepared       mesh.PrepareResult
	connectRequest mesh.ConnectRequest
	statements     chan mesh.Statement
	kept           []origin.Record
	proofs         []pool.SoleSoftware
	question       mesh.StreamQuestion
	answer         mesh.StreamAnswer
	charge         quota.Charge
	verdict        quota.Verdict
	// connection and connectError are the result of Connect.
	connection   net.Conn
	connectError error
	// accepted counts the connections of instances, open those that are not closed.
	accepted, open atomic.Int64
	// silent: reports are answered too late.
	silent atomic.Bool
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
	if e.silent.Load() {
		time.Sleep(2 * silentReportTimeout)
		return mesh.HeldReport{}
	}
	e.report = report
	return e.held
}

func (e *echo) CatchUp(after int64) replica.Batch {
	e.after = after
	return e.batch
}

func (e *echo) Prepare(_ context.Context, request mesh.PrepareRequest) mesh.PrepareResult {
	e.prepareRequest = request
	return e.prepared
}

func (e *echo) Connect(_ context.Context, request mesh.ConnectRequest) (net.Conn, error) {
	e.connectRequest = request
	return e.connection, e.connectError
}

func (e *echo) RecordStatement(statement mesh.Statement) {
	e.statements <- statement
}

func (e *echo) KeepStreams(records []origin.Record) []pool.SoleSoftware {
	e.kept = records
	return e.proofs
}

func (e *echo) FindStream(question mesh.StreamQuestion) mesh.StreamAnswer {
	e.question = question
	return e.answer
}

func (e *echo) ChargeRate(charge quota.Charge) quota.Verdict {
	e.charge = charge
	return e.verdict
}

func serveEcho(t testing.TB) (*echo, *mesh.Peers, string) {
	t.Helper()
	peer := &echo{statements: make(chan mesh.Statement, 1)}
	peers, listener := servePeer(t, peer, peer)
	return peer, peers, listener.Addr().String()
}

// servePeer serves a peer, which may extend an echo by calls of its own, and returns the links to it.
func servePeer(t testing.TB, peer *echo, handler mesh.Handler) (*mesh.Peers, net.Listener) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	peer.server = mesh.NewServer(handler)
	go func() { _ = peer.server.Serve(&openCountListener{Listener: listener, peer: peer}) }()
	t.Cleanup(peer.server.Stop)
	peers := &mesh.Peers{Links: link.Links{Credentials: insecure.NewCredentials()}}
	t.Cleanup(peers.Close)
	return peers, listener
}

func TestGossipMessagesRoundTrip(t *testing.T) {
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
		reply, err := stream.Receive()
		is.NoErr(err)
		is.Equal(reply, message)
	}
	is.Equal(peer.messages, messages)
}

func TestStateRoundTrip(t *testing.T) {
	is := is.New(t)
	a := traffic.Adapter{Model: "m", Name: "a"}
	var engine forecast.Engine
	engine.Observe(1500, forecast.Backlog{Prefill: 300, Running: 2}, 90*time.Millisecond)
	state := mesh.State{
		Incarnation: "x", Address: "10.0.0.1:1", StoreUnreachable: true, StreamLifetime: 20 * time.Second, Unreached: []string{"u", "v"},
		Brittle: map[string]pool.Brittleness{"s": {Brittle: true, Rejections: 3}},
		Spent:   quota.Totals{"w": 12.5},
		Loads:   map[string]pool.Load{"u": {Running: 3, PromptTokens: 4000, MemoryTokens: 9000, Rejected: 2, InUse: []traffic.Adapter{a}}},
		Suspects: []suspect.Record{
			{Fingerprint: "f", Crashes: []suspect.Crash{2, 1 << 63}, Cleared: []suspect.Crash{2}, Age: time.Second},
			{Fingerprint: "part", Crashes: []suspect.Crash{2, 3}, Ages: []time.Duration{time.Second, 2 * time.Second}, Requests: []suspect.Request{4, 1 << 63}},
		},
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

func TestReportsRoundTrip(t *testing.T) {
	is := is.New(t)
	peer, peers, address := serveEcho(t)
	a := traffic.Adapter{Model: "m", Name: "a"}
	report := mesh.LoadReport{
		Instance: "i", Loads: map[string]pool.Load{
			"u": {Running: 3, PromptTokens: 4000, MemoryTokens: 9000, InUse: []traffic.Adapter{a}},
		}, Limits: []pool.LimitStatement{{Life: traffic.Life{Upstream: "u", StartedMillis: 5}, Limited: true, PerSecond: 1.8, Age: time.Second}},
		Doubted: []traffic.Life{{Upstream: "u", StartedMillis: 1_796_377_527_792}},
	}
	peer.held = mesh.HeldReport{
		Loads:  map[string]pool.Load{"u": {Running: 5, PromptTokens: 100, MemoryTokens: 700}},
		Limits: []pool.LimitStatement{{Life: traffic.Life{Upstream: "v", StartedMillis: 6}}},
		Residencies: []pool.Residency{{
			Upstream: "u", StartedMillis: 1_796_377_527_792, Fence: 4, Version: 17, FreeSlots: 2, SlotWait: 300 * time.Millisecond, Unreachable: true,
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

func TestBatchRoundTrip(t *testing.T) {
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

// Guards against snapshots of a large store that exceed the message size limit. An instance that starts fetches a
// snapshot from a peer; gRPC's default limit of 4 MB would reject it each time, and the instance would never get a
// configuration.
func TestLargeSnapshotIsReceived(t *testing.T) {
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
			is.Equal(peer.prepareRequest, request)
		})
	}
}

// Guards against questions of memory that reach the holder without what it counts by.
func TestMemoryRoundTrip(t *testing.T) {
	is := is.New(t)
	peer, peers, address := serveEcho(t)
	peer.prepared = mesh.Loaded{}
	request := mesh.PrepareRequest{
		Upstream: "u", MemoryTokens: 700, Memory: pool.MemoryRequest{Instance: "i", Ask: 1 << 60, Tokens: 700, Held: 9000, Open: []int64{5, 1 << 61}},
	}
	_, err := peers.Prepare(t.Context(), address, request)
	is.NoErr(err)
	is.Equal(peer.prepareRequest, request)
	report := mesh.LoadReport{
		Instance: "i", Loads: map[string]pool.Load{"u": {Running: 1, MemoryTokens: 900}},
		Memory: pool.MemoryStatement{Sequence: 1 << 62, Asks: []int64{5, 1 << 61}, Upstreams: []string{"u", "v"}},
	}
	_, err = peers.Report(t.Context(), address, report)
	is.NoErr(err)
	is.Equal(peer.report, report)
}

// slowPeer is a peer that responds late.
type slowPeer struct{ echo }

func (s *slowPeer) Report(mesh.LoadReport) mesh.HeldReport {
	time.Sleep(60 * time.Millisecond)
	return mesh.HeldReport{}
}

// Guards against replacing a working connection because responses are late. A holder that is short of CPU responds
// slightly after the callers' deadlines; a new connection every few calls would cost both ends more than the responses,
// at the time of the highest load.
func TestLateResponsesKeepTheConnection(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	counting := &countingListener{Listener: listener}
	server := mesh.NewServer(&slowPeer{})
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

// countingConn is a connection that counts what the server writes.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Write(content []byte) (int, error) {
	c.bytes.Add(int64(len(content)))
	return c.Conn.Write(content)
}

type countingListener struct {
	net.Listener
	bytes    atomic.Int64
	accepted atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	l.accepted.Add(1)
	return countingConn{Conn: accepted, bytes: &l.bytes}, err
}

// Guards against configurations that are sent uncompressed. The operators apply some thousand routes, 0.5 MB that each
// instance fetches from another. The links carry about 1 MB/s and many instances fetch at once; uncompressed, the
// configuration arrives late at the last ones, which refuse requests on the new routes.
func TestConfigurationIsSentSmall(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	counting := &countingListener{Listener: listener}
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

// Guards against a stop that waits for a connection on which a peer sent nothing, because it was lost right after it
// was opened. A rolling replacement of instances would wait too, and the process would be killed in the end.
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
		t.Fatal("the server did not stop within 5 s")
	}
	is.NoErr(<-served)
}
