package mesh

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/fleet/replica"
	"lacewingrock.example/lacewingrock/internal/wire/meshpb"
)

// Guards against a relay that compresses the same changes for each of dozens of peers: those that are served last would
// go on by an old configuration for seconds.
func TestChangesAreCompressedOnceForAll(t *testing.T) {
	is := is.New(t)
	var p packer
	batch := replica.Batch{After: 3, Through: 9, Items: []replica.Item{
		{Key: "a", Value: []byte(strings.Repeat("x", 5000)), Revision: 4}, {Key: "b", Revision: 9, Removed: true},
	}}
	first, err := p.reply(batch)
	is.NoErr(err)
	second, err := p.reply(batch)
	is.NoErr(err)
	is.True(&first.Packed[0] == &second.Packed[0])
	is.True(len(first.Packed) < 500)
	unpacked, err := batchFromWire(second)
	is.NoErr(err)
	is.Equal(unpacked, batch)
	for after := range int64(3 * packedKept) {
		batch.After = after
		_, err := p.reply(batch)
		is.NoErr(err)
	}
	is.True(len(p.kept) <= packedKept)
}

// Guards against an answer that was cut or mangled on the way and is taken for a batch without changes.
func TestMangledChangesAreRefused(t *testing.T) {
	is := is.New(t)
	var p packer
	reply, err := p.reply(replica.Batch{Through: 9, Items: []replica.Item{{Key: "a", Value: make([]byte, 5000), Revision: 4}}})
	is.NoErr(err)
	for _, packed := range [][]byte{reply.Packed[:len(reply.Packed)-3], []byte("x"), append([]byte{1}, reply.Packed...)} {
		_, err := batchFromWire(&meshpb.CatchUpReply{Through: 9, Packed: packed})
		is.True(err != nil)
	}
}
