package mesh

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/fleet/replica"
	"lacewingrock.example/lacewingrock/internal/wire/meshpb"
)

// Guards against a relay that compresses the same changes for each of dozens of peers: the peers served last would use
// an old configuration for seconds.
func TestChangesAreCompressedOnceForAll(t *testing.T) {
	is := is.New(t)
	var compressor batchCompressor
	batch := replica.Batch{After: 3, Through: 9, Items: []replica.Item{
		{Key: "a", Value: []byte(strings.Repeat("x", 5000)), Revision: 4}, {Key: "b", Revision: 9, Removed: true},
	}}
	first, err := compressor.reply(batch)
	is.NoErr(err)
	second, err := compressor.reply(batch)
	is.NoErr(err)
	is.True(&first.Packed[0] == &second.Packed[0])
	is.True(len(first.Packed) < 500)
	decoded, err := batchFromWire(second)
	is.NoErr(err)
	is.Equal(decoded, batch)
	for after := range int64(3 * maxCachedBatches) {
		batch.After = after
		_, err := compressor.reply(batch)
		is.NoErr(err)
	}
	is.True(len(compressor.cached) <= maxCachedBatches)
}

// Guards against a truncated or corrupted response that is decoded as a batch without changes.
func TestCorruptBatchIsRejected(t *testing.T) {
	is := is.New(t)
	var compressor batchCompressor
	reply, err := compressor.reply(replica.Batch{Through: 9, Items: []replica.Item{{Key: "a", Value: make([]byte, 5000), Revision: 4}}})
	is.NoErr(err)
	for _, compressed := range [][]byte{reply.Packed[:len(reply.Packed)-3], []byte("x"), append([]byte{1}, reply.Packed...)} {
		_, err := batchFromWire(&meshpb.CatchUpReply{Through: 9, Packed: compressed})
		is.True(err != nil)
	}
}
