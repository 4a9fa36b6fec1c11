package mesh

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"lacewingrock.example/lacewingrock/internal/fleet/replica"
	"lacewingrock.example/lacewingrock/internal/wire/meshpb"
)

// compression.go compresses batches of the store's changes, once for all peers that request the same batch.

const (
	// minCompressedBytes is the smallest batch that is compressed.
	minCompressedBytes = 1 << 10
	// maxCachedBatches is how many compressed batches are cached. The revisions of a relay's peers differ by a few.
	maxCachedBatches = 8
	// maxDecompressedBytes bounds the size of a decompressed batch, like maxResponseBytes of package link.
	maxDecompressedBytes = 64 << 20
)

// batchCompressor compresses batches and caches the results. It is safe for concurrent use. The zero value is ready for
// use.
//
// Dozens of peers fetch the same changes from a relay at once. If the relay compressed them for each peer, a change of a
// large fleet would take its CPU for seconds, and the peers served last would use the old state until then.
type batchCompressor struct {
	mutex  sync.Mutex
	writer *gzip.Writer
	cached []compressedBatch
}

type compressedBatch struct {
	after      int64
	through    int64
	snapshot   bool
	compressed []byte
}

// reply returns the response to a peer that lacks a batch.
func (c *batchCompressor) reply(batch replica.Batch) (*meshpb.CatchUpReply, error) {
	reply := &meshpb.CatchUpReply{After: batch.After, Through: batch.Through, Snapshot: batch.Snapshot}
	size := 0
	for _, item := range batch.Items {
		size += len(item.Key) + len(item.Value)
	}
	if size < minCompressedBytes {
		reply.Items = itemsToWire(batch.Items)
		return reply, nil
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, candidate := range c.cached {
		if candidate.after == batch.After && candidate.through == batch.Through && candidate.snapshot == batch.Snapshot {
			reply.Packed = candidate.compressed
			return reply, nil
		}
	}
	compressed, err := c.compress(batch.Items)
	if err != nil {
		return nil, err
	}
	if len(c.cached) == maxCachedBatches {
		c.cached = c.cached[1:]
	}
	c.cached = append(c.cached, compressedBatch{
		after: batch.After, through: batch.Through, snapshot: batch.Snapshot, compressed: compressed,
	})
	reply.Packed = compressed
	return reply, nil
}

// compress compresses items. The caller holds the lock.
func (c *batchCompressor) compress(items []replica.Item) (compressed []byte, err error) {
	defer func() { err = errors.WithMessage(err, "mesh: compress batch") }()
	content, err := proto.Marshal(&meshpb.Items{Items: itemsToWire(items)})
	if err != nil {
		return nil, err
	}
	var buffer bytes.Buffer
	if c.writer == nil {
		if c.writer, err = gzip.NewWriterLevel(&buffer, gzip.BestSpeed); err != nil {
			return nil, err
		}
	}
	c.writer.Reset(&buffer)
	if _, err := c.writer.Write(content); err != nil {
		return nil, err
	}
	if err := c.writer.Close(); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// decompress returns the items of a response, which may be compressed or not.
func decompress(reply *meshpb.CatchUpReply) (items []replica.Item, err error) {
	defer func() { err = errors.WithMessage(err, "mesh: decompress batch") }()
	if len(reply.GetPacked()) == 0 {
		return itemsFromWire(reply.GetItems()), nil
	}
	reader, err := gzip.NewReader(bytes.NewReader(reply.GetPacked()))
	if err != nil {
		return nil, err
	}
	content, err := io.ReadAll(io.LimitReader(reader, maxDecompressedBytes))
	if err != nil {
		return nil, err
	}
	var wire meshpb.Items
	if err := proto.Unmarshal(content, &wire); err != nil {
		return nil, err
	}
	return itemsFromWire(wire.GetItems()), nil
}
