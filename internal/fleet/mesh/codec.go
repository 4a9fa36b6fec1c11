package mesh

import (
	"math"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"lacewingrock.example/lacewingrock/internal/admission/quota"
	"lacewingrock.example/lacewingrock/internal/fleet/gossip"
	"lacewingrock.example/lacewingrock/internal/fleet/replica"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/forecast"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
	"lacewingrock.example/lacewingrock/internal/wire/meshpb"
)

// codec.go converts domain values to wire messages and back.

func messageToWire(m Message) *meshpb.GossipMessage {
	wire := &meshpb.GossipMessage{
		Instance:           m.Instance,
		Address:            m.Address,
		Attached:           m.Attached,
		Revision:           m.Revision,
		NewsRevision:       m.UrgentRevision,
		ConfirmedAgeMicros: m.ConfirmedAge.Microseconds(),
		SentMicros:         m.Stamp.Sent.Microseconds(),
		EchoMicros:         m.Stamp.Echo.Microseconds(),
		EchoAgeMicros:      m.Stamp.EchoAge.Microseconds(),
	}
	for _, record := range m.Records {
		wire.Records = append(wire.Records, &meshpb.Record{
			Instance:  record.Instance,
			Version:   record.Version,
			AgeMicros: record.Age.Microseconds(),
			Urgent:    record.Urgent,
			Content:   record.Content,
			Part:      partToWire(record.Part),
		})
	}
	return wire
}

func messageFromWire(wire *meshpb.GossipMessage) Message {
	m := Message{
		Instance:       wire.GetInstance(),
		Address:        wire.GetAddress(),
		Attached:       wire.GetAttached(),
		Revision:       wire.GetRevision(),
		UrgentRevision: wire.GetNewsRevision(),
		ConfirmedAge:   micros(wire.GetConfirmedAgeMicros()),
		Stamp: gossip.Stamp{
			Sent:    micros(wire.GetSentMicros()),
			Echo:    micros(wire.GetEchoMicros()),
			EchoAge: micros(wire.GetEchoAgeMicros()),
		},
	}
	for _, record := range wire.GetRecords() {
		m.Records = append(m.Records, gossip.Record{
			Instance: record.GetInstance(),
			Part:     partFromWire(record.GetPart()),
			Version:  record.GetVersion(),
			Age:      max(micros(record.GetAgeMicros()), 0),
			Urgent:   record.GetUrgent(),
			Content:  record.GetContent(),
		})
	}
	return m
}

func partToWire(part gossip.Part) meshpb.RecordPart {
	switch part {
	case gossip.PartHeld:
		return meshpb.RecordPart_RECORD_PART_HELD
	case gossip.PartSpent:
		return meshpb.RecordPart_RECORD_PART_SPENT
	default:
		return meshpb.RecordPart_RECORD_PART_GENERAL
	}
}

func partFromWire(part meshpb.RecordPart) gossip.Part {
	switch part {
	case meshpb.RecordPart_RECORD_PART_HELD:
		return gossip.PartHeld
	case meshpb.RecordPart_RECORD_PART_SPENT:
		return gossip.PartSpent
	default:
		return gossip.PartGeneral
	}
}

// EncodeState encodes the content of an instance's general record.
func EncodeState(s State) ([]byte, error) {
	wire := &meshpb.State{
		Incarnation:      s.Incarnation,
		Address:          s.Address,
		StoreUnreachable: s.StoreUnreachable,
		Loads:            loadsToWire(s.Loads),
		Unreached:        s.Unreached,

		StreamLifetimeMillis: s.StreamLifetime.Milliseconds(),
	}
	for workspace, units := range s.Spent {
		wire.Spent = append(wire.Spent, &meshpb.Spent{Workspace: workspace, Units: units})
	}
	wire.Suspects = suspectsToWire(s.Suspects)
	for service, stated := range s.Brittle {
		wire.Brittle = append(wire.Brittle, &meshpb.BrittleService{Service: service, Rejections: int32(stated.Rejections)})
	}
	for service, evidence := range s.Evidence {
		wire.Evidence = append(wire.Evidence, evidenceToWire(service, evidence))
	}
	return proto.Marshal(wire)
}

