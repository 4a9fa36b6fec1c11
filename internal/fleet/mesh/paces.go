package mesh

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
	"lacewingrock.example/lacewingrock/internal/wire/meshpb"
)

// paces.go maps the paces of upstreams.

func pacesToWire(statements []pool.PaceStatement) (wire []*meshpb.UpstreamPace) {
	for _, s := range statements {
		wire = append(wire, &meshpb.UpstreamPace{
			Upstream: s.Life.Upstream, StartedMillis: s.Life.StartedMillis, Ratio: s.Ratio, Weight: s.Weight,
			Stated: s.Stated, StatedAgeMillis: s.StatedAge.Milliseconds(),
		})
	}
	return wire
}

func pacesFromWire(wire []*meshpb.UpstreamPace) (statements []pool.PaceStatement) {
	for _, pace := range wire {
		statements = append(statements, pool.PaceStatement{
			Life:  traffic.Life{Upstream: pace.GetUpstream(), StartedMillis: pace.GetStartedMillis()},
			Ratio: pace.GetRatio(), Weight: pace.GetWeight(),
			Stated: pace.GetStated(), StatedAge: time.Duration(pace.GetStatedAgeMillis()) * time.Millisecond,
		})
	}
	return statements
}
