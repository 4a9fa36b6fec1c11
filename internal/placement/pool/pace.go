package pool

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// pace.go keeps the pace of each upstream: how long work takes there, relative to a typical upstream of its service.

// PaceStatement is what one or all instances know of the pace of an upstream's life.
type PaceStatement struct {
	Life traffic.Life
	// Ratio is the mean ratio of measured to typical times, and Weight the weight of the measurements; without any, Weight
	// is 0.
	Ratio  float64
	Weight float64
	// Stated is what the upstream last stated of that moment, 1 for as usual, and StatedAge how long ago; 0 if it has stated
	// nothing.
	Stated    float64
	StatedAge time.Duration
}
