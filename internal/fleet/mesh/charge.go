package mesh

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/admission/quota"
	"lacewingrock.example/lacewingrock/internal/wire/meshpb"
)

// charge.go asks the coordinator of a workspace's rate to charge a request.

// ChargeRate asks the coordinator at address. The error means that the verdict is not known.
func (p *Peers) ChargeRate(ctx context.Context, address string, charge quota.Charge) (_ quota.Verdict, err error) {
	defer func() { err = errors.WithMessage(err, "mesh: charge rate") }()
	client, err := p.client(address)
	if err != nil {
		return nil, err
	}
	reply, err := client.ChargeRate(ctx, &meshpb.ChargeRequest{
		Instance: charge.Instance, Incarnation: charge.Incarnation, Version: charge.Version,
		Workspace: charge.Workspace, Cost: charge.Cost, Total: charge.Total,
	})
	if err != nil {
		return nil, err
	}
	return verdictFromWire(reply), nil
}

// ChargeRate answers a peer.
func (s service) ChargeRate(_ context.Context, wire *meshpb.ChargeRequest) (*meshpb.ChargeReply, error) {
	return verdictToWire(s.handler.ChargeRate(quota.Charge{
		Instance: wire.GetInstance(), Incarnation: wire.GetIncarnation(), Version: wire.GetVersion(),
		Workspace: wire.GetWorkspace(), Cost: wire.GetCost(), Total: wire.GetTotal(),
	})), nil
}

func verdictToWire(verdict quota.Verdict) *meshpb.ChargeReply {
	switch verdict := verdict.(type) {
	case quota.Charged:
		return &meshpb.ChargeReply{Verdict: meshpb.ChargeVerdict_CHARGE_VERDICT_CHARGED}
	case quota.OverRate:
		return &meshpb.ChargeReply{
			Verdict:          meshpb.ChargeVerdict_CHARGE_VERDICT_OVER_RATE,
			RetryAfterMicros: verdict.RetryAfter.Microseconds(), ClosedMicros: verdict.Closed.Microseconds(),
		}
	}
	return &meshpb.ChargeReply{}
}

func verdictFromWire(wire *meshpb.ChargeReply) quota.Verdict {
	switch wire.GetVerdict() {
	case meshpb.ChargeVerdict_CHARGE_VERDICT_CHARGED:
		return quota.Charged{}
	case meshpb.ChargeVerdict_CHARGE_VERDICT_OVER_RATE:
		return quota.OverRate{
			RetryAfter: time.Duration(max(wire.GetRetryAfterMicros(), 0)) * time.Microsecond,
			Closed:     time.Duration(max(wire.GetClosedMicros(), 0)) * time.Microsecond,
		}
	}
	return quota.Unanswered{}
}
