package mesh

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/placement/origin"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
	"lacewingrock.example/lacewingrock/internal/wire/meshpb"
)

// streams.go passes the records of where streams began to the peers that keep them, and asks for them.

// StreamQuestion asks where a stream began. Service is the only one that it can belong to; empty if there are several.
type StreamQuestion struct {
	Stream  origin.Stream
	Service string
}

// StreamAnswer is what a peer knows. Found: it keeps the record. Proven: it can prove which the only software version is.
type StreamAnswer struct {
	Record origin.Record
	Found  bool
	Sole   pool.SoleSoftware
	Proven bool
}

// KeepStreams has the peer at address keep records. The reply is what the peer can prove of their services.
func (p *Peers) KeepStreams(ctx context.Context, address string, records []origin.Record) (proofs []pool.SoleSoftware, err error) {
	defer func() { err = errors.WithMessage(err, "mesh: keep streams") }()
	client, err := p.client(address)
	if err != nil {
		return nil, err
	}
	wire := &meshpb.KeepStreamsRequest{}
	for _, record := range records {
		wire.Records = append(wire.Records, streamRecordToWire(record))
	}
	reply, err := client.KeepStreams(ctx, wire)
	if err != nil {
		return nil, err
	}
	for _, sole := range reply.GetSole() {
		proofs = append(proofs, soleFromWire(sole))
	}
	return proofs, nil
}

// FindStream asks the peer at address where a stream began.
func (p *Peers) FindStream(ctx context.Context, address string, question StreamQuestion) (answer StreamAnswer, err error) {
	defer func() { err = errors.WithMessage(err, "mesh: find stream") }()
	client, err := p.client(address)
	if err != nil {
		return StreamAnswer{}, err
	}
	reply, err := client.FindStream(ctx, &meshpb.FindStreamRequest{
		Workspace: question.Stream.Workspace, Id: question.Stream.ID, Service: question.Service,
	})
	if err != nil {
		return StreamAnswer{}, err
	}
	return StreamAnswer{
		Record: streamRecordFromWire(reply.GetRecord()), Found: reply.GetRecord() != nil,
		Sole: soleFromWire(reply.GetSole()), Proven: reply.GetSole() != nil,
	}, nil
}

// ---------------------------------------------------------------------------------------------

// KeepStreams keeps records for a peer.
func (s service) KeepStreams(_ context.Context, wire *meshpb.KeepStreamsRequest) (*meshpb.KeepStreamsReply, error) {
	var records []origin.Record
	for _, record := range wire.GetRecords() {
		records = append(records, streamRecordFromWire(record))
	}
	reply := &meshpb.KeepStreamsReply{}
	for _, sole := range s.handler.KeepStreams(records) {
		reply.Sole = append(reply.Sole, soleToWire(sole))
	}
	return reply, nil
}

// FindStream answers a peer.
func (s service) FindStream(_ context.Context, wire *meshpb.FindStreamRequest) (*meshpb.FindStreamReply, error) {
	answer := s.handler.FindStream(StreamQuestion{
		Stream: origin.Stream{Workspace: wire.GetWorkspace(), ID: wire.GetId()}, Service: wire.GetService(),
	})
	reply := &meshpb.FindStreamReply{}
	if answer.Found {
		reply.Record = streamRecordToWire(answer.Record)
	}
	if answer.Proven {
		reply.Sole = soleToWire(answer.Sole)
	}
	return reply, nil
}

func streamRecordToWire(record origin.Record) *meshpb.StreamRecord {
	return &meshpb.StreamRecord{
		Workspace: record.Stream.Workspace, Id: record.Stream.ID, Service: record.Origin.Service, Software: record.Origin.Software,
		Upstream: record.Origin.Upstream, StartedMillis: record.Origin.StartedMillis, AgeMillis: record.Age.Milliseconds(),
	}
}

func streamRecordFromWire(wire *meshpb.StreamRecord) origin.Record {
	return origin.Record{
		Stream: origin.Stream{Workspace: wire.GetWorkspace(), ID: wire.GetId()},
		Origin: origin.Origin{
			Service: wire.GetService(), Software: wire.GetSoftware(), Upstream: wire.GetUpstream(), StartedMillis: wire.GetStartedMillis(),
		},
		Age: max(time.Duration(wire.GetAgeMillis())*time.Millisecond, 0),
	}
}

func soleToWire(sole pool.SoleSoftware) *meshpb.SoleSoftware {
	return &meshpb.SoleSoftware{Service: sole.Service, Software: sole.Software, Millis: sole.For.Milliseconds()}
}

func soleFromWire(wire *meshpb.SoleSoftware) pool.SoleSoftware {
	return pool.SoleSoftware{
		Service: wire.GetService(), Software: wire.GetSoftware(), For: max(time.Duration(wire.GetMillis())*time.Millisecond, 0),
	}
}
