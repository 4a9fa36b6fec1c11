package control_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"lacewingrock.example/lacewingrock/internal/catalog/repository"
	"lacewingrock.example/lacewingrock/internal/command/control"
	"lacewingrock.example/lacewingrock/internal/operator/api"
	"lacewingrock.example/lacewingrock/internal/operator/message"
	"lacewingrock.example/lacewingrock/internal/platform/store"
	"lacewingrock.example/lacewingrock/internal/standin/kv"
)

const token = "operator-token"

// fleet is one instance on which every revision is in force, or, if stuck, never comes into force.
type fleet struct{ stuck bool }

func (f *fleet) Status() []api.InstanceStatus {
	return []api.InstanceStatus{{Name: "entry-1", DataCentre: "south", Revision: 3, Reachable: true}}
}

func (f *fleet) WaitInForce(ctx context.Context, _ int64) error {
	if f.stuck {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (f *fleet) BurnReport(context.Context) (api.Report, error) {
	return api.Report{ShortWindow: time.Hour, LongWindow: 24 * time.Hour, Lines: []api.BurnLine{{
		Workspace: "lines", Objective: "Answered", Target: 0.99, ShortBurn: 2.5, LongBurn: 1, BudgetLeft: 0.25,
	}}}, nil
}

// deployment is one instance's API with an in-memory store.
type deployment struct {
	kv     *store.Memory
	fleet  *fleet
	server *httptest.Server
	log    *strings.Builder
}

func deploy(t *testing.T) *deployment {
	t.Helper()
	kv := &store.Memory{}
	d := deployWithStore(t, kv)
	d.kv = kv
	return d
}

// deployWithStore creates a deployment that uses the given store.
func deployWithStore(t *testing.T, kv store.Store) *deployment {
	t.Helper()
	d := &deployment{fleet: &fleet{}, log: &strings.Builder{}}
	sum := sha256.Sum256([]byte(token))
	s := &api.Server{
		Configurations: &repository.Repository{Store: kv, Writer: "entry-1"},
		Fleet:          d.fleet,
		Reports:        d.fleet,
		TokenHashes:    []string{strings.Repeat("0", 64), hex.EncodeToString(sum[:])},
		Log:            zerolog.New(d.log),
	}
	d.server = httptest.NewServer(s.Handler())
	t.Cleanup(d.server.Close)
	return d
}

// run executes one command line.
func (d *deployment) run(in string, arguments ...string) (code int, out, errors string) {
	var stdout, stderr strings.Builder
	environment := map[string]string{"LACEWING_SERVER": d.server.URL, "LACEWING_TOKEN": token}
	p := &control.Program{
		Environment: func(name string) string { return environment[name] },
		In:          strings.NewReader(in), Out: &stdout, Err: &stderr,
	}
	code = p.Run(context.Background(), arguments)
	return code, stdout.String(), stderr.String()
}

const example = `{"Resources": [
	{"Kind": "Workspace", "Name": "lines", "Rate": 100, "Burst": 500, "Objectives": {"FirstTokenWithin": "540ms"}},
	{"Kind": "AdapterVersion", "Adapter": "bids", "Version": "1", "Source": "bids/1"},
	{"Kind": "Adapter", "Name": "bids", "BaseModel": "base", "Current": "1"},
	{"Kind": "BaseModel", "Name": "base"}
]}`

func TestVerbs(t *testing.T) {
	path := filepath.Join(t.TempDir(), "example.json")
	if err := os.WriteFile(path, []byte(example), 0o600); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name      string
		in        string
		arguments string
		code      int
		out       string
		errors    string
	}{
		{"apply", "", "apply -f " + path + " -wait 5s", 0, "changed", ""},
		{"apply again changes nothing", example, "apply -f -", 0, "unchanged", ""},
		{"get", "", "get Workspace lines -o json", 0, `"FirstTokenWithin": "540ms"`, ""},
		{"get a version", "", "get AdapterVersion bids@1", 0, "bids/1", ""},
		{"get a missing resource", "", "get Workspace nobody", 1, "", "no Workspace/nobody"},
		{"list", "", "list Adapter", 0, "bids", ""},
		{"list an unknown kind", "", "list Adaptor", 1, "", "no such kind"},
		{"bad file", `{"Resources": [{"Kind": "Workspace", "Name": "x", "Rat": 1, "Burst": "y"}]}`, "apply -f -", 4, "", "Workspace/x Rat: no such field"},
		{"refers to a missing resource", `{"Resources": [{"Kind": "Adapter", "Name": "x", "BaseModel": "none"}]}`, "apply -f -", 4, "", "Adapter/x BaseModel"},
		{"old version", `{"Resources": [{"Kind": "BaseModel", "Name": "base", "ResourceVersion": 7}]}`, "apply -f -", 3, "", "made on version 7"},
		{"delete an old version", "", "delete BaseModel base -version 7", 3, "", "made on version 7"},
		{"delete a referenced resource", "", "delete BaseModel base -version 1", 4, "", "still named by Adapter/bids"},
		{"delete", "", "delete Workspace lines", 0, "removed", ""},
		{"watch", "", "watch -after 1 -count 1", 0, "Workspace/lines version 0 removed", ""},
		{"watch from the beginning", "", "watch -after 0 -count 1", 0, "BaseModel/base version 1 changed", ""},
		{"status", "", "status", 0, "entry-1", ""},
		{"status of a resource", "", "status BaseModel base -o json", 0, `"InForce": true`, ""},
		{"burn", "", "report burn", 0, "2.50", ""},
		{"version", "", "version -o json", 0, `"Go"`, ""},
		{"wrong token", "", "-token wrong status", 1, "", "token is needed"},
		{"unreachable instance", "", "-server http://127.0.0.1:1 status", 5, "", "nothing was sent"},
		{"no command", "", "", 2, "", "Exit codes"},
		{"unknown command", "", "destroy", 2, "", "Usage"},
		{"too few arguments", "", "get Workspace", 2, "", "KIND NAME"},
		{"unknown format", "", "status -o xml", 2, "", "table or json"},
	}
	d := deploy(t)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			code, out, errors := d.run(c.in, strings.Fields(c.arguments)...)
			t.Log(out, errors)
			is.Equal(code, c.code)
			is.True(strings.Contains(out, c.out))
			is.True(strings.Contains(errors, c.errors))
		})
	}
}

