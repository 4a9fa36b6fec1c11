// Reading: the pointer to the head comes from the store; if it names another head than the one at hand,
// that is fetched, with the parts that differ, and the snapshot made of them becomes the current one.

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
	// DefaultPollInterval is how often Run reads the head when PollEvery is not set.
	DefaultPollInterval = time.Second
	// fetchWidth is how many parts are fetched or written at a time. It bounds what one instance asks
	// of the store at once; the number has no measured reason yet.
	fetchWidth = 8
	// headReads is how often the head is read again when a part it names is missing. A part goes
	// missing only when the head has moved on, so that the second read finds a newer one.
	headReads = 5
)

// partKey is where the store keeps a part. The index stands first so that Sweep lists a small share of
// all parts at a time.
func partKey(index int, part head.Part) string {
	return fmt.Sprintf("%s%d/%s", partPrefix(index), part.Revision, part.Hash)
}

func partPrefix(index int) string {
	return fmt.Sprintf("part/%02d/", index)
}

// headPrefix begins the keys under which whole heads are kept.
const headPrefix = "heads/"

// wholeKey is where the store keeps the whole head that a pointer names.
func wholeKey(p head.Pointer) string {
	return fmt.Sprintf("%s%d/%s", headPrefix, p.Revision, p.Hash)
}

// Load reads the configuration for the first time.
func (r *Repository) Load(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "load the configuration") }()
	_, err = r.Refresh(ctx)
	return err
}

// Refresh reads the head, and the parts that changed, and gives the snapshot that is current then. The
// snapshot is confirmed as of the moment the read began. An error leaves the current one as it was;
// it is ErrWentBack when the store's head is older than the current one.
func (r *Repository) Refresh(ctx context.Context) (snapshot Snapshot, err error) {
	known := r.Current().Head
	began := time.Now()
	entry, err := r.readHead(ctx)
	if err != nil {
		return Snapshot{}, err
	}
	return r.take(ctx, known, entry, began)
}

// Await waits for a head newer than the current one, up to wait, with one call to the store. It gives
// the snapshot that is current then, confirmed as of the moment the call began.
func (r *Repository) Await(ctx context.Context, wait time.Duration) (snapshot Snapshot, err error) {
	current := r.Current()
	if current.storeRevision == store.Absent {
		return r.Refresh(ctx)
	}
	began := time.Now()
	entry, err := r.Store.Watch(ctx, HeadKey, current.storeRevision, wait)
	if errors.Is(err, store.ErrNotChanged) {
		current.ConfirmedAt = began
		return r.adopt(current), nil
	}
	if err != nil {
		return Snapshot{}, err
	}
	return r.take(ctx, current.Head, entry, began)
}

// readHead reads the pointer's entry; before the first swap there is none, which is the empty entry.
func (r *Repository) readHead(ctx context.Context) (entry store.Entry, err error) {
	entry, err = r.Store.Get(ctx, HeadKey)
	if errors.Is(err, store.ErrNotFound) {
		return store.Entry{}, nil
	}
	return entry, err
}

// take makes the snapshot of a head that was read from the store, and adopts it. known is the head
// that was current before the read began.
func (r *Repository) take(
	ctx context.Context, known head.Head, entry store.Entry, began time.Time,
) (snapshot Snapshot, err error) {
	for range headReads {
		snapshot, err = r.assemble(ctx, known, entry)
		if err == nil {
			snapshot.ConfirmedAt = began
			return r.adopt(snapshot), nil
		}
		if !errors.Is(err, ErrPartMissing) {
			return Snapshot{}, err
		}
		began = time.Now()
		entry, err = r.readHead(ctx)
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
	if err := notOlder(known, pointer); err != nil {
		return Snapshot{}, err
	}
	base := r.Current()
	if pointer.Revision < base.Head.Revision {
		// A newer head was taken up while this one was read. This read still says that at its beginning
		// there was none beyond that one, so it confirms it.
		return base, nil
	}
	if pointer.Revision == base.Head.Revision {
		return Snapshot{Head: base.Head, Configuration: base.Configuration, storeRevision: entry.Revision}, nil
	}
	h, err := r.fetchHead(ctx, pointer)
	if err != nil {
		return Snapshot{}, err
	}
	parts, err := r.fetch(ctx, changedParts(base.Head, h), h)
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

// fetchHead reads the whole head that a pointer names.
func (r *Repository) fetchHead(ctx context.Context, p head.Pointer) (h head.Head, err error) {
	if p.Revision == 0 {
		return head.Head{}, nil
	}
	key := wholeKey(p)
	if h, found := r.pending.getHead(key); found {
		return h, nil
	}
	content, err := r.fetchNamed(ctx, key, p.Hash)
	if err != nil {
		return head.Head{}, err
	}
	h, err = codec.DecodeHead(content)
	if err != nil {
		return head.Head{}, err
	}
	if h.Revision != p.Revision {
		return head.Head{}, errors.Errorf("repository: %s is of revision %d", key, h.Revision)
	}
	r.pending.putHead(key, h)
	return h, nil
}

// fetchNamed reads a value that is named by its content.
func (r *Repository) fetchNamed(ctx context.Context, key, hash string) (content []byte, err error) {
	entry, err := r.Store.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return nil, errors.WithMessage(ErrPartMissing, key)
	}
	if err != nil {
		return nil, err
	}
	if codec.HashOf(entry.Value) != hash {
		return nil, errors.Errorf("repository: %s does not have the content it is named for", key)
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

// fetch reads the parts with the given indexes.
func (r *Repository) fetch(
	ctx context.Context, indexes []int, h head.Head,
) (parts map[int][]resource.Resource, err error) {
	wanted := make(map[string]bool, len(indexes))
	for _, index := range indexes {
		wanted[partKey(index, h.Part(index))] = true
	}
	r.pending.keepOnly(wanted)
	fetched := make([][]resource.Resource, len(indexes))
	err = inParallel(ctx, len(indexes), func(ctx context.Context, i int) (err error) {
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
	r.pending.keepOnly(nil)
	return parts, nil
}

func (r *Repository) fetchPart(
	ctx context.Context, index int, part head.Part,
) (resources []resource.Resource, err error) {
	if part.Hash == "" {
		return nil, nil
	}
	key := partKey(index, part)
	if resources, found := r.pending.get(key); found {
		return resources, nil
	}
	content, err := r.fetchNamed(ctx, key, part.Hash)
	if err != nil {
		return nil, err
	}
	resources, err = codec.DecodePart(content)
	if err != nil {
		return nil, err
	}
	r.pending.put(key, resources)
	return resources, nil
}
