// Package responsehead rejects HTTP responses that net/http accepts although they are none: their status is not one of a final
// response, or their head or trailer is malformed. Whatever such a response says must not be believed, and its body may be
// delimited by a field that was not recognised.
package responsehead

import (
	"io"
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed is the error of a malformed response, for use with errors.Is.
var ErrMalformed = errors.New("malformed response")

// The statuses of final responses.
const (
	minStatus = 200
	maxStatus = 599
)

// protocolMajor is the major version of the protocol that the clients speak.
const protocolMajor = 1

// Transport makes exchanges over Base, and fails those whose response is malformed. Set Base before use.
type Transport struct{ Base http.RoundTripper }

// RoundTrip makes one exchange. The connection of a malformed response is closed, so that no other exchange uses it.
func (t Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	e := &exchange{}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { e.connection = info.Conn }}
	response, err := t.Base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	response.Request = request
	if err := check(response); err != nil {
		e.close()
		_ = response.Body.Close()
		return nil, err
	}
	if len(response.TransferEncoding) > 0 {
		response.Body = &body{ReadCloser: response.Body, response: response, exchange: e}
	}
	return response, nil
}

// exchange has the connection of an exchange, once it is known.
type exchange struct{ connection net.Conn }

func (e *exchange) close() {
	if e.connection != nil {
		_ = e.connection.Close()
	}
}

// check returns an error that names what is wrong with the head of a response.
func check(response *http.Response) error {
	switch {
	case response.ProtoMajor != protocolMajor:
		return errors.WithMessagef(ErrMalformed, "protocol %q", response.Proto)
	case response.StatusCode < minStatus || response.StatusCode > maxStatus:
		return errors.WithMessagef(ErrMalformed, "status %03d", response.StatusCode)
	}
	return checkFields(response.Header)
}

// checkFields returns an error that names a malformed field.
func checkFields(header http.Header) error {
	for name, values := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.WithMessagef(ErrMalformed, "name of a field %.100q", name)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return errors.WithMessagef(ErrMalformed, "value of field %s", name)
			}
		}
	}
	return nil
}

// body checks the trailer, which is read with the end of a body in chunks.
type body struct {
	io.ReadCloser
	response *http.Response
	exchange *exchange
}

// Read receives a part of the body. It returns io.EOF only if the trailer is well-formed.
func (b *body) Read(data []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(data)
	if err != io.EOF {
		return n, err
	}
	if malformed := checkFields(b.response.Trailer); malformed != nil {
		b.exchange.close()
		return n, malformed
	}
	return n, err
}
