package originrecord_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/fleet/originrecord"
	"lacewingrock.example/lacewingrock/internal/placement/origin"
)

// Guards against streams that change their origin in the store, and go on at another software version.
func TestRecordsAreReadAsWritten(t *testing.T) {
	is := is.New(t)
	first := origin.Origin{Service: "s", Software: "v1", Upstream: "u", StartedMillis: 7}
	second := origin.Origin{Service: "s", Software: "v2", Upstream: "u", StartedMillis: 8}
	written := []origin.Record{
		{Stream: origin.Stream{Workspace: "w", ID: "1"}, Origin: first},
		{Stream: origin.Stream{Workspace: "w", ID: "2"}, Origin: second, Age: time.Second},
		{Stream: origin.Stream{Workspace: "x", ID: "1"}, Origin: first},
		{Stream: origin.Stream{Workspace: "w", ID: "3"}, Origin: first},
	}
	value, err := originrecord.Encode(written)
	is.NoErr(err)
	key := originrecord.Key("a/1")
	read, err := originrecord.Decode(key, value)
	is.NoErr(err)
	origins := make(map[origin.Stream]origin.Origin)
	for _, record := range read {
		origins[record.Stream] = record.Origin
		is.Equal(record.Age, time.Duration(0))
	}
	is.Equal(len(read), len(written))
	for _, record := range written {
		is.Equal(origins[record.Stream], record.Origin)
	}
	instance, ok := originrecord.InstanceOf(key)
	is.True(ok)
	is.Equal(instance, "a/1")
	_, ok = originrecord.InstanceOf("fleet/software/s")
	is.True(!ok)
	_, err = originrecord.Decode(key, []byte("{"))
	is.True(err != nil)
}
