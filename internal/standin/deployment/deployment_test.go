package deployment

import (
	"context"
	"encoding/json"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
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

func TestExampleIsJSON(t *testing.T) {
	is := is.New(t)
	announcing := func(name, address string) *Process {
		return &Process{Name: name, announced: map[string]string{"Address": address}}
	}
	d := &Deployment{
		EngineOf:  []*Process{announcing("engine-1", "127.0.0.1:1"), announcing("engine-2", "127.0.0.1:2")},
		ServiceOf: []*Process{announcing("service-1", "127.0.0.1:3"), announcing("service-2", "127.0.0.1:4")},
	}
	text, err := d.Render(filepath.Join("..", "..", "..", "examples", "cooperatives.json.tmpl"))
	is.NoErr(err)
	var file struct {
		Resources []struct {
			Kind      string
			Name      string
			Address   string
			Addresses []string
		}
	}
	is.NoErr(json.Unmarshal(text, &file))
	kinds := make(map[string]int)
	for _, resource := range file.Resources {
		kinds[resource.Kind]++
	}
	is.Equal(kinds["Upstream"], 2)
	last := file.Resources[len(file.Resources)-1]
	is.Equal(last.Name, ServiceOne)
	is.Equal(last.Addresses, []string{"127.0.0.1:3", "127.0.0.1:4"})
}

// By the time "down" runs, a noted process may be gone and its id may belong to another's process,
// which must not be ended.
func TestDownEndsOnlyItsOwn(t *testing.T) {
	is := is.New(t)
	ledger := Ledger{Directory: t.TempDir()}
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

	reused := Started{Name: "other", Pid: other.Process.Pid, CommandLine: "sleep 700"}
	is.True(!reused.alive())
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	is.Equal(len(stopAll(ctx, []Started{running[0], reused})), 0)
	<-ended
	is.True(running[1].alive())
}
