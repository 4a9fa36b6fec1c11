package refusal

// The wire form of a refusal: the completion API's error object, and the headers beside it. This is
// the only place that knows the field names.

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Headers of a refused request.
const (
	HeaderRun        = "X-Run"
	HeaderRetryAfter = "Retry-After"
)

type wireEnvelope struct {
	Error wireError `json:"error"`
}

type wireError struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    string  `json:"code"`
	Param   *string `json:"param"`
}

// Body is the error object, which is also the data of an error event in a stream.
func (r Refusal) Body() []byte {
	wire := wireError{Message: r.message, Type: kinds[r.code].typ, Code: string(r.code)}
	if r.param != "" {
		wire.Param = &r.param
	}
	body, err := json.Marshal(wireEnvelope{Error: wire})
	if err != nil {
		// Strings always marshal; an empty body would leave the caller without a reason.
		panic("refusal: " + err.Error())
	}
	return body
}

// SetHeaders writes the run state and when to come back.
func (r Refusal) SetHeaders(header http.Header) {
	header.Set(HeaderRun, string(r.run))
	if after := r.RetryAfter(); after > 0 {
		header.Set(HeaderRetryAfter, strconv.FormatInt(int64(after/time.Second), 10))
	}
}

// Write answers a request with the refusal.
func (r Refusal) Write(w http.ResponseWriter) (err error) {
	r.SetHeaders(w.Header())
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(r.Status())
	_, err = w.Write(r.Body())
	return err
}
