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

// recorder is a peer that notes what it was asked and answers what it was told to.
type recorder struct {
	asked     any
	beat      peer.Heartbeat
	loan      rate.Loan
	placement peer.Placement
	pins      peer.PinList
	permit    peer.LoadPermit
	burn      []burn.Count
}

// pinsAsked is what Pins was asked.
type pinsAsked struct {
	upstream string
	epoch    int64
}

func (r *recorder) Heartbeat(beat peer.Heartbeat) peer.Heartbeat {
	r.asked = beat
	return r.beat
}

func (r *recorder) LendTokens(request peer.TokenRequest) rate.Loan {
	r.asked = request
	return r.loan
}

func (r *recorder) Place(_ context.Context, request peer.PlaceRequest) peer.Placement {
	// The time left travels, and loses what the call took and parts of a millisecond.
	left := time.Until(request.Request.Deadline)
	request.Request.Deadline = time.Unix(0, 0).Add(left.Round(time.Hour))
	r.asked = request
	return r.placement
}

func (r *recorder) Release(request peer.ReleaseRequest) { r.asked = request }

func (r *recorder) Pins(upstream string, epoch int64) peer.PinList {
	r.asked = pinsAsked{upstream: upstream, epoch: epoch}
	return r.pins
}

func (r *recorder) PermitLoad(_ context.Context, asked broker.PermitRequested) peer.LoadPermit {
	r.asked = asked
	return r.permit
}

func (r *recorder) EndLoad(load broker.Load, unused bool) { r.asked = ended{load, unused} }

// ended is what EndLoad was asked.
type ended struct {
	load   broker.Load
	unused bool
}

func (r *recorder) BurnCounts() []burn.Count { return r.burn }

// serve starts a peer on loopback and returns its address.
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

// fromTheFuture puts a field that this version does not know into every message, both ways.
func fromTheFuture(
	ctx context.Context, request any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler,
) (reply any, err error) {
	addUnknown(request)
	reply, err = handle(ctx, request)
	if err == nil {
		addUnknown(reply)
	}
	return reply, err
}

func addUnknown(message any) {
	const later = 1000
	field := protowire.AppendString(protowire.AppendTag(nil, later, protowire.BytesType), "new")
	reflected := message.(proto.Message).ProtoReflect()
	reflected.SetUnknown(append(reflected.GetUnknown(), field...))
}

