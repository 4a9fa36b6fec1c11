package forecast

import "time"

// engine.go predicts the time to first event of a generation.

const (
	// evidenceDecay is the weight that earlier answers keep when an answer is added, which gives an effective window
	// of about thirty answers. At a few answers a second, the forecast follows a change in engine speed within
	// seconds.
	evidenceDecay = 0.97
	// minAnswers is the number of answers after which an answer that is far off counts as an outlier. outlierFactor
	// caps such an answer at this multiple of the prediction.
	minAnswers    = 20
	outlierFactor = 3
	// driftFactor is the factor by which an answer must differ from the prediction to indicate that the engines have
	// changed. After driftLimit such answers in a row, all in the same direction, the earlier evidence is misleading.
	driftFactor = 1.5
	driftLimit  = 6
	// errorScaleFloor prevents very short answers from dominating the fit. Errors are weighted relative to the
	// prediction, and relative to this floor below it. Below minAnswers, errors are weighted relative to the answer
	// instead. That biases the forecast low, but a first answer that is far off does not distort it.
	errorScaleFloor = 100 * time.Millisecond
	// tokenScale brings the terms of the fit to a similar magnitude.
	tokenScale = 1000
	terms      = 4
)

// Engine predicts the time to first event of a generation as a linear model with four terms: a base, a cost per
// prompt token, a cost per prompt token that awaits prefill before it, and a cost per running request. The cost per
// queued token is lower where an engine does not prefill in order of arrival. The coefficients are fitted to the
// latest answers by least squares. The zero value is ready for use. It is not safe for concurrent use.
type Engine struct {
	local Evidence
	// peers is the sum of the evidence from other instances.
	peers   Evidence
	fitted  [terms]float64
	answers int
	// slower and faster count consecutive answers that were off in the same direction.
	slower int
	faster int
}

// Evidence holds the sums of the normal equations for the engines of one service. Each answer has a lower weight than
// the one after it.
type Evidence struct {
	Answers float64
	Squares [terms][terms]float64
	Moments [terms]float64
}

// AddScaled returns the sum of v and other evidence times a factor.
func (v Evidence) AddScaled(other Evidence, factor float64) Evidence {
	v.Answers += factor * other.Answers
	for i := range terms {
		for j := range terms {
			v.Squares[i][j] += factor * other.Squares[i][j]
		}
		v.Moments[i] += factor * other.Moments[i]
	}
	return v
}

// LocalEvidence returns the evidence that this instance has collected.
func (e *Engine) LocalEvidence() Evidence { return e.local }

// SetPeerEvidence replaces the evidence from other instances.
//
// In a large fleet each instance sees only a few answers a second. Twenty answers, most of them from idle engines, do
// not determine the cost of thirty thousand tokens that await prefill. Requests would then wait for seconds at a
// loaded engine while the next engine is idle.
func (e *Engine) SetPeerEvidence(peers Evidence) {
	e.peers = peers
	e.fit()
}

// TimeToFirstEvent returns the expected time from sending a prompt until its first event.
func (e *Engine) TimeToFirstEvent(tokens int, backlog Backlog) time.Duration {
	return e.predict(features(tokens, backlog))
}

// PrefillTime returns the time that an engine needs for the prompt alone, without queueing.
func (e *Engine) PrefillTime(tokens int) time.Duration {
	return seconds(e.coefficients()[1] * float64(tokens) / tokenScale)
}

// Observe adds the measured time to first event of an answer.
func (e *Engine) Observe(tokens int, backlog Backlog, took time.Duration) {
	x := features(tokens, backlog)
	e.detectDrift(took, e.predict(x))
	scale := took
	if e.hasEnoughAnswers() {
		scale = e.predict(x)
		took = min(took, outlierFactor*scale)
	}
	e.answers++
	weight := 1 / (scale + errorScaleFloor).Seconds()
	weight *= weight
	sample := Evidence{Answers: 1}
	for i := range terms {
		for j := range terms {
			sample.Squares[i][j] = weight * x[i] * x[j]
		}
		sample.Moments[i] = weight * x[i] * took.Seconds()
	}
	e.local = sample.AddScaled(e.local, evidenceDecay)
	e.fit()
}

