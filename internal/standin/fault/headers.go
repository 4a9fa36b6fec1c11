package fault

import (
	"net/http"
	"strings"
)

// Headers returns the headers of a request as a flat map for a record. Tests use it to check for headers
// that must never reach an upstream.
func Headers(request *http.Request) map[string]string {
	flat := make(map[string]string, len(request.Header))
	for name, values := range request.Header {
		flat[name] = strings.Join(values, ", ")
	}
	return flat
}
