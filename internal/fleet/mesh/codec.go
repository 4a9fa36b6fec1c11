package mesh

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/admission/quota"
	"lacewingrock.example/lacewingrock/internal/fleet/replica"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
	"lacewingrock.example/lacewingrock/internal/wire/meshpb"
)

// codec.go maps domain values to messages and back.

func beatToWire(b Beat) *meshpb.Beat {
	wire := &meshpb.Beat{
		Instance:           b.Instance,
		Incarnation:        b.Incarnation,
		Revision:           b.Revision,
		ConfirmedAgeMicros: b.ConfirmedAge.Microseconds(),
		Stopping:           b.Stopping,
		OnlyLoads:          b.Tells == TellsLoads,
		OnlyRevision:       b.Tells == TellsRevision,
		OnlySpent:          b.Tells == TellsSpent,
		StoreAway:          b.StoreAway,
		Address:            b.Address,
	}
	for workspace, units := range b.Spent {
		wire.Spent = append(wire.Spent, &meshpb.Spent{Workspace: workspace, Units: units})
	}
	for upstream, load := range b.Loads {
		wire.Loads = append(wire.Loads, loadToWire(upstream, load))
	}
	for upstream, load := range b.Held {
		wire.Held = append(wire.Held, loadToWire(upstream, load))
	}
	for _, residency := range b.Residencies {
		wire.Residencies = append(wire.Residencies, residencyToWire(residency))
	}
	for _, count := range b.Suspects {
		wire.Suspects = append(wire.Suspects, &meshpb.Suspect{
			Fingerprint: string(count.Fingerprint),
			Crashes:     int32(count.Crashes),
			Cleared:     int32(count.Cleared),
		})
	}
	return wire
}

func partFromWire(wire *meshpb.Beat) Part {
	switch {
	case wire.GetOnlyLoads():
		return TellsLoads
	case wire.GetOnlyRevision():
		return TellsRevision
	case wire.GetOnlySpent():
		return TellsSpent
	}
	return TellsAll
}

func beatFromWire(wire *meshpb.Beat) Beat {
	b := Beat{
		Instance:     wire.GetInstance(),
		Incarnation:  wire.GetIncarnation(),
		Revision:     wire.GetRevision(),
		ConfirmedAge: time.Duration(wire.GetConfirmedAgeMicros()) * time.Microsecond,
		Spent:        make(quota.Spent, len(wire.GetSpent())),
		Loads:        make(map[string]pool.Load, len(wire.GetLoads())),
		Held:         make(map[string]pool.Load, len(wire.GetHeld())),
		Stopping:     wire.GetStopping(),
		Tells:        partFromWire(wire),
		StoreAway:    wire.GetStoreAway(),
		Address:      wire.GetAddress(),
	}
	for _, spent := range wire.GetSpent() {
		b.Spent[spent.GetWorkspace()] = spent.GetUnits()
	}
	for _, load := range wire.GetLoads() {
		b.Loads[load.GetUpstream()] = loadFromWire(load)
	}
	for _, load := range wire.GetHeld() {
		b.Held[load.GetUpstream()] = loadFromWire(load)
	}
	for _, residency := range wire.GetResidencies() {
		b.Residencies = append(b.Residencies, residencyFromWire(residency))
	}
	for _, count := range wire.GetSuspects() {
		b.Suspects = append(b.Suspects, suspect.Count{
			Fingerprint: suspect.Fingerprint(count.GetFingerprint()),
			Crashes:     int(count.GetCrashes()),
			Cleared:     int(count.GetCleared()),
		})
	}
	return b
}

func loadToWire(upstream string, load pool.Load) *meshpb.Load {
	wire := &meshpb.Load{
		Upstream:     upstream,
		Running:      int32(load.Running),
		PromptTokens: int64(load.Prompt),
		MemoryTokens: int64(load.Memory),
	}
	for _, adapter := range load.InUse {
		wire.InUse = append(wire.InUse, adapterToWire(adapter))
	}
	return wire
}

func loadFromWire(wire *meshpb.Load) pool.Load {
	load := pool.Load{
		Running: int(wire.GetRunning()),
		Prompt:  int(wire.GetPromptTokens()),
		Memory:  int(wire.GetMemoryTokens()),
	}
	for _, adapter := range wire.GetInUse() {
		load.InUse = append(load.InUse, adapterFromWire(adapter))
	}
	return load
}

