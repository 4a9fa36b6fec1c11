package backlog

import (
	"sync"

	"lacewingrock.example/lacewingrock/internal/gateway/memory"
)

// queue.go holds the bytes of one connection, in blocks that are reserved in the account as a whole.

// blockBytes is the size of a block. The last one of a queue may be nearly empty, so that 1000 slow callers may waste
// 16 MiB.
const blockBytes = 16 << 10

// block is a part of a queue. Bytes from read to written wait.
type block struct {
	data          [blockBytes]byte
	read, written int
}

// blocks keeps free blocks, so that streams to slow callers do not allocate one for some events each time.
var blocks = sync.Pool{New: func() any { return new(block) }}

// queue holds bytes in order. It is not safe for concurrent use, except that the bytes that first returned may be
// read while others are added.
type queue struct {
	account *memory.Account
	blocks  []*block
	bytes   int
	// peak is the most that was queued since the connection last had nothing queued.
	peak int
}

// add adds what fits into the last block and returns the rest.
func (q *queue) add(data []byte) (rest []byte) {
	if len(q.blocks) == 0 {
		return data
	}
	last := q.blocks[len(q.blocks)-1]
	n := copy(last.data[last.written:], data)
	last.written += n
	q.bytes += n
	q.peak = max(q.peak, q.bytes)
	return data[n:]
}

// grow adds a block, or returns false if the account has no room for it.
func (q *queue) grow() bool {
	if !q.account.Reserve(memory.Response, blockBytes) {
		return false
	}
	added := blocks.Get().(*block)
	added.read, added.written = 0, 0
	q.blocks = append(q.blocks, added)
	return true
}

// first returns the first bytes that wait, empty if none do.
func (q *queue) first() []byte {
	if len(q.blocks) == 0 {
		return nil
	}
	return q.blocks[0].data[q.blocks[0].read:q.blocks[0].written]
}

// drop removes the first bytes, which were written.
func (q *queue) drop(n int) {
	q.bytes -= n
	q.blocks[0].read += n
	if q.blocks[0].read < blockBytes && q.bytes > 0 {
		return
	}
	q.release(q.blocks[0])
	q.blocks[0] = nil
	q.blocks = q.blocks[1:]
}

// clear removes everything.
func (q *queue) clear() {
	for _, b := range q.blocks {
		q.release(b)
	}
	q.blocks, q.bytes = nil, 0
}

func (q *queue) release(b *block) {
	blocks.Put(b)
	q.account.Release(memory.Response, blockBytes)
}
