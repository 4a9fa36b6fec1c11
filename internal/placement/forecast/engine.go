package forecast

import "time"

// engine.go predicts the first event of a generation.

const (
	// kept is the weight that earlier answers keep when another is seen: about thirty of them count. At some
	// answers a second that follows an engine that changes its pace within seconds.
	kept = 0.97
	// certainAfter is how many answers it takes until one that is far off is taken for an exception; farOff
	// bounds what such an answer counts as, in terms of what was predicted.
	certainAfter = 20
	farOff       = 3
	// off is by which factor an answer has to differ to count as a sign that the engines have changed; after
	// mostOff such answers in a row, all in one direction, what was seen before misleads.
	off     = 1.5
	mostOff = 6
	// relativeFloor keeps very short answers from counting for everything: errors count in relation to what was
	// predicted, and in relation to this below it. Until the forecast is certain they count in relation to the answer,
	// which looks too quick by that, but is not led astray by a first answer that is far off.
	relativeFloor = 100 * time.Millisecond
	// tokensUnit makes the terms of the fit similar in size.
	tokensUnit = 1000
	terms      = 4
)

// Engine predicts when the first event of a generation comes, as the sum of a base, a part for each token of its
// prompt, a part for each prompt token that awaits prefill before it, which counts less where an engine does not
// take them in the order of arrival, and a part for each request that runs there. It is fitted to the latest answers by
// least squares. The zero value is ready for use; it is not safe for use by several goroutines.
type Engine struct {
	own Evidence
	// others is what other instances have seen.
	others  Evidence
	fitted  [terms]float64
	answers int
	// slower and quicker count the latest answers in a row that were off in the same direction.
	slower  int
	quicker int
}

// Evidence is what was seen of the engines of a service: the sums of the least squares over the latest answers, in
// which each one counts less than the next.
type Evidence struct {
	Answers float64
	Squares [terms][terms]float64
	Moments [terms]float64
}

// AddScaled adds what others have seen, times a factor.
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

// LocalEvidence is what this instance has seen.
func (e *Engine) LocalEvidence() Evidence { return e.own }

// SetPeerEvidence replaces what other instances have seen.
//
// Made for a large fleet, whose instances each see a few answers a second. From twenty answers, most of them of idle
// engines, nobody can tell what thirty thousand tokens that await prefill cost: requests go where they wait for
// seconds, and the next engine is idle.
func (e *Engine) SetPeerEvidence(others Evidence) {
	e.others = others
	e.fit()
}

// TimeToFirstEvent is the time from sending a prompt until its first event.
func (e *Engine) TimeToFirstEvent(tokens int, backlog Backlog) time.Duration {
	return e.predict(features(tokens, backlog))
}

// PrefillTime is the time that an engine needs for a prompt alone.
func (e *Engine) PrefillTime(tokens int) time.Duration {
	return seconds(e.coefficients()[1] * float64(tokens) / tokensUnit)
}

// Observe takes note of an answer's first event.
func (e *Engine) Observe(tokens int, backlog Backlog, took time.Duration) {
	x := features(tokens, backlog)
	e.compare(took, e.predict(x))
	scale := took
	if e.isCertain() {
		scale = e.predict(x)
		took = min(took, farOff*scale)
	}
	e.answers++
	weight := 1 / (scale + relativeFloor).Seconds()
	weight *= weight
	seen := Evidence{Answers: 1}
	for i := range terms {
		for j := range terms {
			seen.Squares[i][j] = weight * x[i] * x[j]
		}
		seen.Moments[i] = weight * x[i] * took.Seconds()
	}
	e.own = seen.AddScaled(e.own, kept)
	e.fit()
}

// ---------------------------------------------------------------------------------------------

func (e *Engine) isCertain() bool { return float64(e.answers)+e.others.Answers >= certainAfter }

// compare finds out whether the engines have changed their pace: then all answers differ in the same direction.
func (e *Engine) compare(took, predicted time.Duration) {
	ratio := float64(took) / float64(max(predicted, 1))
	e.slower = inARow(e.slower, ratio > off)
	e.quicker = inARow(e.quicker, ratio < 1/off)
	if e.isCertain() && (e.slower >= mostOff || e.quicker >= mostOff) {
		e.forget()
	}
}

func inARow(count int, another bool) int {
	if !another {
		return 0
	}
	return count + 1
}

// forget begins anew.
func (e *Engine) forget() { *e = Engine{} }

func features(tokens int, backlog Backlog) [terms]float64 {
	return [terms]float64{
		1, float64(tokens) / tokensUnit, float64(backlog.Prefill) / tokensUnit, float64(backlog.Running),
	}
}

func guesses() [terms]float64 {
	perUnit := tokensUnit * guessToken.Seconds()
	return [terms]float64{guessBase.Seconds(), perUnit, perUnit, guessRunning.Seconds()}
}

// guessWeights hold the terms at their guesses as long as answers do not tell otherwise, such as the base while all
// prompts are long. They are in terms of the weight of one short answer.
var guessWeights = [terms]float64{10, 5, 5, 20}

func (e *Engine) coefficients() [terms]float64 {
	if e.answers == 0 && e.others.Answers == 0 {
		return guesses()
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

// fit solves the normal equations. A part below zero makes no sense and would have loaded engines look quicker than
// idle ones; it is taken out, and the others are fitted again.
func (e *Engine) fit() {
	var out [terms]bool
	for range terms {
		e.fitted = e.solve(out)
		lowest := 0
		for i := range terms {
			if e.fitted[i] < e.fitted[lowest] {
				lowest = i
			}
		}
		if e.fitted[lowest] >= 0 {
			return
		}
		out[lowest] = true
	}
}

// solve gives the least squares for the terms that are not out, by Gaussian elimination. The guesses' weights make
// every pivot positive.
func (e *Engine) solve(out [terms]bool) (solution [terms]float64) {
	all := e.own.AddScaled(e.others, 1)
	matrix := all.Squares
	right := all.Moments
	guess := guesses()
	for i := range terms {
		matrix[i][i] += guessWeights[i]
		right[i] += guessWeights[i] * guess[i]
	}
	for i := range terms {
		if !out[i] {
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
