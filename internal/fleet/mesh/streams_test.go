package mesh_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/placement/origin"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

func TestStreamRecordsRoundTrip(t *testing.T) {
	is := is.New(t)
	peer, peers, address := serveEcho(t)
	record := origin.Record{
		Stream: origin.Stream{Workspace: "w", ID: "r1"},
		Origin: origin.Origin{Service: "llm", Software: "v1.1", Upstream: "u", StartedMillis: 17},
		Age:    1200 * time.Millisecond,
	}
	unknown := origin.Record{Stream: origin.Stream{ID: "r2"}, Origin: origin.Origin{Service: "llm"}}
	peer.proofs = []pool.SoleSoftware{{Service: "llm", Software: "v1", For: 20 * time.Second}}
	proofs, err := peers.KeepStreams(t.Context(), address, []origin.Record{record, unknown})
	is.NoErr(err)
	is.Equal(proofs, peer.proofs)
	is.Equal(peer.kept, []origin.Record{record, unknown})

	for _, answer := range []mesh.StreamAnswer{
		{},
		{Record: record, Found: true},
		{Sole: peer.proofs[0], Proven: true},
		{Record: unknown, Found: true, Sole: peer.proofs[0], Proven: true},
	} {
		peer.answer = answer
		question := mesh.StreamQuestion{Stream: record.Stream, Service: "llm"}
		received, err := peers.FindStream(t.Context(), address, question)
		is.NoErr(err)
		is.Equal(received, answer)
		is.Equal(peer.question, question)
	}
}

// BenchmarkKeepStreams measures one call with one record, at both ends.
func BenchmarkKeepStreams(b *testing.B) {
	peer, peers, address := serveEcho(b)
	peer.proofs = nil
	record := origin.Record{
		Stream: origin.Stream{Workspace: "workspace", ID: "9c41d07be2a35f68"},
		Origin: origin.Origin{Service: "service", Software: "v1.1", Upstream: "i-9478aceec2", StartedMillis: 1771481708123},
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := peers.KeepStreams(b.Context(), address, []origin.Record{record}); err != nil {
			b.Fatal(err)
		}
	}
}
