package fault

import (
	"net/http"
	"strings"
)

// Headers flattens a request's headers for a record, so that a test can look for one that must never
// reach an upstream.
func Headers(request *http.Request) map[string]string {
	flat := make(map[string]string, len(request.Header))
	for name, values := range request.Header {
		flat[name] = strings.Join(values, ", ")
	}
	return flat
}
