package refusal

// The wire form of a refusal: the completion API's error object, and the headers beside it. This is
// the only place that knows the field names.

import (
	"bytes"
	"encoding/json"
	"io"
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

// RawResponse is a whole HTTP/1.1 response that closes its connection, for connections that are turned
// away before a request is read.
func (r Refusal) RawResponse() []byte {
	body := r.Body()
	response := http.Response{
		StatusCode:    r.Status(),
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        http.Header{"Content-Type": {"application/json"}},
		ContentLength: int64(len(body)),
		Body:          io.NopCloser(bytes.NewReader(body)),
		Close:         true,
	}
	r.SetHeaders(response.Header)
	var raw bytes.Buffer
	if err := response.Write(&raw); err != nil {
		panic("refusal: " + err.Error()) // a buffer takes every write
	}
	return raw.Bytes()
}
