package peer_test

import (
	"context"
	"net"
	"reflect"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"lacewingrock.example/lacewingrock/internal/admission/rate"
	"lacewingrock.example/lacewingrock/internal/fleet/link"
	"lacewingrock.example/lacewingrock/internal/fleet/peer"
	"lacewingrock.example/lacewingrock/internal/placement/broker"
	"lacewingrock.example/lacewingrock/internal/placement/holder"
	"lacewingrock.example/lacewingrock/internal/placement/model"
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
	"lacewingrock.example/lacewingrock/internal/report/burn"
)

// recorder is a peer that records the last request and returns the configured responses.
type recorder struct {
	request   any
	heartbeat peer.Heartbeat
	loan      rate.Loan
	placement peer.Placement
	pins      peer.PinList
	permit    peer.LoadPermit
	burn      []burn.Count
}

// pinsRequest holds the arguments of a call of Pins.
type pinsRequest struct {
	upstream string
	epoch    int64
}

func (r *recorder) Heartbeat(heartbeat peer.Heartbeat) peer.Heartbeat {
	r.request = heartbeat
	return r.heartbeat
}

func (r *recorder) LendTokens(request peer.TokenRequest) rate.Loan {
	r.request = request
	return r.loan
}

func (r *recorder) Place(_ context.Context, request peer.PlaceRequest) peer.Placement {
	// The remaining time is sent. It is shorter by the duration of the call and has no fractions of a millisecond.
	remaining := time.Until(request.Request.Deadline)
	request.Request.Deadline = time.Unix(0, 0).Add(remaining.Round(time.Hour))
	r.request = request
	return r.placement
}

func (r *recorder) Release(request peer.ReleaseRequest) { r.request = request }

func (r *recorder) Pins(upstream string, epoch int64) peer.PinList {
	r.request = pinsRequest{upstream: upstream, epoch: epoch}
	return r.pins
}

func (r *recorder) PermitLoad(_ context.Context, permitRequest broker.PermitRequested) peer.LoadPermit {
	r.request = permitRequest
	return r.permit
}

func (r *recorder) EndLoad(load broker.Load, unused bool) { r.request = endLoadRequest{load, unused} }

// endLoadRequest holds the arguments of a call of EndLoad.
type endLoadRequest struct {
	load   broker.Load
	unused bool
}

func (r *recorder) BurnCounts() []burn.Count { return r.burn }

// serve starts a peer on the loopback interface and returns its address.
func serve(t *testing.T, handler peer.Handler, secured credentials.TransportCredentials, options ...grpc.ServerOption) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer(append(options, grpc.Creds(secured))...)
	peer.Register(server, handler)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return listener.Addr().String()
}

// addUnknownFields is an interceptor that adds an unknown field to each request and response, as a newer version could.
func addUnknownFields(
	ctx context.Context, request any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler,
) (reply any, err error) {
	addUnknownField(request)
	reply, err = handle(ctx, request)
	if err == nil {
		addUnknownField(reply)
	}
	return reply, err
}

func addUnknownField(message any) {
	const later = 1000
	field := protowire.AppendString(protowire.AppendTag(nil, later, protowire.BytesType), "new")
	reflected := message.(proto.Message).ProtoReflect()
	reflected.SetUnknown(append(reflected.GetUnknown(), field...))
}

// ---------------------------------------------------------------------------------------------
// Generators. Durations are multiples of the unit in which they are sent.

