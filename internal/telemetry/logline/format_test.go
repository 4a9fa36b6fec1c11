package logline_test

import (
	"bytes"
	"fmt"
	"io"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"lacewingrock.example/lacewingrock/internal/telemetry/logline"
)

// consoleWriter returns zerolog's own writer, configured to write the same lines.
func consoleWriter(out io.Writer) io.Writer {
	labelled := func(label string) zerolog.Formatter {
		return func(value any) string { return fmt.Sprintf("%s=%v", label, value) }
	}
	return zerolog.ConsoleWriter{
		Out:             out,
		NoColor:         true,
		TimeFormat:      zerolog.TimeFormatUnixMs,
		PartsOrder:      []string{zerolog.MessageFieldName, zerolog.TimestampFieldName, zerolog.LevelFieldName},
		FormatMessage:   labelled("event"),
		FormatTimestamp: labelled("time"),
		FormatLevel:     labelled("level"),
	}
}

func TestFormatMatchesConsoleWriter(t *testing.T) {
	events := []struct {
		name string
		json string
	}{
		{"request", `{"level":"info","RequestId":"a5","Route":"r-1","Status":200,"TookMillis":614,"time":"T","message":"Request"}`},
		{"error first", `{"level":"warn","Bytes":0,"Error":"busy: the upstreams are full","Alpha":"x","time":"T","message":"Request"}`},
		{"numbers", `{"level":"info","Slow":0.9808966811742235,"Negative":-3,"Large":1e21,"time":"T","message":"Decision"}`},
		{"truth and nothing", `{"level":"info","Loaded":true,"Busy":false,"None":null,"time":"T","message":"Decision"}`},
		{"texts", `{"level":"info","A":"","B":"a b","C":"a\nb","D":"say \"no\"","E":"a\\b","F":"ü","G":"a=b","time":"T","message":"M"}`},
		{"nested", `{"level":"info","Models":[{"adapters":["a1","a2"],"name":"m"}],"Empty":[],"time":"T","message":"Report"}`},
	}
	for _, tt := range events {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var ours, library bytes.Buffer
			n, err := logline.NewFormatter(&ours).Write([]byte(tt.json + "\n"))
			is.NoErr(err)
			is.Equal(n, len(tt.json)+1)
			_, err = consoleWriter(&library).Write([]byte(tt.json + "\n"))
			is.NoErr(err)
			is.Equal(ours.String(), library.String())
		})
	}
}

func BenchmarkFormat(b *testing.B) {
	event := []byte(`{"level":"info","RequestId":"a5e1f7fab39b5895","Step":"sent","Upstream":"i-0568acf7e4","Outcome":"served",` +
		`"Tokens":1478,"Running":5,"Waiting":0,"Loaded":true,"Slow":0.9808966811742235,"Failing":0,"ExpectedMillis":115,` +
		`"time":"2026-07-31T07:50:53Z","message":"Decision"}` + "\n")
	writers := []struct {
		name   string
		writer io.Writer
	}{
		{"ours", logline.NewFormatter(io.Discard)},
		{"library", consoleWriter(io.Discard)},
	}
	for _, tt := range writers {
		b.Run(tt.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = tt.writer.Write(event)
			}
		})
	}
}
