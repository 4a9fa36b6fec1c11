package stream_test

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"lacewingrock.example/lacewingrock/internal/caller/stream"
)

// BenchmarkPassOn measures what an instance does for each event of a stream, without the sockets: read, parse,
// rewrite and write it.
func BenchmarkPassOn(b *testing.B) {
	event := "id: 7\ndata: " + `{"id":"request-1","object":"text_completion","created":1790000000,` +
		`"model":"bids@2","choices":[{"index":0,"text":" paint","finish_reason":null}]}` + "\n\n"
	reader := stream.NewReader(strings.NewReader(strings.Repeat(event, b.N)), 1<<20)
	writer := stream.Writer{Destination: io.Discard}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		read, err := reader.Next()
		if err != nil {
			b.Fatal(err)
		}
		if _, err := stream.ParseChunk(read); err != nil {
			b.Fatal(err)
		}
		rewritten, _, err := stream.ForCaller(read, "request-2", false)
		if err != nil {
			b.Fatal(err)
		}
		if err := writer.Write(rewritten); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkAssemble measures the cost per event of a non-streaming answer with the given number of tokens.
func BenchmarkAssemble(b *testing.B) {
	for _, tokens := range []int{100, 1000, 8000} {
		b.Run(fmt.Sprint(tokens), func(b *testing.B) {
			event := stream.Event{Data: []byte(`{"id":"r","choices":[{"index":0,"text":" paint"}]}`)}
			for n := 0; n < b.N; n += tokens {
				assembler := stream.NewAssembler(4 << 20)
				for range tokens {
					if err := assembler.Add(event); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
}