func residencyToWire(r pool.Residency) *meshpb.Residency {
	wire := &meshpb.Residency{
		Upstream:   r.Upstream,
		Fence:      r.Fence,
		Idle:       int32(r.Idle),
		WaitMillis: r.Wait.Milliseconds(),
		Away:       r.Away,
		LoadMicros: r.LoadTime.Microseconds(), ReloadMicros: r.ReloadTime.Microseconds(),
	}
	for _, resident := range r.Loaded {
		wire.Loaded = append(wire.Loaded, &meshpb.Resident{
			Adapter:   adapterToWire(resident.Adapter),
			Version:   resident.Version,
			InTransit: resident.InTransit,
		})
	}
	return wire
}

func residencyFromWire(wire *meshpb.Residency) pool.Residency {
	r := pool.Residency{
		Upstream: wire.GetUpstream(),
		Fence:    wire.GetFence(),
		Idle:     int(wire.GetIdle()),
		Wait:     millis(wire.GetWaitMillis()),
		Away:     wire.GetAway(),
		LoadTime: micros(wire.GetLoadMicros()), ReloadTime: micros(wire.GetReloadMicros()),
	}
	for _, resident := range wire.GetLoaded() {
		r.Loaded = append(r.Loaded, pool.Resident{
			Adapter:   adapterFromWire(resident.GetAdapter()),
			Version:   resident.GetVersion(),
			InTransit: resident.GetInTransit(),
		})
	}
	return r
}

func adapterToWire(a traffic.Adapter) *meshpb.Adapter {
	return &meshpb.Adapter{Model: a.Model, Name: a.Name}
}

func adapterFromWire(wire *meshpb.Adapter) traffic.Adapter {
	return traffic.Adapter{Model: wire.GetModel(), Name: wire.GetName()}
}

func batchToWire(b replica.Batch) *meshpb.CatchUpReply {
	wire := &meshpb.CatchUpReply{After: b.After, Through: b.Through, Snapshot: b.Snapshot}
	for _, item := range b.Items {
		wire.Items = append(wire.Items, &meshpb.Item{
			Key: item.Key, Value: item.Value, Revision: item.Revision, Removed: item.Removed,
		})
	}
	return wire
}

func batchFromWire(wire *meshpb.CatchUpReply) replica.Batch {
	b := replica.Batch{After: wire.GetAfter(), Through: wire.GetThrough(), Snapshot: wire.GetSnapshot()}
	for _, item := range wire.GetItems() {
		b.Items = append(b.Items, replica.Item{
			Key: item.GetKey(), Value: item.GetValue(), Revision: item.GetRevision(), Removed: item.GetRemoved(),
		})
	}
	return b
}

func prepareToWire(r PrepareRequest) *meshpb.PrepareRequest {
	return &meshpb.PrepareRequest{
		Upstream:       r.Upstream,
		Adapter:        adapterToWire(r.Adapter),
		Version:        r.Version,
		PatienceMillis: r.Patience.Milliseconds(),
		Priority:       int32(r.Priority),
		OnTimeMillis:   r.OnTime.Milliseconds(),
		Tokens:         int64(r.Tokens),
	}
}

func prepareFromWire(wire *meshpb.PrepareRequest) PrepareRequest {
	return PrepareRequest{
		Upstream: wire.GetUpstream(),
		Adapter:  adapterFromWire(wire.GetAdapter()),
		Version:  wire.GetVersion(),
		Patience: millis(wire.GetPatienceMillis()),
		OnTime:   millis(wire.GetOnTimeMillis()),
		Priority: int(wire.GetPriority()),
		Tokens:   int(wire.GetTokens()),
	}
}

func preparedToWire(prepared Prepared) *meshpb.PrepareReply {
	switch p := prepared.(type) {
	case Loaded:
		return &meshpb.PrepareReply{Verdict: meshpb.PrepareVerdict_PREPARE_VERDICT_LOADED, Version: p.Version}
	case Busy:
		return &meshpb.PrepareReply{
			Verdict:          meshpb.PrepareVerdict_PREPARE_VERDICT_BUSY,
			RetryAfterMillis: p.RetryAfter.Milliseconds(),
		}
	default:
		return &meshpb.PrepareReply{Verdict: meshpb.PrepareVerdict_PREPARE_VERDICT_NOT_HOLDER}
	}
}

func preparedFromWire(wire *meshpb.PrepareReply) Prepared {
	switch wire.GetVerdict() {
	case meshpb.PrepareVerdict_PREPARE_VERDICT_LOADED:
		return Loaded{Version: wire.GetVersion()}
	case meshpb.PrepareVerdict_PREPARE_VERDICT_BUSY:
		return Busy{RetryAfter: millis(wire.GetRetryAfterMillis())}
	default:
		return NotHolder{}
	}
}

func millis(count int64) time.Duration { return time.Duration(count) * time.Millisecond }

func micros(count int64) time.Duration { return time.Duration(count) * time.Microsecond }