// DecodeState decodes the content of an instance's general record.
func DecodeState(content []byte) (s State, err error) {
	defer func() { err = errors.WithMessage(err, "mesh: decode state") }()
	var wire meshpb.State
	if err := proto.Unmarshal(content, &wire); err != nil {
		return s, err
	}
	s = State{
		Incarnation:      wire.GetIncarnation(),
		Address:          wire.GetAddress(),
		StoreUnreachable: wire.GetStoreUnreachable(),
		Spent:            make(quota.Totals, len(wire.GetSpent())),
		Loads:            loadsFromWire(wire.GetLoads()),
		Unreached:        wire.GetUnreached(),
		StreamLifetime:   time.Duration(wire.GetStreamLifetimeMillis()) * time.Millisecond,
	}
	for _, spent := range wire.GetSpent() {
		s.Spent[spent.GetWorkspace()] = spent.GetUnits()
	}
	for _, stated := range wire.GetBrittle() {
		if s.Brittle == nil {
			s.Brittle = make(map[string]pool.Brittleness)
		}
		s.Brittle[stated.GetService()] = pool.Brittleness{Brittle: true, Rejections: int(stated.GetRejections())}
	}
	s.Suspects = suspectsFromWire(wire.GetSuspects())
	if len(wire.GetEvidence()) > 0 {
		s.Evidence = make(map[string]forecast.Evidence, len(wire.GetEvidence()))
	}
	for _, evidence := range wire.GetEvidence() {
		if s.Evidence[evidence.GetService()], err = evidenceFromWire(evidence); err != nil {
			return s, err
		}
	}
	return s, nil
}

func evidenceToWire(service string, e forecast.Evidence) *meshpb.Evidence {
	wire := &meshpb.Evidence{Service: service, Answers: e.Answers, Moments: e.Moments[:]}
	for _, row := range e.Squares {
		wire.Squares = append(wire.Squares, row[:]...)
	}
	return wire
}

func evidenceFromWire(wire *meshpb.Evidence) (e forecast.Evidence, err error) {
	terms := len(e.Moments)
	if len(wire.GetMoments()) != terms || len(wire.GetSquares()) != terms*terms {
		return e, errors.Errorf("evidence of service %s has the wrong number of terms", wire.GetService())
	}
	e.Answers = wire.GetAnswers()
	copy(e.Moments[:], wire.GetMoments())
	for i := range terms {
		copy(e.Squares[i][:], wire.GetSquares()[i*terms:])
	}
	for _, value := range append(wire.GetSquares(), append(wire.GetMoments(), e.Answers)...) {
		if math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
			return e, errors.Errorf("evidence of service %s contains a negative, infinite or NaN value", wire.GetService())
		}
	}
	return e, nil
}

// EncodeHeld encodes the content of a record about the upstreams that an instance holds.
func EncodeHeld(r HeldReport) ([]byte, error) { return proto.Marshal(heldToWire(r)) }

// DecodeHeld decodes the content of a record about the upstreams that an instance holds.
func DecodeHeld(content []byte) (r HeldReport, err error) {
	defer func() { err = errors.WithMessage(err, "mesh: decode held upstreams") }()
	var wire meshpb.HeldReport
	if err := proto.Unmarshal(content, &wire); err != nil {
		return r, err
	}
	return heldFromWire(&wire), nil
}

func heldToWire(r HeldReport) *meshpb.HeldReport {
	wire := &meshpb.HeldReport{Held: loadsToWire(r.Loads), Limits: limitsToWire(r.Limits), Paces: pacesToWire(r.Paces)}
	for _, residency := range r.Residencies {
		wire.Residencies = append(wire.Residencies, residencyToWire(residency))
	}
	return wire
}

func heldFromWire(wire *meshpb.HeldReport) HeldReport {
	return HeldReport{
		Loads: loadsFromWire(wire.GetHeld()), Residencies: residenciesFromWire(wire.GetResidencies()), Limits: limitsFromWire(wire.GetLimits()),
		Paces: pacesFromWire(wire.GetPaces()),
	}
}

func residenciesFromWire(wire []*meshpb.Residency) (list []pool.Residency) {
	for _, residency := range wire {
		list = append(list, residencyFromWire(residency))
	}
	return list
}