var (
	name   = rapid.StringMatching(`[a-z0-9-]{0,8}`)
	number = rapid.Int64Range(0, 1<<50)
	amount = rapid.Float64Range(0, 1e12)
	count  = rapid.IntRange(0, 1<<20)
	millis = rapid.Custom(func(t *rapid.T) time.Duration {
		return time.Duration(rapid.Int64Range(0, 1<<40).Draw(t, "ms")) * time.Millisecond
	})
	identity = rapid.Custom(func(t *rapid.T) rate.Identity {
		return rate.Identity{Name: name.Draw(t, "name"), Incarnation: name.Draw(t, "incarnation")}
	})
	reference = rapid.Custom(func(t *rapid.T) model.Reference {
		return model.Reference{Adapter: "a" + name.Draw(t, "adapter"), Version: "v" + name.Draw(t, "version")}
	})
	summary = rapid.Custom(func(t *rapid.T) holder.Summary {
		return holder.Summary{
			Upstream: name.Draw(t, "upstream"), Epoch: number.Draw(t, "epoch"), FreeBatchSlots: count.Draw(t, "free"),
			Backlog: millis.Draw(t, "backlog"), Resident: listOf(t, reference), Healthy: rapid.Bool().Draw(t, "healthy"),
			Coldest: amount.Draw(t, "coldest"),
		}
	})
	crash         = rapid.Map(rapid.Uint64(), func(id uint64) suspect.Crash { return suspect.Crash(id) })
	suspectRecord = rapid.Custom(func(t *rapid.T) suspect.Record {
		return suspect.Record{
			Fingerprint: suspect.Fingerprint(name.Draw(t, "fingerprint")),
			Crashes:     listOf(t, crash), Cleared: listOf(t, crash),
			Age: time.Duration(count.Draw(t, "age")) * time.Millisecond,
		}
	})
	loanReturn = rapid.Custom(func(t *rapid.T) rate.LoanReturn {
		return rate.LoanReturn{Workspace: name.Draw(t, "workspace"), Loan: name.Draw(t, "loan"), Remaining: amount.Draw(t, "remaining"), Unspent: amount.Draw(t, "unspent")}
	})
	heartbeat = rapid.Custom(func(t *rapid.T) peer.Heartbeat {
		return peer.Heartbeat{
			Instance: name.Draw(t, "instance"), Incarnation: name.Draw(t, "incarnation"), Revision: number.Draw(t, "revision"),
			ConfirmedAge: time.Duration(rapid.Int64Range(-1, 1<<40).Draw(t, "age")) * time.Microsecond,
			InForceSince: time.UnixMicro(number.Draw(t, "since")), Upstreams: listOf(t, summary), Suspects: listOf(t, suspectRecord),
			Leaving: listOf(t, name), Stopping: rapid.Bool().Draw(t, "stopping"), Returns: listOf(t, loanReturn),
			OldestRevision: number.Draw(t, "oldest"),
			InForceMembers: listOf(t, rapid.Byte()),
		}
	})
	pin = rapid.Custom(func(t *rapid.T) holder.Pin {
		return holder.Pin{
			ID: name.Draw(t, "pin"), RequestID: name.Draw(t, "request"), Instance: name.Draw(t, "instance"),
			Incarnation: name.Draw(t, "incarnation"), Workspace: name.Draw(t, "workspace"), Model: reference.Draw(t, "model"),
		}
	})
	burnCount = rapid.Custom(func(t *rapid.T) burn.Count {
		return burn.Count{
			Workspace: name.Draw(t, "workspace"), Objective: burn.Objective(name.Draw(t, "objective")),
			Start:  time.Unix(rapid.Int64Range(0, 1<<33).Draw(t, "start"), 0),
			Length: time.Duration(rapid.Int64Range(0, 1<<20).Draw(t, "length")) * time.Second,
			Good:   number.Draw(t, "good"), Bad: number.Draw(t, "bad"),
		}
	})
	reasons   = []holder.Reason{holder.ReasonNotHolder, holder.ReasonBusy, holder.ReasonLoadFailed, holder.ReasonLeaving}
	placement = rapid.Custom(func(t *rapid.T) peer.Placement {
		if rapid.Bool().Draw(t, "granted") {
			return peer.Granted{Pin: name.Draw(t, "pin"), WaitedLoad: millis.Draw(t, "load"), WaitedQueue: millis.Draw(t, "queue")}
		}
		return peer.Refused{Reason: rapid.SampledFrom(reasons).Draw(t, "reason"), RetryAfter: millis.Draw(t, "retry")}
	})
)

// listOf returns nil instead of an empty list, as the decoder does.
func listOf[T any](t *rapid.T, of *rapid.Generator[T]) []T {
	elements := rapid.SliceOfN(of, 0, 3).Draw(t, "list")
	if len(elements) == 0 {
		return nil
	}
	return elements
}

// Guards against fields that a codec omits. They are zero at the receiver and are noticed late: a holder that gets no
// workspace, an upstream whose loads cost nothing. Also guards against messages of a newer version that are not decoded
// because they have unknown fields.
func TestMessagesRoundTrip(t *testing.T) {
	handler := &recorder{}
	current := serve(t, handler, insecure.NewCredentials())
	newer := serve(t, handler, insecure.NewCredentials(), grpc.UnaryInterceptor(addUnknownFields))
	client := &peer.Client{Links: link.Links{Credentials: insecure.NewCredentials()}}
	t.Cleanup(client.Close)
	rapid.Check(t, func(t *rapid.T) {
		callAll(t, client, handler, rapid.SampledFrom([]string{current, newer}).Draw(t, "address"))
	})
}

