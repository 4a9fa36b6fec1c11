package daemon_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/command/daemon"
)

const serveSettings = `[Instance]
Name = i1
DataCentre = d1
CallerAddress = 127.0.0.1:8080
ReadyAddress = 127.0.0.1:8081
PeerAddress = 127.0.0.1:8082
MetricsAddress = 127.0.0.1:9464
[Platform]
StoreAddress = 127.0.0.1:2379
`

func TestCheck(t *testing.T) {
	tests := []struct {
		name, text string
		arguments  []string
		code       int
		output     string
	}{
		{"valid settings of serve", serveSettings, []string{"-for", "serve"}, 0, "no problems"},
		{
			"wrong and missing fields of serve", strings.Replace(serveSettings, "Name = i1\n", "Colour = red\n", 1),
			[]string{"-for", "serve"},
			4, "Colour",
		},
		{"settings of serve checked as those of run", serveSettings, nil, 4, "OperatorAddress"},
		{"unknown command", serveSettings, []string{"-for", "walk"}, 2, "run or serve"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			file := filepath.Join(t.TempDir(), "instance.ini")
			is.NoErr(os.WriteFile(file, []byte(tt.text), 0o600))
			var output bytes.Buffer
			program := &daemon.Program{Out: &output, Err: &output}
			code := program.Run(context.Background(), append([]string{"check", "-settings", file}, tt.arguments...))
			is.Equal(code, tt.code)
			is.True(strings.Contains(output.String(), tt.output))
		})
	}
}
