package deployment

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/catalog/codec"
	"lacewingrock.example/lacewingrock/internal/catalog/configuration"
)

func TestParsePairs(t *testing.T) {
	is := is.New(t)
	pairs := parsePairs(`event=listening time=12 CallerAddress=127.0.0.1:1 Name="x" rest` + "\n")
	is.Equal(pairs["event"], "listening")
	is.Equal(pairs["CallerAddress"], "127.0.0.1:1")
	is.Equal(pairs["Name"], "x")
	is.Equal(len(pairs), 4)
}

func TestQuote(t *testing.T) {
	is := is.New(t)
	for _, tt := range []struct{ value, quoted string }{
		{value: "127.0.0.1:1", quoted: "127.0.0.1:1"},
		{value: "a b", quoted: "'a b'"},
		{value: "", quoted: "''"},
		{value: "it's", quoted: `'it'\''s'`},
	} {
		is.Equal(quote(tt.value), tt.quoted)
	}
}

func TestExampleIsAccepted(t *testing.T) {
	is := is.New(t)
	announcing := func(name, address string) *Process {
		return &Process{Name: name, announced: map[string]string{"Address": address}}
	}
	d := &Deployment{
		EngineSlots: 4, EngineBatch: 8,
		EngineProcesses:  []*Process{announcing("engine-1", "127.0.0.1:1"), announcing("engine-2", "127.0.0.1:2")},
		ServiceProcesses: []*Process{announcing("service-1", "127.0.0.1:3"), announcing("service-2", "127.0.0.1:4")},
	}
	text, err := d.Render(filepath.Join("..", "..", "..", "examples", "cooperatives.json.tmpl"))
	is.NoErr(err)
	change, err := codec.DecodeFile(text)
	is.NoErr(err)
	accepted, err := (configuration.Configuration{}).Apply(change, 1)
	is.NoErr(err)
	is.Equal(len(accepted.Upstreams()), 2)
	service, found := accepted.Service(BookingService)
	is.True(found)
	is.Equal(service.Addresses, []string{"127.0.0.1:3", "127.0.0.1:4"})
	for _, workspace := range []string{WorkspaceA, WorkspaceB} {
		_, found := accepted.Workspace(workspace)
		is.True(found)
	}
	for _, adapter := range []string{AdapterA, AdapterB} {
		declared, found := accepted.Adapter(adapter)
		is.True(found)
		_, found = accepted.AdapterVersion(adapter, declared.Current)
		is.True(found)
	}
}

// By the time "down" runs, a noted process may be gone and its id may belong to another's process,
// which must not be ended.
func TestDownEndsOnlyItsOwn(t *testing.T) {
	is := is.New(t)
	ledger := ProcessFile{Directory: t.TempDir()}
	own := exec.Command("sleep", "600")
	other := exec.Command("sleep", "601")
	is.NoErr(own.Start())
	is.NoErr(other.Start())
	ended := make(chan error, 1)
	go func() { ended <- own.Wait() }()
	defer func() {
		is.NoErr(other.Process.Kill())
		_ = other.Wait()
	}()
	is.NoErr(ledger.Add(&Process{Name: "own", command: own}))
	is.NoErr(ledger.Add(&Process{Name: "other", command: other}))
	running, err := ledger.Running()
	is.NoErr(err)
	is.Equal(len(running), 2)

	reused := StartedProcess{Name: "other", Pid: other.Process.Pid, CommandLine: "sleep 700"}
	is.True(!reused.alive())
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	is.Equal(len(stopAll(ctx, []StartedProcess{running[0], reused})), 0)
	<-ended
	is.True(running[1].alive())
}