// callAll makes each call once.
func callAll(t *rapid.T, client *peer.Client, handler *recorder, address string) {
	ctx := context.Background()
	same := func(call string, err error, sent, wanted, got any) {
		if err != nil {
			t.Fatalf("%s: %v", call, err)
		}
		if !reflect.DeepEqual(handler.request, sent) {
			t.Fatalf("%s: sent request %#v, received %#v", call, sent, handler.request)
		}
		if !reflect.DeepEqual(got, wanted) {
			t.Fatalf("%s: sent response %#v, received %#v", call, wanted, got)
		}
	}
	sentHeartbeat := heartbeat.Draw(t, "heartbeat")
	handler.heartbeat = heartbeat.Draw(t, "response")
	gotHeartbeat, err := client.Ping(ctx, address, sentHeartbeat)
	same("Ping", err, sentHeartbeat, handler.heartbeat, gotHeartbeat)

	tokens := peer.TokenRequest{Workspace: name.Draw(t, "workspace"), Tokens: amount.Draw(t, "tokens"), Borrower: identity.Draw(t, "borrower"), SpareOnly: rapid.Bool().Draw(t, "spare")}
	handler.loan = rate.Loan{ID: name.Draw(t, "loan"), Lender: identity.Draw(t, "lender"), Tokens: amount.Draw(t, "lent"), LenderLevel: amount.Draw(t, "left")}
	loan, err := client.BorrowTokens(ctx, address, tokens)
	same("BorrowTokens", err, tokens, handler.loan, loan)

	hours := time.Duration(rapid.IntRange(1, 100).Draw(t, "hours")) * time.Hour
	place := peer.PlaceRequest{Upstream: name.Draw(t, "upstream"), Epoch: number.Draw(t, "epoch"), Request: holder.Request{
		ID: name.Draw(t, "id"), Instance: name.Draw(t, "instance"), Incarnation: name.Draw(t, "incarnation"),
		Workspace: name.Draw(t, "workspace"), Weight: amount.Draw(t, "weight"), Model: reference.Draw(t, "model"),
		Cost: amount.Draw(t, "cost"), Deadline: time.Now().Add(hours), Alone: rapid.Bool().Draw(t, "alone"),
		Apart: rapid.Bool().Draw(t, "apart"),
	}}
	handler.placement = placement.Draw(t, "placement")
	placed, err := client.Place(ctx, address, place)
	place.Request.Deadline = time.Unix(0, 0).Add(hours)
	same("Place", err, place, handler.placement, placed)

	release := peer.ReleaseRequest{Upstream: name.Draw(t, "upstream"), Instance: name.Draw(t, "instance"), Incarnation: name.Draw(t, "incarnation"), Released: holder.Released{
		Pin: name.Draw(t, "pin"), Tokens: amount.Draw(t, "tokens"),
		UpstreamFailed: rapid.Bool().Draw(t, "failed"), NotResident: rapid.Bool().Draw(t, "not resident"),
	}}
	same("Release", client.Release(ctx, address, release), release, nil, nil)

	pins := pinsRequest{upstream: name.Draw(t, "upstream"), epoch: number.Draw(t, "epoch")}
	handler.pins = peer.PinList{
		Instance: name.Draw(t, "instance"), Incarnation: name.Draw(t, "incarnation"),
		EpochInstalled: rapid.Bool().Draw(t, "epoch installed"), Pins: listOf(t, pin),
	}
	pinList, err := client.Pins(ctx, address, pins.upstream, pins.epoch)
	same("Pins", err, pins, handler.pins, pinList)

	load := broker.Load{Upstream: name.Draw(t, "upstream"), Model: reference.Draw(t, "model")}
	permitRequest := broker.PermitRequested{
		Load: load, Workspace: name.Draw(t, "workspace"), Demand: amount.Draw(t, "demand"),
		Waited: millis.Draw(t, "waited"), Patience: millis.Draw(t, "patience"),
	}
	handler.permit = peer.LoadPermit{Granted: rapid.Bool().Draw(t, "granted"), Replaced: rapid.Bool().Draw(t, "replaced"), UseWithin: millis.Draw(t, "use"), RetryAfter: millis.Draw(t, "retry")}
	permit, err := client.PermitLoad(ctx, address, permitRequest)
	same("PermitLoad", err, permitRequest, handler.permit, permit)
	end := endLoadRequest{load, rapid.Bool().Draw(t, "unused")}
	same("EndLoad", client.EndLoad(ctx, address, end.load, end.unused), end, nil, nil)

	handler.burn = listOf(t, burnCount)
	counts, err := client.BurnCounts(ctx, address)
	same("BurnCounts", err, end, handler.burn, counts)
}