// ---------------------------------------------------------------------------------------------
// What is drawn. Durations are whole in the unit that they travel in.

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
			Backlog: millis.Draw(t, "backlog"), Resident: list(t, reference), Healthy: rapid.Bool().Draw(t, "healthy"),
			Coldest: amount.Draw(t, "coldest"),
		}
	})
	suspected = rapid.Custom(func(t *rapid.T) suspect.Count {
		return suspect.Count{
			Fingerprint: suspect.Fingerprint(name.Draw(t, "fingerprint")),
			Crashes:     count.Draw(t, "crashes"), Cleared: count.Draw(t, "cleared"),
		}
	})
	returned = rapid.Custom(func(t *rapid.T) rate.LoanReturn {
		return rate.LoanReturn{Workspace: name.Draw(t, "workspace"), Loan: name.Draw(t, "loan"), Remaining: amount.Draw(t, "remaining"), Unspent: amount.Draw(t, "unspent")}
	})
	beat = rapid.Custom(func(t *rapid.T) peer.Heartbeat {
		return peer.Heartbeat{
			Instance: name.Draw(t, "instance"), Incarnation: name.Draw(t, "incarnation"), Revision: number.Draw(t, "revision"),
			ConfirmedAge: time.Duration(rapid.Int64Range(-1, 1<<40).Draw(t, "age")) * time.Microsecond,
			InForceSince: time.UnixMicro(number.Draw(t, "since")), Upstreams: list(t, summary), Suspects: list(t, suspected),
			Leaving: list(t, name), Stopping: rapid.Bool().Draw(t, "stopping"), Returns: list(t, returned),
			OldestRevision: number.Draw(t, "oldest"),
			InForceMembers: list(t, rapid.Byte()),
		}
	})
	pin = rapid.Custom(func(t *rapid.T) holder.Pin {
		return holder.Pin{
			ID: name.Draw(t, "pin"), RequestID: name.Draw(t, "request"), Instance: name.Draw(t, "instance"),
			Incarnation: name.Draw(t, "incarnation"), Workspace: name.Draw(t, "workspace"), Model: reference.Draw(t, "model"),
		}
	})
	counted = rapid.Custom(func(t *rapid.T) burn.Count {
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

// list is nil when it is empty, as it arrives.
func list[T any](t *rapid.T, of *rapid.Generator[T]) []T {
	drawn := rapid.SliceOfN(of, 0, 3).Draw(t, "list")
	if len(drawn) == 0 {
		return nil
	}
	return drawn
}

// A field that a codec forgets is zero at the other end, and is noticed long after: a holder that is told
// no workspace, an upstream that costs nothing to load into. An instance of the next version, which says
// more than this one knows, must be understood as far as this one goes.
func TestMessagesArriveAsTheyWereSent(t *testing.T) {
	handler := &recorder{}
	now := serve(t, handler, insecure.NewCredentials())
	later := serve(t, handler, insecure.NewCredentials(), grpc.UnaryInterceptor(fromTheFuture))
	directory := &peer.Client{Links: link.Links{Credentials: insecure.NewCredentials()}}
	t.Cleanup(directory.Close)
	rapid.Check(t, func(t *rapid.T) {
		exchange(t, directory, handler, rapid.SampledFrom([]string{now, later}).Draw(t, "address"))
	})
}

// exchange makes every call once.
func exchange(t *rapid.T, directory *peer.Client, handler *recorder, address string) {
	ctx := context.Background()
	same := func(call string, err error, sent, wanted, got any) {
		if err != nil {
			t.Fatalf("%s: %v", call, err)
		}
		if !reflect.DeepEqual(handler.asked, sent) {
			t.Fatalf("%s: asked %#v, arrived %#v", call, sent, handler.asked)
		}
		if !reflect.DeepEqual(got, wanted) {
			t.Fatalf("%s: answered %#v, arrived %#v", call, wanted, got)
		}
	}
	sentBeat := beat.Draw(t, "beat")
	handler.beat = beat.Draw(t, "answer")
	gotBeat, err := directory.Ping(ctx, address, sentBeat)
	same("Ping", err, sentBeat, handler.beat, gotBeat)

	tokens := peer.TokenRequest{Workspace: name.Draw(t, "workspace"), Tokens: amount.Draw(t, "tokens"), Borrower: identity.Draw(t, "borrower"), SpareOnly: rapid.Bool().Draw(t, "spare")}
	handler.loan = rate.Loan{ID: name.Draw(t, "loan"), Lender: identity.Draw(t, "lender"), Tokens: amount.Draw(t, "lent"), LenderLevel: amount.Draw(t, "left")}
	loan, err := directory.BorrowTokens(ctx, address, tokens)
	same("AskTokens", err, tokens, handler.loan, loan)

	hours := time.Duration(rapid.IntRange(1, 100).Draw(t, "hours")) * time.Hour
	place := peer.PlaceRequest{Upstream: name.Draw(t, "upstream"), Epoch: number.Draw(t, "epoch"), Request: holder.Request{
		ID: name.Draw(t, "id"), Instance: name.Draw(t, "instance"), Incarnation: name.Draw(t, "incarnation"),
		Workspace: name.Draw(t, "workspace"), Weight: amount.Draw(t, "weight"), Model: reference.Draw(t, "model"),
		Cost: amount.Draw(t, "cost"), Deadline: time.Now().Add(hours), Alone: rapid.Bool().Draw(t, "alone"),
		Apart: rapid.Bool().Draw(t, "apart"),
	}}
	handler.placement = placement.Draw(t, "placement")
	placed, err := directory.Place(ctx, address, place)
	place.Request.Deadline = time.Unix(0, 0).Add(hours)
	same("Place", err, place, handler.placement, placed)

	release := peer.ReleaseRequest{Upstream: name.Draw(t, "upstream"), Instance: name.Draw(t, "instance"), Incarnation: name.Draw(t, "incarnation"), Released: holder.Released{
		Pin: name.Draw(t, "pin"), Tokens: amount.Draw(t, "tokens"),
		UpstreamFailed: rapid.Bool().Draw(t, "failed"), NotResident: rapid.Bool().Draw(t, "not resident"),
	}}
	same("Release", directory.Release(ctx, address, release), release, nil, nil)

	pins := pinsAsked{upstream: name.Draw(t, "upstream"), epoch: number.Draw(t, "epoch")}
	handler.pins = peer.PinList{
		Instance: name.Draw(t, "instance"), Incarnation: name.Draw(t, "incarnation"),
		EpochInstalled: rapid.Bool().Draw(t, "noted"), Pins: list(t, pin),
	}
	told, err := directory.Pins(ctx, address, pins.upstream, pins.epoch)
	same("Pins", err, pins, handler.pins, told)

	load := broker.Load{Upstream: name.Draw(t, "upstream"), Model: reference.Draw(t, "model")}
	asked := broker.PermitRequested{
		Load: load, Workspace: name.Draw(t, "workspace"), Demand: amount.Draw(t, "demand"),
		Waited: millis.Draw(t, "waited"), Patience: millis.Draw(t, "patience"),
	}
	handler.permit = peer.LoadPermit{Granted: rapid.Bool().Draw(t, "granted"), Replaced: rapid.Bool().Draw(t, "replaced"), UseWithin: millis.Draw(t, "use"), RetryAfter: millis.Draw(t, "retry")}
	permit, err := directory.PermitLoad(ctx, address, asked)
	same("PermitLoad", err, asked, handler.permit, permit)
	end := ended{load, rapid.Bool().Draw(t, "unused")}
	same("EndLoad", directory.EndLoad(ctx, address, end.load, end.unused), end, nil, nil)

	handler.burn = list(t, counted)
	counts, err := directory.BurnCounts(ctx, address)
	same("BurnCounts", err, end, handler.burn, counts)
}
