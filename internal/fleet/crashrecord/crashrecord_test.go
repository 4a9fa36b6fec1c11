package crashrecord_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/fleet/crashrecord"
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
)

func TestRecordSurvivesTheStore(t *testing.T) {
	is := is.New(t)
	record := suspect.Record{Fingerprint: "f", Crashes: []suspect.Crash{1, 1<<64 - 1}, Cleared: []suspect.Crash{1}, Requests: []suspect.Request{2, 1<<64 - 1}}
	value, err := crashrecord.Encode(record)
	is.NoErr(err)
	decoded, err := crashrecord.Decode(crashrecord.Key("f"), value)
	is.NoErr(err)
	is.Equal(decoded, record)
	record.Requests = []suspect.Request{7, 1 << 63}
	record.Ages = []time.Duration{5 * time.Second, 2 * time.Second}
	value, err = crashrecord.Encode(record)
	is.NoErr(err)
	decoded, err = crashrecord.Decode(crashrecord.Key("f"), value)
	is.NoErr(err)
	is.Equal(decoded.Requests, record.Requests)
	is.Equal(decoded.Ages, []time.Duration{3 * time.Second, 0}) // how long each was before the last one
}

// Guards against an entry of another writer that is taken for crashes.
func TestUnreadableRecordIsAnError(t *testing.T) {
	for _, value := range []string{"", "[]", `{"Crashes":["x"]}`, `{"Crashes":[1]}`, `{"Cleared":["-1"]}`} {
		_, err := crashrecord.Decode(crashrecord.Key("f"), []byte(value))
		is.New(t).True(err != nil)
	}
}