// A key's secret is shown to the operator once. If it were stored or logged, anyone who can read the store
// or a log could send requests for that workspace.
func TestKeyIsShownOnceAndNowhereElse(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	code, _, _ := d.run(example, "apply", "-f", "-")
	is.Equal(code, 0)
	code, out, _ := d.run("", "key", "grant", "-workspace", "lines", "-name", "night", "-o", "json")
	is.Equal(code, 0)
	var granted message.Granted
	is.NoErr(json.Unmarshal([]byte(out), &granted))
	is.True(len(granted.Secret) > 40)

	code, _, _ = d.run("", "key", "grant", "-workspace", "lines", "-name", "night")
	is.Equal(code, 3) // a key of that name exists
	code, out, _ = d.run("", "list", "Key", "-o", "json")
	is.Equal(code, 0)
	is.True(strings.Contains(out, "night"))
	is.True(!strings.Contains(out, granted.Secret))
	entries, err := d.kv.List(t.Context(), "")
	is.NoErr(err)
	for _, entry := range entries {
		is.True(!strings.Contains(string(entry.Value), granted.Secret))
	}
	code, _, _ = d.run("", "key", "withdraw", "-name", "night", "-wait", "5s")
	is.Equal(code, 0)
	_, out, _ = d.run("", "get", "Key", "night")
	is.True(strings.Contains(out, "true"))
	is.True(!strings.Contains(d.log.String(), granted.Secret))
	is.True(!strings.Contains(d.log.String(), token))
}

// The store is unavailable, or its response to a change is lost for good. After a false "nothing was changed"
// the operator would make the change a second time.
func TestStoreFailures(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.kv.SetOutage(true)
	code, _, errors := d.run(example, "apply", "-f", "-")
	is.Equal(code, 5)
	is.True(strings.Contains(errors, "nothing was changed"))

	d.kv.SetOutage(false)
	d.kv.LoseResponses(3) // responses to the writes of the parts and the head; the instance determines their outcome
	code, _, _ = d.run(example, "apply", "-f", "-")
	is.Equal(code, 0)

	d.fleet.stuck = true
	code, _, errors = d.run("", "delete", "Workspace", "lines", "-wait", "50ms")
	is.Equal(code, 1)
	is.True(strings.Contains(errors, "not yet in force"))
}

// The whole path over TCP: command line, API, repository, the store's client and the stand-in for the
// store, which cuts the connection after it has executed a write.
func TestOverTCPWithLostResponses(t *testing.T) {
	is := is.New(t)
	service := &kv.Server{}
	is.NoErr(service.Listen())
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- service.Run(ctx) }()
	defer func() {
		cancel()
		is.NoErr(<-ended)
	}()
	d := deployWithStore(t, &store.Client{Address: service.Address})
	service.SetFaults(kv.Faults{LoseAnswers: 5})
	code, out, errors := d.run(example, "apply", "-f", "-")
	t.Log(out, errors)
	is.Equal(code, 0)
	service.SetFaults(kv.Faults{LoseAnswers: 2})
	code, _, _ = d.run("", "key", "grant", "-workspace", "lines", "-name", "night")
	is.Equal(code, 0)
	code, out, _ = d.run("", "watch", "-after", "0", "-count", "1", "-o", "json")
	is.Equal(code, 0)
	is.True(strings.Contains(out, `"Revision":2`)) // each change was made once
	service.SetFaults(kv.Faults{Outage: true})
	code, _, errors = d.run("", "key", "withdraw", "-name", "night")
	is.Equal(code, 5)
	is.True(strings.Contains(errors, "nothing was changed"))
}
