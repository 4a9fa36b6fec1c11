// Reads: the pointer to the head is read from the store. If it references another head than the current
// one, that head and the parts that differ are fetched, and the resulting snapshot becomes the current
// one.

package repository

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/catalog/codec"
	"lacewingrock.example/lacewingrock/internal/catalog/head"
	"lacewingrock.example/lacewingrock/internal/catalog/resource"
	"lacewingrock.example/lacewingrock/internal/platform/store"
)

const (
	// DefaultPollInterval is the interval at which Run reads the head when PollInterval is not set.
	DefaultPollInterval = time.Second
	// maxParallelCalls is how many parts are fetched or written concurrently. It bounds the load of one
	// instance on the store.
	maxParallelCalls = 8
	// maxAssembleAttempts is how many times a snapshot is assembled when a part that the head references is
	// missing, reading the head again after each attempt. A part is missing only when a newer head has
	// replaced this one, so the second read finds the newer one.
	maxAssembleAttempts = 5
)

// partKey returns the store key of a part. The index comes first so that Sweep lists a small share of all
// parts at a time.
func partKey(index int, part head.Part) string {
	return fmt.Sprintf("%s%d/%s", partPrefix(index), part.Revision, part.Hash)
}

func partPrefix(index int) string {
	return fmt.Sprintf("part/%02d/", index)
}

// headPrefix is the prefix of the keys of whole heads.
const headPrefix = "heads/"

// wholeHeadKey returns the store key of the whole head that a pointer references.
func wholeHeadKey(p head.Pointer) string {
	return fmt.Sprintf("%s%d/%s", headPrefix, p.Revision, p.Hash)
}

// Load reads the configuration for the first time.
func (r *Repository) Load(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "load the configuration") }()
	_, err = r.Refresh(ctx)
	return err
}

// Refresh reads the head, and the parts that changed, and returns the snapshot that is then current. The
// snapshot is confirmed as of the start of the read. On an error the current snapshot is unchanged; the
// error is ErrRevisionRegressed when the store's head is older than the current one.
func (r *Repository) Refresh(ctx context.Context) (snapshot Snapshot, err error) {
	known := r.Current().Head
	startedAt := time.Now()
	entry, err := r.readPointer(ctx)
	if err != nil {
		return Snapshot{}, err
	}
	return r.installEntry(ctx, known, entry, startedAt)
}

// Await waits for a head newer than the current one, for at most wait, with one call to the store. It
// returns the snapshot that is then current, confirmed as of the start of the call.
func (r *Repository) Await(ctx context.Context, wait time.Duration) (snapshot Snapshot, err error) {
	current := r.Current()
	if current.storeRevision == store.Absent {
		return r.Refresh(ctx)
	}
	startedAt := time.Now()
	entry, err := r.Store.Watch(ctx, HeadKey, current.storeRevision, wait)
	if errors.Is(err, store.ErrNotChanged) {
		current.ConfirmedAt = startedAt
		return r.install(current), nil
	}
	if err != nil {
		return Snapshot{}, err
	}
	return r.installEntry(ctx, current.Head, entry, startedAt)
}

// readPointer reads the pointer's entry; before the first swap there is none, and the entry is empty.
func (r *Repository) readPointer(ctx context.Context) (entry store.Entry, err error) {
	entry, err = r.Store.Get(ctx, HeadKey)
	if errors.Is(err, store.ErrNotFound) {
		return store.Entry{}, nil
	}
	return entry, err
}

// installEntry assembles the snapshot of a head that was read from the store, and installs it. known is
// the head that was current before the read began.
func (r *Repository) installEntry(
	ctx context.Context, known head.Head, entry store.Entry, startedAt time.Time,
) (snapshot Snapshot, err error) {
	for range maxAssembleAttempts {
		snapshot, err = r.assemble(ctx, known, entry)
		if err == nil {
			snapshot.ConfirmedAt = startedAt
			return r.install(snapshot), nil
		}
		if !errors.Is(err, ErrPartMissing) {
			return Snapshot{}, err
		}
		startedAt = time.Now()
		entry, err = r.readPointer(ctx)
		if err != nil {
			return Snapshot{}, err
		}
	}
	return Snapshot{}, ErrPartMissing
}

