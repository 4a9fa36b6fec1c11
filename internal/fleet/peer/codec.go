package peer

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/admission/rate"
	"lacewingrock.example/lacewingrock/internal/placement/broker"
	"lacewingrock.example/lacewingrock/internal/placement/holder"
	"lacewingrock.example/lacewingrock/internal/placement/model"
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
	"lacewingrock.example/lacewingrock/internal/report/burn"
	"lacewingrock.example/lacewingrock/internal/wire/fleetpb"
)

// codec.go converts domain values to wire messages and back, with a pair of functions for each type.

func heartbeatToWire(b Heartbeat) *fleetpb.Beat {
	wire := &fleetpb.Beat{
		Instance:           b.Instance,
		Incarnation:        b.Incarnation,
		Revision:           b.Revision,
		ConfirmedAgeMicros: b.ConfirmedAge.Microseconds(),
		InForceSinceMicros: b.InForceSince.UnixMicro(),
		Leaving:            b.Leaving,
		Stopping:           b.Stopping,
		OldestRevision:     b.OldestRevision,
	}
	if b.ConfirmedAge < 0 {
		wire.ConfirmedAgeMicros = -1 // a negative age below 1 microsecond would become 0, which means "just confirmed"
	}
	wire.Told = b.InForceMembers
	for _, summary := range b.Upstreams {
		wire.Upstreams = append(wire.Upstreams, summaryToWire(summary))
	}
	wire.Suspects = suspectsToWire(b.Suspects)
	for _, loanReturn := range b.Returns {
		wire.Returns = append(wire.Returns, &fleetpb.LoanReturn{
			Workspace: loanReturn.Workspace,
			Loan:      loanReturn.Loan,
			Remaining: loanReturn.Remaining,
			Unspent:   loanReturn.Unspent,
		})
	}
	return wire
}

func heartbeatFromWire(wire *fleetpb.Beat) Heartbeat {
	b := Heartbeat{
		Instance:       wire.GetInstance(),
		Incarnation:    wire.GetIncarnation(),
		Revision:       wire.GetRevision(),
		ConfirmedAge:   time.Duration(wire.GetConfirmedAgeMicros()) * time.Microsecond,
		InForceSince:   time.UnixMicro(wire.GetInForceSinceMicros()),
		Leaving:        wire.GetLeaving(),
		Stopping:       wire.GetStopping(),
		OldestRevision: wire.GetOldestRevision(),
	}
	b.InForceMembers = wire.GetTold()
	for _, summary := range wire.GetUpstreams() {
		b.Upstreams = append(b.Upstreams, summaryFromWire(summary))
	}
	b.Suspects = suspectsFromWire(wire.GetSuspects())
	for _, loanReturn := range wire.GetReturns() {
		b.Returns = append(b.Returns, rate.LoanReturn{
			Workspace: loanReturn.GetWorkspace(),
			Loan:      loanReturn.GetLoan(),
			Remaining: loanReturn.GetRemaining(),
			Unspent:   loanReturn.GetUnspent(),
		})
	}
	return b
}

func summaryToWire(s holder.Summary) *fleetpb.UpstreamSummary {
	wire := &fleetpb.UpstreamSummary{
		Upstream:      s.Upstream,
		Epoch:         s.Epoch,
		FreePlaces:    int32(s.FreeBatchSlots),
		BacklogMillis: s.Backlog.Milliseconds(),
		Healthy:       s.Healthy,
		Coldest:       s.Coldest,
	}
	for _, ref := range s.Resident {
		wire.Resident = append(wire.Resident, ref.String())
	}
	return wire
}

func summaryFromWire(wire *fleetpb.UpstreamSummary) holder.Summary {
	s := holder.Summary{
		Upstream:       wire.GetUpstream(),
		Epoch:          wire.GetEpoch(),
		FreeBatchSlots: int(wire.GetFreePlaces()),
		Backlog:        millis(wire.GetBacklogMillis()),
		Healthy:        wire.GetHealthy(),
		Coldest:        wire.GetColdest(),
	}
	for _, text := range wire.GetResident() {
		if ref, ok := model.Parse(text); ok {
			s.Resident = append(s.Resident, ref)
		}
	}
	return s
}

// ---------------------------------------------------------------------------------------------

