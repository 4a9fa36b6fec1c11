package api_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/catalog/configuration"
	"lacewingrock.example/lacewingrock/internal/catalog/repository"
	"lacewingrock.example/lacewingrock/internal/operator/api"
	"lacewingrock.example/lacewingrock/internal/operator/message"
	"lacewingrock.example/lacewingrock/internal/platform/store"
)

// failing fails every change with the same error.
type failing struct {
	repository.Repository
	err error
}

func (f *failing) Apply(
	context.Context, func(configuration.Configuration) (configuration.Change, error),
) (int64, error) {
	return 0, errors.WithMessage(f.err, "commit")
}

func server(t *testing.T, configurations api.Configurations) *httptest.Server {
	t.Helper()
	sum := sha256.Sum256([]byte("token"))
	s := &api.Server{Configurations: configurations, TokenHashes: []string{hex.EncodeToString(sum[:])}}
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	return server
}

func call(t *testing.T, s *httptest.Server, method, path, authorization, body string) (*http.Response, message.Failure) {
	t.Helper()
	request, err := http.NewRequest(method, s.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", authorization)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	var failure message.Failure
	if err := json.Unmarshal(content, &failure); err != nil {
		t.Fatalf("%s: %v", content, err)
	}
	return response, failure
}

func TestRefusedCalls(t *testing.T) {
	const good = "Bearer token"
	cases := []struct {
		name          string
		method        string
		path          string
		authorization string
		body          string
		status        int
		code          message.Code
	}{
		{"no token", "GET", "/v1/status", "", "", 401, message.CodeUnauthenticated},
		{"empty token", "GET", "/v1/status", "Bearer ", "", 401, message.CodeUnauthenticated},
		{"wrong token", "POST", "/v1/apply", "Bearer wrong", "{}", 401, message.CodeUnauthenticated},
		{"hash in place of the token", "GET", "/v1/status", "Bearer 3c469e9d6c5875d37a43f353d4f88e61fcf812c66eee3457465a40b0da4153e0", "", 401, message.CodeUnauthenticated},
		{"token in the wrong scheme", "GET", "/v1/status", "Basic token", "", 401, message.CodeUnauthenticated},
		{"unknown path without a token", "GET", "/v2", "", "", 401, message.CodeUnauthenticated},
		{"unknown path", "GET", "/v2", good, "", 404, message.CodeNotFound},
		{"wrong method", "DELETE", "/v1/apply", good, "", 405, message.CodeNotFound},
		{"no file", "POST", "/v1/apply", good, "", 400, message.CodeInvalid},
		{"oversized file", "POST", "/v1/apply", good, strings.Repeat(" ", 33<<20), 413, message.CodeTooLarge},
		{"bad wait", "POST", "/v1/apply?wait=soon", good, `{"Resources":[]}`, 400, message.CodeInvalid},
		{"no kind", "GET", "/v1/resources/Tenant", good, "", 404, message.CodeNotFound},
		{"no such resource", "DELETE", "/v1/resources/Key/none", good, "", 404, message.CodeNotFound},
		{"bad version", "DELETE", "/v1/resources/Key/none?version=x", good, "", 400, message.CodeInvalid},
		{"bad revision", "GET", "/v1/watch?after=x", good, "", 400, message.CodeInvalid},
		{"key for no workspace", "POST", "/v1/keys", good, `{"Workspace":"none","Name":"k"}`, 400, message.CodeInvalid},
		{"key without a body", "POST", "/v1/keys", good, `[]`, 400, message.CodeInvalid},
		{"withdrawal of no key", "POST", "/v1/keys/none/withdraw", good, "", 404, message.CodeNotFound},
	}
	s := server(t, &repository.Repository{Store: &store.Memory{}, Writer: "a"})
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			response, failure := call(t, s, c.method, c.path, c.authorization, c.body)
			is.Equal(response.StatusCode, c.status)
			is.Equal(failure.Error.Code, c.code)
			is.True(failure.Error.Message != "")
		})
	}
}

// A change fails in the store. For each kind of failure, the message must state correctly whether
// anything was changed: after a false "nothing was changed" the operator would make the change a second
// time.
func TestFailuresOfTheStore(t *testing.T) {
	both := errors.WithMessage(store.ErrUnknown, store.ErrUnavailable.Error())
	cases := []struct {
		name    string
		err     error
		status  int
		code    message.Code
		message string
	}{
		{"outage", store.ErrUnavailable, 503, message.CodeUnavailable, "nothing was changed"},
		{"response lost", store.ErrUnknown, 503, message.CodeUnknown, "unknown"},
		{"response lost, then outage", both, 503, message.CodeUnknown, "unknown"},
		{"too large", repository.ErrTooLarge, 413, message.CodeTooLarge, "nothing was changed"},
		{"conflict", configuration.Conflicts{{Field: "Version"}}, 409, message.CodeConflict, "nothing was changed"},
		{"unexpected error", errors.New("secret detail"), 500, message.CodeInternal, "log"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := server(t, &failing{err: c.err})
			response, failure := call(t, s, "POST", "/v1/apply", "Bearer token", `{"Resources":[]}`)
			is.Equal(response.StatusCode, c.status)
			is.Equal(response.Header.Get("Retry-After") != "", c.status == 503)
			is.Equal(failure.Error.Code, c.code)
			is.True(strings.Contains(failure.Error.Message, c.message))
		})
	}
}