// assemble makes the snapshot of a head from the current one and the parts that differ from it.
func (r *Repository) assemble(
	ctx context.Context, known head.Head, entry store.Entry,
) (snapshot Snapshot, err error) {
	pointer, err := decodePointer(entry)
	if err != nil {
		return Snapshot{}, err
	}
	if err := checkNotOlder(known, pointer); err != nil {
		return Snapshot{}, err
	}
	base := r.Current()
	if pointer.Revision < base.Head.Revision {
		// A newer head was installed during this read. The read still shows that there was no head beyond
		// that one when the read began, so it confirms it.
		return base, nil
	}
	if pointer.Revision == base.Head.Revision {
		return Snapshot{Head: base.Head, Configuration: base.Configuration, storeRevision: entry.Revision}, nil
	}
	h, err := r.fetchHead(ctx, pointer)
	if err != nil {
		return Snapshot{}, err
	}
	parts, err := r.fetchParts(ctx, changedParts(base.Head, h), h)
	if err != nil {
		return Snapshot{}, err
	}
	return Snapshot{
		Head: h, Configuration: base.Configuration.WithParts(parts, h.Revision), storeRevision: entry.Revision,
	}, nil
}

func decodePointer(entry store.Entry) (p head.Pointer, err error) {
	if entry.Revision == store.Absent {
		return head.Pointer{}, nil
	}
	return codec.DecodePointer(entry.Value)
}

// fetchHead reads the whole head that a pointer references.
func (r *Repository) fetchHead(ctx context.Context, p head.Pointer) (h head.Head, err error) {
	if p.Revision == 0 {
		return head.Head{}, nil
	}
	key := wholeHeadKey(p)
	if h, found := r.cache.getHead(key); found {
		return h, nil
	}
	content, err := r.fetchByHash(ctx, key, p.Hash)
	if err != nil {
		return head.Head{}, err
	}
	h, err = codec.DecodeHead(content)
	if err != nil {
		return head.Head{}, err
	}
	if h.Revision != p.Revision {
		return head.Head{}, errors.Errorf("repository: the head at %s has revision %d", key, h.Revision)
	}
	r.cache.putHead(key, h)
	return h, nil
}

// fetchByHash reads a value whose key contains its content hash.
func (r *Repository) fetchByHash(ctx context.Context, key, hash string) (content []byte, err error) {
	entry, err := r.Store.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return nil, errors.WithMessage(ErrPartMissing, key)
	}
	if err != nil {
		return nil, err
	}
	if codec.HashOf(entry.Value) != hash {
		return nil, errors.Errorf("repository: the content of %s does not match the hash in its key", key)
	}
	return entry.Value, nil
}

func changedParts(from, to head.Head) []int {
	var changed []int
	for i := range head.PartCount {
		if from.Part(i) != to.Part(i) {
			changed = append(changed, i)
		}
	}
	return changed
}

// fetchParts reads the parts with the given indexes.
func (r *Repository) fetchParts(
	ctx context.Context, indexes []int, h head.Head,
) (parts map[int][]resource.Resource, err error) {
	wanted := make(map[string]bool, len(indexes))
	for _, index := range indexes {
		wanted[partKey(index, h.Part(index))] = true
	}
	r.cache.retain(wanted)
	fetched := make([][]resource.Resource, len(indexes))
	err = runParallel(ctx, len(indexes), func(ctx context.Context, i int) (err error) {
		fetched[i], err = r.fetchPart(ctx, indexes[i], h.Part(indexes[i]))
		return err
	})
	if err != nil {
		return nil, err
	}
	parts = make(map[int][]resource.Resource, len(indexes))
	for i, index := range indexes {
		parts[index] = fetched[i]
	}
	r.cache.retain(nil)
	return parts, nil
}

func (r *Repository) fetchPart(
	ctx context.Context, index int, part head.Part,
) (resources []resource.Resource, err error) {
	if part.Hash == "" {
		return nil, nil
	}
	key := partKey(index, part)
	if resources, found := r.cache.get(key); found {
		return resources, nil
	}
	content, err := r.fetchByHash(ctx, key, part.Hash)
	if err != nil {
		return nil, err
	}
	resources, err = codec.DecodePart(content)
	if err != nil {
		return nil, err
	}
	r.cache.put(key, resources)
	return resources, nil
}
