package serve_test

// Responses to requests for the head only, which state the length of a body that is not sent.

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Guards against a stated length that is taken for bytes to come.
func TestResponseToHeadRequestMayStateAnyLength(t *testing.T) {
	for _, c := range []struct {
		name   string
		status int
		length string
	}{
		{"long body", http.StatusOK, "50000000"},
		{"long failure", http.StatusNotFound, "500000"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, func(rw http.ResponseWriter, _ *http.Request) {
				rw.Header().Set(headerSigned, "s1")
				rw.Header().Set("Content-Length", c.length)
				rw.WriteHeader(c.status)
			})
			request := h.request("/once/", "")
			request.Method = http.MethodHead
			response, err := http.DefaultClient.Do(request)
			is.NoErr(err)
			defer response.Body.Close()
			is.Equal(response.StatusCode, c.status)
			is.Equal(response.Header.Get("Content-Length"), c.length)
		})
	}
}
