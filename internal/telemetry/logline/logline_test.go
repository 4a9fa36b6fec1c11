package logline_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/telemetry/logline"
)

func TestEventIsOneLineOfPairs(t *testing.T) {
	cases := []struct {
		name  string
		value string
		want  string
	}{
		{name: "plain", value: "engine-1", want: "Upstream=engine-1"},
		{name: "with a space", value: "engine 1", want: `Upstream="engine 1"`},
		{name: "with a line break", value: "engine\n1", want: `Upstream="engine\n1"`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			logger, err := logline.New(&out, "lacewingd", "info")
			is.NoErr(err)
			logger.Info().Str(logline.FieldUpstream, c.value).Msg("placed")
			is.True(strings.HasPrefix(out.String(), "event=placed "))
			is.True(strings.Contains(out.String(), c.want))
			is.Equal(strings.Count(out.String(), "\n"), 1)
		})
	}
}

func TestUnknownLevelIsRefused(t *testing.T) {
	is := is.New(t)
	_, err := logline.New(&bytes.Buffer{}, "lacewingd", "loud")
	is.True(err != nil)
}
