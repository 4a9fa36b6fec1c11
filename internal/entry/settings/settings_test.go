package settings_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/entry/settings"
)

const completeFile = `
[Instance]
Name = entry-1
DataCentre = kingston-1
CallerAddress = 127.0.0.1:0
OperatorAddress = 127.0.0.1:0
PeerAddress = 127.0.0.1:0
[Platform]
StoreAddress = 127.0.0.1:9000
ListAddress = 127.0.0.1:9001
[Operators]
TokenHashes = 0000000000000000000000000000000000000000000000000000000000000000
`

func TestCompleteFileIsParsed(t *testing.T) {
	is := is.New(t)
	read, err := settings.Parse("lacewingd.ini", []byte(completeFile))
	is.NoErr(err)
	is.Equal(read.Instance.Name, "entry-1")
	is.Equal(read.Freshness.Bound.String(), "3s")
	is.Equal(read.Policy.Preset, settings.PresetLatency)
}

func TestAllProblemsAreReportedTogether(t *testing.T) {
	cases := []struct {
		name    string
		replace string
		by      string
		want    []string
	}{
		{
			name: "misspelt name of a required setting", replace: "DataCentre", by: "DataCenter",
			want: []string{"[Instance] DataCenter: unknown name", "[Instance] DataCentre: is missing"},
		},
		{
			name: "bad address and bad hash", replace: "127.0.0.1:9000", by: "store:9000",
			want: []string{"[Platform] StoreAddress: \"store:9000\" is not an IP and port"},
		},
		{
			name: "unknown section", replace: "[Operators]", by: "[Opertors]",
			want: []string{"[Opertors]: unknown section", "[Operators] TokenHashes: is missing"},
		},
		{
			name: "set twice", replace: "Name = entry-1", by: "Name = entry-1\nName = entry-2",
			want: []string{"[Instance] Name: is stated more than once"},
		},
		{
			name: "name outside any section", replace: "[Instance]", by: "Loose = 1\n[Instance]",
			want: []string{"Loose stands outside any section"},
		},
		{
			name: "incomplete peer files", replace: "[Operators]", by: "[Peers]\nKey = key.pem\n[Operators]",
			want: []string{"[Peers]: Certificate, Key and Authority are stated all together"},
		},
		{
			name: "store time-out above freshness bound", replace: "[Operators]", by: "[Freshness]\nBound = 1s\n[Operators]",
			want: []string{"[Platform] StoreTimeout: must be shorter"},
		},
		{
			name: "out of range or malformed", replace: "[Operators]", by: "[Limits]\nBodyBytes = 1\nPatience = soon\n[Operators]",
			want: []string{"[Limits] BodyBytes: 1 is not between", "[Limits] Patience: \"soon\" is not a duration"},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := settings.Parse("x.ini", []byte(strings.Replace(completeFile, c.replace, c.by, 1)))
			var problems settings.Problems
			is.True(errors.As(err, &problems))
			for _, want := range c.want {
				is.True(strings.Contains(err.Error(), "x.ini: "+want)) // an expected problem is missing
			}
			is.Equal(len(problems), len(c.want))
		})
	}
}

// An operator sets a plain token instead of its hash. Parse must reject the file without repeating the
// token in the error, which is written to logs.
func TestErrorDoesNotContainPlainToken(t *testing.T) {
	is := is.New(t)
	_, err := settings.Parse("x.ini", []byte(strings.Replace(completeFile, strings.Repeat("0", 64), "secret-token", 1)))
	is.True(err != nil)
	is.True(!strings.Contains(err.Error(), "secret-token"))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(completeFile))
	f.Add([]byte("[Instance]\nName"))
	f.Add([]byte("[Limits]\nPatience = 1e309s"))
	f.Fuzz(func(t *testing.T, content []byte) {
		read, err := settings.Parse("x.ini", content)
		if err == nil && (read.Instance.Name == "" || read.Freshness.Bound <= 0) {
			t.Fatal("accepted a file without an instance name or a freshness bound")
		}
	})
}