func placeToWire(p PlaceRequest, now time.Time) *fleetpb.AcquireRequest {
	return &fleetpb.AcquireRequest{
		RequestId:      p.Request.ID,
		Instance:       p.Request.Instance,
		Incarnation:    p.Request.Incarnation,
		Workspace:      p.Request.Workspace,
		Weight:         p.Request.Weight,
		Upstream:       p.Upstream,
		Adapter:        p.Request.Model.Adapter,
		Version:        p.Request.Model.Version,
		Cost:           p.Request.Cost,
		PatienceMillis: p.Request.Deadline.Sub(now).Milliseconds(),
		Epoch:          p.Epoch,
		Alone:          p.Request.Alone,
		Apart:          p.Request.Apart,
	}
}

func placeFromWire(wire *fleetpb.AcquireRequest, now time.Time) PlaceRequest {
	return PlaceRequest{
		Upstream: wire.GetUpstream(),
		Epoch:    wire.GetEpoch(),
		Request: holder.Request{
			ID:          wire.GetRequestId(),
			Instance:    wire.GetInstance(),
			Incarnation: wire.GetIncarnation(),
			Workspace:   wire.GetWorkspace(),
			Weight:      wire.GetWeight(),
			Model:       model.Reference{Adapter: wire.GetAdapter(), Version: wire.GetVersion()},
			Cost:        wire.GetCost(),
			Deadline:    now.Add(millis(wire.GetPatienceMillis())),
			Alone:       wire.GetAlone(),
			Apart:       wire.GetApart(),
		},
	}
}

func placementToWire(p Placement) *fleetpb.AcquireReply {
	switch p := p.(type) {
	case Granted:
		return &fleetpb.AcquireReply{
			Verdict:           fleetpb.Verdict_VERDICT_GRANTED,
			Pin:               p.Pin,
			WaitedLoadMillis:  p.WaitedLoad.Milliseconds(),
			WaitedQueueMillis: p.WaitedQueue.Milliseconds(),
		}
	case Refused:
		return &fleetpb.AcquireReply{
			Verdict:          verdictOf(p.Reason),
			RetryAfterMillis: p.RetryAfter.Milliseconds(),
		}
	}
	panic("peer: a placement is missing from placementToWire")
}

func placementFromWire(wire *fleetpb.AcquireReply) Placement {
	if wire.GetVerdict() == fleetpb.Verdict_VERDICT_GRANTED {
		return Granted{
			Pin:         wire.GetPin(),
			WaitedLoad:  millis(wire.GetWaitedLoadMillis()),
			WaitedQueue: millis(wire.GetWaitedQueueMillis()),
		}
	}
	return Refused{Reason: reasonOf(wire.GetVerdict()), RetryAfter: millis(wire.GetRetryAfterMillis())}
}

func verdictOf(reason holder.Reason) fleetpb.Verdict {
	switch reason {
	case holder.ReasonBusy:
		return fleetpb.Verdict_VERDICT_BUSY
	case holder.ReasonLoadFailed:
		return fleetpb.Verdict_VERDICT_LOAD_FAILED
	case holder.ReasonLeaving:
		return fleetpb.Verdict_VERDICT_LEAVING
	}
	return fleetpb.Verdict_VERDICT_NOT_HOLDER
}

func reasonOf(verdict fleetpb.Verdict) holder.Reason {
	switch verdict {
	case fleetpb.Verdict_VERDICT_BUSY:
		return holder.ReasonBusy
	case fleetpb.Verdict_VERDICT_LOAD_FAILED:
		return holder.ReasonLoadFailed
	case fleetpb.Verdict_VERDICT_LEAVING:
		return holder.ReasonLeaving
	}
	return holder.ReasonNotHolder
}

// ---------------------------------------------------------------------------------------------

func releaseToWire(r ReleaseRequest) *fleetpb.ReleaseRequest {
	return &fleetpb.ReleaseRequest{
		Upstream:       r.Upstream,
		Pin:            r.Released.Pin,
		Instance:       r.Instance,
		Incarnation:    r.Incarnation,
		Tokens:         r.Released.Tokens,
		UpstreamFailed: r.Released.UpstreamFailed,
		NotResident:    r.Released.NotResident,
	}
}

func releaseFromWire(wire *fleetpb.ReleaseRequest) ReleaseRequest {
	return ReleaseRequest{
		Upstream:    wire.GetUpstream(),
		Instance:    wire.GetInstance(),
		Incarnation: wire.GetIncarnation(),
		Released: holder.Released{
			Pin:            wire.GetPin(),
			Tokens:         wire.GetTokens(),
			UpstreamFailed: wire.GetUpstreamFailed(),
			NotResident:    wire.GetNotResident(),
		},
	}
}

