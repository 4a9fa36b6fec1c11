package forecast

import "time"

// service.go predicts the latency of plain services.

const (
	// sampleWeight is the weight of the newest answer. initialSampleWeight is used for the first initialAnswers
	// answers, while the estimate is still based on the initial value.
	sampleWeight        = 0.05
	initialSampleWeight = 0.3
	initialAnswers      = 8
)

// Service predicts the latency of a plain call. The zero value is ready for use. It is not safe for concurrent use.
type Service struct {
	mean    time.Duration
	answers int
}

// Latency returns the expected latency of a call. queued is the number of calls queued before it, divided by the
// concurrency of the upstream.
func (s *Service) Latency(queued float64) time.Duration {
	mean := s.mean
	if s.answers == 0 {
		mean = initialServiceTime
	}
	return time.Duration(float64(mean) * (1 + queued))
}

// Observe adds the measured latency of an answer.
func (s *Service) Observe(queued float64, took time.Duration) {
	mean := s.Latency(0)
	sample := time.Duration(float64(took) / (1 + queued))
	weight := initialSampleWeight
	if s.answers >= initialAnswers {
		weight = sampleWeight
		sample = min(sample, outlierFactor*mean)
	}
	s.answers++
	s.mean = mean + time.Duration(weight*float64(sample-mean))
}