// ---------------------------------------------------------------------------------------------

func (e *Engine) hasEnoughAnswers() bool { return float64(e.answers)+e.peers.Answers >= minAnswers }

// detectDrift resets the evidence if the engines have changed speed, which makes all answers differ from the
// prediction in the same direction.
func (e *Engine) detectDrift(took, predicted time.Duration) {
	ratio := float64(took) / float64(max(predicted, 1))
	e.slower = streak(e.slower, ratio > driftFactor)
	e.faster = streak(e.faster, ratio < 1/driftFactor)
	if e.hasEnoughAnswers() && (e.slower >= driftLimit || e.faster >= driftLimit) {
		e.reset()
	}
}

func streak(count int, extend bool) int {
	if !extend {
		return 0
	}
	return count + 1
}

func (e *Engine) reset() { *e = Engine{} }

func features(tokens int, backlog Backlog) [terms]float64 {
	return [terms]float64{
		1, float64(tokens) / tokenScale, float64(backlog.Prefill) / tokenScale, float64(backlog.Running),
	}
}

func priorCoefficients() [terms]float64 {
	perUnit := tokenScale * initialPerToken.Seconds()
	return [terms]float64{initialBase.Seconds(), perUnit, perUnit, initialPerRunning.Seconds()}
}

// priorWeights hold the terms at their initial values until answers show otherwise, such as the base while all
// prompts are long. They are on the scale of the answers' weights, where one short answer has a weight of up to 100
// (see errorScaleFloor).
var priorWeights = [terms]float64{10, 5, 5, 20}

func (e *Engine) coefficients() [terms]float64 {
	if e.answers == 0 && e.peers.Answers == 0 {
		return priorCoefficients()
	}
	return e.fitted
}

func (e *Engine) predict(x [terms]float64) time.Duration {
	total := 0.0
	for i, coefficient := range e.coefficients() {
		total += coefficient * x[i]
	}
	return seconds(total)
}

// fit solves the normal equations. A negative coefficient has no meaning and would make loaded engines look faster
// than idle ones, so its term is excluded and the others are fitted again.
func (e *Engine) fit() {
	var excluded [terms]bool
	for range terms {
		e.fitted = e.solve(excluded)
		lowest := 0
		for i := range terms {
			if e.fitted[i] < e.fitted[lowest] {
				lowest = i
			}
		}
		if e.fitted[lowest] >= 0 {
			return
		}
		excluded[lowest] = true
	}
}

// solve returns the least-squares solution for the terms that are not excluded, by Gaussian elimination. The prior
// weights make every pivot positive.
func (e *Engine) solve(excluded [terms]bool) (solution [terms]float64) {
	total := e.local.AddScaled(e.peers, 1)
	matrix := total.Squares
	right := total.Moments
	prior := priorCoefficients()
	for i := range terms {
		matrix[i][i] += priorWeights[i]
		right[i] += priorWeights[i] * prior[i]
	}
	for i := range terms {
		if !excluded[i] {
			continue
		}
		for j := range terms {
			matrix[i][j] = 0
			matrix[j][i] = 0
		}
		matrix[i][i] = 1
		right[i] = 0
	}
	for i := range terms {
		for j := i + 1; j < terms; j++ {
			factor := matrix[j][i] / matrix[i][i]
			for k := i; k < terms; k++ {
				matrix[j][k] -= factor * matrix[i][k]
			}
			right[j] -= factor * right[i]
		}
	}
	for i := terms - 1; i >= 0; i-- {
		solution[i] = right[i]
		for j := i + 1; j < terms; j++ {
			solution[i] -= matrix[i][j] * solution[j]
		}
		solution[i] /= matrix[i][i]
	}
	return solution
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
