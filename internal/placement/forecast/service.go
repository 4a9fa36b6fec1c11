package forecast

import "time"

// service.go predicts the answers of plain services.

const (
	// learning is the weight of the newest answer, and learningFirst that of the first ones, as long as the guess
	// is all there is.
	learning      = 0.05
	learningFirst = 0.3
	firstAnswers  = 8
)

// Service predicts how long a plain call takes. The zero value is ready for use; it is not safe for use by several
// goroutines.
type Service struct {
	usual   time.Duration
	answers int
}

// Latency is the time until the answer of a call that finds calls queued before it, in terms of the places that the
// upstream has.
func (s *Service) Latency(queued float64) time.Duration {
	usual := s.usual
	if s.answers == 0 {
		usual = guessAnswer
	}
	return time.Duration(float64(usual) * (1 + queued))
}

// Observe takes note of an answer.
func (s *Service) Observe(queued float64, took time.Duration) {
	usual := s.Latency(0)
	sample := time.Duration(float64(took) / (1 + queued))
	weight := learningFirst
	if s.answers >= firstAnswers {
		weight = learning
		sample = min(sample, farOff*usual)
	}
	s.answers++
	s.usual = usual + time.Duration(weight*float64(sample-usual))
}
