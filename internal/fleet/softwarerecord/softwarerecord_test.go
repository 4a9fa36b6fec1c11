package softwarerecord_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/fleet/softwarerecord"
)

// Guards against versions that change in the store, where a stream may go on at the wrong one.
func TestRecordIsReadAsWritten(t *testing.T) {
	is := is.New(t)
	written := softwarerecord.Record{Versions: []string{"", "v1", "v1.1"}, StreamLifetime: 20 * time.Second, Partial: true}
	value, err := softwarerecord.Encode(written)
	is.NoErr(err)
	key := softwarerecord.Key("s/1")
	read, err := softwarerecord.Decode(key, value)
	is.NoErr(err)
	is.Equal(read, written)
	service, ok := softwarerecord.ServiceOf(key)
	is.True(ok)
	is.Equal(service, "s/1")
	_, ok = softwarerecord.ServiceOf("fleet/holders/s")
	is.True(!ok)
	_, err = softwarerecord.Decode(key, []byte("{"))
	is.True(err != nil)
}