func pinsToWire(list PinList) *fleetpb.PinsReply {
	wire := &fleetpb.PinsReply{Instance: list.Instance, Incarnation: list.Incarnation, Yielded: list.EpochInstalled}
	for _, pin := range list.Pins {
		wire.Pins = append(wire.Pins, &fleetpb.Pin{
			Pin:         pin.ID,
			RequestId:   pin.RequestID,
			Adapter:     pin.Model.Adapter,
			Version:     pin.Model.Version,
			Workspace:   pin.Workspace,
			Instance:    pin.Instance,
			Incarnation: pin.Incarnation,
		})
	}
	return wire
}

func pinsFromWire(wire *fleetpb.PinsReply) PinList {
	list := PinList{Instance: wire.GetInstance(), Incarnation: wire.GetIncarnation(), EpochInstalled: wire.GetYielded()}
	for _, pin := range wire.GetPins() {
		list.Pins = append(list.Pins, holder.Pin{
			ID:          pin.GetPin(),
			RequestID:   pin.GetRequestId(),
			Instance:    pin.GetInstance(),
			Incarnation: pin.GetIncarnation(),
			Workspace:   pin.GetWorkspace(),
			Model:       model.Reference{Adapter: pin.GetAdapter(), Version: pin.GetVersion()},
		})
	}
	return list
}

// ---------------------------------------------------------------------------------------------

func permitRequestToWire(request broker.PermitRequested) *fleetpb.PermitLoadRequest {
	return &fleetpb.PermitLoadRequest{
		Upstream:       request.Load.Upstream,
		Adapter:        request.Load.Model.Adapter,
		Version:        request.Load.Model.Version,
		Workspace:      request.Workspace,
		Demand:         request.Demand,
		WaitedMillis:   request.Waited.Milliseconds(),
		PatienceMillis: request.Patience.Milliseconds(),
	}
}

func permitRequestFromWire(wire *fleetpb.PermitLoadRequest) broker.PermitRequested {
	return broker.PermitRequested{
		Load: broker.Load{
			Upstream: wire.GetUpstream(),
			Model:    model.Reference{Adapter: wire.GetAdapter(), Version: wire.GetVersion()},
		},
		Workspace: wire.GetWorkspace(),
		Demand:    wire.GetDemand(),
		Waited:    millis(wire.GetWaitedMillis()),
		Patience:  millis(wire.GetPatienceMillis()),
	}
}

func burnToWire(counts []burn.Count) *fleetpb.BurnReply {
	wire := &fleetpb.BurnReply{}
	for _, count := range counts {
		wire.Counts = append(wire.Counts, &fleetpb.BurnCount{
			Workspace:     count.Workspace,
			Objective:     string(count.Objective),
			StartSeconds:  count.Start.Unix(),
			LengthSeconds: int64(count.Length / time.Second),
			Good:          count.Good,
			Bad:           count.Bad,
		})
	}
	return wire
}

func burnFromWire(wire *fleetpb.BurnReply) []burn.Count {
	var counts []burn.Count
	for _, count := range wire.GetCounts() {
		counts = append(counts, burn.Count{
			Workspace: count.GetWorkspace(),
			Objective: burn.Objective(count.GetObjective()),
			Start:     time.Unix(count.GetStartSeconds(), 0),
			Length:    time.Duration(count.GetLengthSeconds()) * time.Second,
			Good:      count.GetGood(),
			Bad:       count.GetBad(),
		})
	}
	return counts
}

func millis(count int64) time.Duration {
	return time.Duration(count) * time.Millisecond
}

func suspectsToWire(records []suspect.Record) (wire []*fleetpb.Suspect) {
	for _, record := range records {
		wire = append(wire, &fleetpb.Suspect{
			Fingerprint: string(record.Fingerprint),
			Crashes:     suspect.Numbers(record.Crashes),
			Cleared:     suspect.Numbers(record.Cleared),
			AgeMillis:   record.Age.Milliseconds(),
		})
	}
	return wire
}

func suspectsFromWire(wire []*fleetpb.Suspect) (records []suspect.Record) {
	for _, w := range wire {
		records = append(records, suspect.Record{
			Fingerprint: suspect.Fingerprint(w.GetFingerprint()),
			Crashes:     suspect.FromNumbers[suspect.Crash](w.GetCrashes()),
			Cleared:     suspect.FromNumbers[suspect.Crash](w.GetCleared()),
			Age:         time.Duration(w.GetAgeMillis()) * time.Millisecond,
		})
	}
	return records
}
