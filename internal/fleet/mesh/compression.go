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

// packing.go compresses what peers lack of the store, once for all that ask for the same.

const (
	// packAbove is how large a batch is at least to be compressed.
	packAbove = 1 << 10
	// packedKept is how many compressed batches are kept. The peers of a relay are a few revisions apart.
	packedKept = 8
	// longestPacked bounds what a compressed batch may hold, as longestAnswer of the links does.
	longestPacked = 64 << 20
)

// packer is safe for use by several goroutines. The zero value is ready for use.
//
// Made for a relay, from which dozens of peers fetch the same changes at once. Compressed for each of them, a change of
// a large fleet would take the relay's processor for seconds, and those that come last would go on by the old state.
type packer struct {
	mutex  sync.Mutex
	writer *gzip.Writer
	kept   []packedBatch
}

type packedBatch struct {
	after    int64
	through  int64
	snapshot bool
	packed   []byte
}

// reply gives the answer to a peer that lacks a batch.
func (p *packer) reply(batch replica.Batch) (*meshpb.CatchUpReply, error) {
	reply := &meshpb.CatchUpReply{After: batch.After, Through: batch.Through, Snapshot: batch.Snapshot}
	size := 0
	for _, item := range batch.Items {
		size += len(item.Key) + len(item.Value)
	}
	if size < packAbove {
		reply.Items = itemsToWire(batch.Items)
		return reply, nil
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, one := range p.kept {
		if one.after == batch.After && one.through == batch.Through && one.snapshot == batch.Snapshot {
			reply.Packed = one.packed
			return reply, nil
		}
	}
	packed, err := p.pack(batch.Items)
	if err != nil {
		return nil, err
	}
	if len(p.kept) == packedKept {
		p.kept = p.kept[1:]
	}
	p.kept = append(p.kept, packedBatch{
		after: batch.After, through: batch.Through, snapshot: batch.Snapshot, packed: packed,
	})
	reply.Packed = packed
	return reply, nil
}

// pack compresses items; the lock is held.
func (p *packer) pack(items []replica.Item) (packed []byte, err error) {
	defer func() { err = errors.WithMessage(err, "mesh: pack") }()
	content, err := proto.Marshal(&meshpb.Items{Items: itemsToWire(items)})
	if err != nil {
		return nil, err
	}
	var buffer bytes.Buffer
	if p.writer == nil {
		if p.writer, err = gzip.NewWriterLevel(&buffer, gzip.BestSpeed); err != nil {
			return nil, err
		}
	}
	p.writer.Reset(&buffer)
	if _, err := p.writer.Write(content); err != nil {
		return nil, err
	}
	if err := p.writer.Close(); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// unpack reads the items of a reply.
func unpack(reply *meshpb.CatchUpReply) (items []replica.Item, err error) {
	defer func() { err = errors.WithMessage(err, "mesh: unpack") }()
	if len(reply.GetPacked()) == 0 {
		return itemsFromWire(reply.GetItems()), nil
	}
	reader, err := gzip.NewReader(bytes.NewReader(reply.GetPacked()))
	if err != nil {
		return nil, err
	}
	content, err := io.ReadAll(io.LimitReader(reader, longestPacked))
	if err != nil {
		return nil, err
	}
	var wire meshpb.Items
	if err := proto.Unmarshal(content, &wire); err != nil {
		return nil, err
	}
	return itemsFromWire(wire.GetItems()), nil
}