func loadsToWire(loads map[string]pool.Load) (wire []*meshpb.Load) {
	for upstream, load := range loads {
		wire = append(wire, loadToWire(upstream, load))
	}
	return wire
}

func loadsFromWire(wire []*meshpb.Load) map[string]pool.Load {
	loads := make(map[string]pool.Load, len(wire))
	for _, load := range wire {
		loads[load.GetUpstream()] = loadFromWire(load)
	}
	return loads
}

func loadToWire(upstream string, load pool.Load) *meshpb.Load {
	wire := &meshpb.Load{
		Upstream:       upstream,
		Running:        int32(load.Running),
		PromptTokens:   int64(load.PromptTokens),
		MemoryTokens:   int64(load.MemoryTokens),
		AwaitingTokens: int64(load.AwaitingTokens),
		Rejected:       int32(load.Rejected),
	}
	for _, adapter := range load.InUse {
		wire.InUse = append(wire.InUse, adapterToWire(adapter))
	}
	return wire
}

func loadFromWire(wire *meshpb.Load) pool.Load {
	load := pool.Load{
		Running:        int(wire.GetRunning()),
		PromptTokens:   int(wire.GetPromptTokens()),
		MemoryTokens:   int(wire.GetMemoryTokens()),
		AwaitingTokens: int(wire.GetAwaitingTokens()),
		Rejected:       int(wire.GetRejected()),
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
		Version:    r.Version,
		Idle:       int32(r.FreeSlots),
		WaitMillis: r.SlotWait.Milliseconds(),
		Away:       r.Unreachable,
		LoadMicros: r.LoadTime.Microseconds(), ReloadMicros: r.ReloadTime.Microseconds(),
		StartedMillis: r.StartedMillis,
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
		Upstream:    wire.GetUpstream(),
		Fence:       wire.GetFence(),
		Version:     wire.GetVersion(),
		FreeSlots:   int(wire.GetIdle()),
		SlotWait:    millis(wire.GetWaitMillis()),
		Unreachable: wire.GetAway(),
		LoadTime:    micros(wire.GetLoadMicros()), ReloadTime: micros(wire.GetReloadMicros()),
		StartedMillis: wire.GetStartedMillis(),
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

func itemsToWire(items []replica.Item) (wire []*meshpb.Item) {
	for _, item := range items {
		wire = append(wire, &meshpb.Item{
			Key: item.Key, Value: item.Value, Revision: item.Revision, Removed: item.Removed,
		})
	}
	return wire
}

func itemsFromWire(wire []*meshpb.Item) (items []replica.Item) {
	for _, item := range wire {
		items = append(items, replica.Item{
			Key: item.GetKey(), Value: item.GetValue(), Revision: item.GetRevision(), Removed: item.GetRemoved(),
		})
	}
	return items
}

func batchFromWire(wire *meshpb.CatchUpReply) (batch replica.Batch, err error) {
	batch = replica.Batch{After: wire.GetAfter(), Through: wire.GetThrough(), Snapshot: wire.GetSnapshot()}
	batch.Items, err = decompress(wire)
	return batch, err
}

func prepareToWire(r PrepareRequest) *meshpb.PrepareRequest {
	return &meshpb.PrepareRequest{
		Upstream:       r.Upstream,
		Adapter:        adapterToWire(r.Adapter),
		Version:        r.Version,
		PatienceMillis: r.MaxWait.Milliseconds(),
		Priority:       int32(r.Priority),
		OnTimeMillis:   r.OnTime.Milliseconds(),
		Tokens:         int64(r.Tokens),
		Limits:         limitsToWire(r.Limits),
		OverShare:      r.OverShare,
		MemoryTokens:   int64(r.MemoryTokens),
		Demand:         r.Demand,
		Replica:        r.Replica,
		Instance:       r.Memory.Instance,
		MemoryAsk:      r.Memory.Ask,
		MemoryHeld:     int64(r.Memory.Held),
		MemoryAsks:     r.Memory.Open,
	}
}

// memoryOf returns the tokens of a question of memory.
func memoryOf(wire *meshpb.PrepareRequest) int {
	if wire.GetMemoryAsk() == 0 {
		return 0
	}
	return int(wire.GetMemoryTokens())
}

func prepareFromWire(wire *meshpb.PrepareRequest) PrepareRequest {
	return PrepareRequest{
		Upstream:     wire.GetUpstream(),
		Adapter:      adapterFromWire(wire.GetAdapter()),
		Version:      wire.GetVersion(),
		MaxWait:      millis(wire.GetPatienceMillis()),
		OnTime:       millis(wire.GetOnTimeMillis()),
		Priority:     int(wire.GetPriority()),
		Tokens:       int(wire.GetTokens()),
		Limits:       limitsFromWire(wire.GetLimits()),
		OverShare:    wire.GetOverShare(),
		MemoryTokens: int(wire.GetMemoryTokens()),
		Demand:       wire.GetDemand(),
		Replica:      wire.GetReplica(),
		Memory: pool.MemoryRequest{
			Instance: wire.GetInstance(), Ask: wire.GetMemoryAsk(), Tokens: memoryOf(wire), Held: int(wire.GetMemoryHeld()), Open: wire.GetMemoryAsks(),
		},
	}
}

func prepareResultToWire(prepared PrepareResult) *meshpb.PrepareReply {
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

func prepareResultFromWire(wire *meshpb.PrepareReply) PrepareResult {
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

func suspectsToWire(records []suspect.Record) (wire []*meshpb.Suspect) {
	for _, record := range records {
		wire = append(wire, &meshpb.Suspect{
			Fingerprint:    string(record.Fingerprint),
			Crashes:        suspect.Numbers(record.Crashes),
			Cleared:        suspect.Numbers(record.Cleared),
			AgeMillis:      record.Age.Milliseconds(),
			Requests:       suspect.Numbers(record.Requests),
			CrashAgeMillis: toMillis(record.Ages),
		})
	}
	return wire
}

func toMillis(durations []time.Duration) (counts []int64) {
	for _, duration := range durations {
		counts = append(counts, duration.Milliseconds())
	}
	return counts
}

func fromMillis(counts []int64) (durations []time.Duration) {
	for _, count := range counts {
		durations = append(durations, millis(count))
	}
	return durations
}

func suspectsFromWire(wire []*meshpb.Suspect) (records []suspect.Record) {
	for _, w := range wire {
		records = append(records, suspect.Record{
			Fingerprint: suspect.Fingerprint(w.GetFingerprint()),
			Crashes:     suspect.FromNumbers[suspect.Crash](w.GetCrashes()),
			Cleared:     suspect.FromNumbers[suspect.Crash](w.GetCleared()),
			Requests:    suspect.FromNumbers[suspect.Request](w.GetRequests()),
			Ages:        fromMillis(w.GetCrashAgeMillis()),
			Age:         time.Duration(w.GetAgeMillis()) * time.Millisecond,
		})
	}
	return records
}

func livesToWire(lives []traffic.Life) (wire []*meshpb.UpstreamLife) {
	for _, life := range lives {
		wire = append(wire, &meshpb.UpstreamLife{Upstream: life.Upstream, StartedMillis: life.StartedMillis})
	}
	return wire
}

func livesFromWire(wire []*meshpb.UpstreamLife) (lives []traffic.Life) {
	for _, life := range wire {
		lives = append(lives, traffic.Life{Upstream: life.GetUpstream(), StartedMillis: life.GetStartedMillis()})
	}
	return lives
}

func limitsToWire(statements []pool.LimitStatement) (wire []*meshpb.UpstreamLimit) {
	for _, stated := range statements {
		wire = append(wire, &meshpb.UpstreamLimit{
			Upstream: stated.Life.Upstream, StartedMillis: stated.Life.StartedMillis,
			Limited: stated.Limited, Rate: stated.PerSecond, AgeMillis: stated.Age.Milliseconds(),
		})
	}
	return wire
}

func limitsFromWire(wire []*meshpb.UpstreamLimit) (statements []pool.LimitStatement) {
	for _, w := range wire {
		statements = append(statements, pool.LimitStatement{
			Life:    traffic.Life{Upstream: w.GetUpstream(), StartedMillis: w.GetStartedMillis()},
			Limited: w.GetLimited(), PerSecond: w.GetRate(), Age: millis(w.GetAgeMillis()),
		})
	}
	return statements
}
