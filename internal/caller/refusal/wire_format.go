package refusal

// The wire format of a refusal: the error object of the completion API and the headers. Only this file defines the field
// names.

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Headers of a refusal.
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

// Body returns the error object. It is also the data of an error event in a stream.
func (r Refusal) Body() []byte {
	wire := wireError{Message: r.message, Type: defaultsByCode[r.code].typ, Code: string(r.code)}
	if r.param != "" {
		wire.Param = &r.param
	}
	body, err := json.Marshal(wireEnvelope{Error: wire})
	if err != nil {
		// Encoding strings never fails. An empty body would leave the caller without a reason.
		panic("refusal: " + err.Error())
	}
	return body
}

// SetHeaders sets the headers with the run state and the retry delay.
func (r Refusal) SetHeaders(header http.Header) {
	header.Set(HeaderRun, string(r.run))
	if after := r.RetryAfter(); after > 0 {
		header.Set(HeaderRetryAfter, strconv.FormatInt(int64(after/time.Second), 10))
	}
}

// Write writes the refusal as the response to a request.
func (r Refusal) Write(w http.ResponseWriter) (err error) {
	r.SetHeaders(w.Header())
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(r.Status())
	_, err = w.Write(r.Body())
	return err
}

// RawResponse returns a complete HTTP/1.1 response that closes its connection, for connections that are rejected before a
// request is read.
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
		panic("refusal: " + err.Error()) // writing to a buffer never fails
	}
	return raw.Bytes()
}
