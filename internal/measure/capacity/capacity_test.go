package capacity

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/placement/route"
)

func BenchmarkChoose(b *testing.B) {
	for _, size := range Sizes() {
		b.Run(upstreamName(size.Upstreams), func(b *testing.B) {
			now := time.Unix(0, 0)
			router := newRouter(size, now)
			all := references(size.Adapters)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(10 * time.Microsecond)
				query := route.Query{Model: all[i*7%len(all)], BaseModel: "base", Cost: 200, Deadline: now}
				if _, err := router.Choose(now, query); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// An idle adapter must take almost no memory at a holder. Otherwise tens of thousands of them fill its memory.
func TestIdleAdaptersTakeAlmostNoMemory(t *testing.T) {
	is := is.New(t)
	size := Sizes()[0]
	is.True(holderIdleBytes(size)/float64(size.Adapters) < 100)
}

func TestEveryCellHasASource(t *testing.T) {
	is := is.New(t)
	measured := map[string]series{}
	for _, s := range allSeries() {
		s.values = []float64{1, 2, 3, 4}
		measured[s.name] = s
	}
	for _, c := range cells(measured) {
		is.True(c.source == sourceMeasured || c.source == sourceDerived || c.source == sourceUnknown)
		is.True(c.source != sourceUnknown || c.value == "-")
	}
	is.True(bytes.Contains([]byte(tables(measured)), []byte(nameChoose)))
}

// A cancelled measurement must not write a partial page.
func TestCancelledRunWritesNothing(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var out bytes.Buffer
	is.True(Run(ctx, Options{Out: &out}) != nil)
	is.Equal(out.Len(), 0)
}
