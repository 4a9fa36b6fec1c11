package pool_test

import (
	"fmt"
	"testing"
	"time"

	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

// BenchmarkChooseByPace measures a choice among upstreams that state their pace, a sixth of them a slow moment just now. It is to be compared with
// BenchmarkChoose.
func BenchmarkChooseByPace(b *testing.B) {
	for _, size := range []struct{ upstreams, instances int }{{90, 83}, {140, 63}, {810, 330}} {
		b.Run(fmt.Sprintf("upstreams=%d", size.upstreams), func(b *testing.B) {
			p := largePool(size.upstreams, size.instances)
			var statements []pool.PaceStatement
			for i := range size.upstreams {
				statement := paced(fmt.Sprintf("engine-%03d", i), []float64{0.7, 0.7, 1.7}[i%3])
				if i%6 == 0 {
					statement.Stated = 2.5
				}
				statement.StatedAge = time.Duration(i) * time.Millisecond
				statements = append(statements, statement)
			}
			p.MergePaces(time.Now(), statements)
			query := generation("cold")
			for b.Loop() {
				if _, err := p.Choose(time.Now(), query); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
