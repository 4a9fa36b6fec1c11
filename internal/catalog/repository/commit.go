// Changing: parts are written, the head is swapped, and a swap whose answer was lost is settled.

package repository

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/catalog/codec"
	"lacewingrock.example/lacewingrock/internal/catalog/configuration"
	"lacewingrock.example/lacewingrock/internal/catalog/head"
	"lacewingrock.example/lacewingrock/internal/catalog/resource"
	"lacewingrock.example/lacewingrock/internal/platform/store"
)

const (
	// firstPause and longestPause bound the pause before a swap is tried again, with jitter. The first
	// is about the time a swap takes, so that writers that met once rarely meet again.
	firstPause   = 10 * time.Millisecond
	longestPause = time.Second
	// maxPart is the largest value that the store holds.
	maxPart = 1 << 20
)

// ErrTooLarge tells that the change would make a part larger than the store holds; nothing was changed.
var ErrTooLarge = errors.New("repository: the configuration is too large for the store")

// Mutation makes the next head and configuration of the newest ones. It may be called several times,
// each time with what another writer has made meanwhile, so it must be free of side effects. What it
// changes has the revision after h's. An error ends the commit and nothing is changed.
type Mutation func(
	h head.Head, c configuration.Configuration,
) (nextHead head.Head, next configuration.Configuration, err error)

// Apply accepts the change that decide makes of the newest configuration, and gives the revision
// since which it is accepted. It fails with configuration.Problems or configuration.Conflicts, with
// what decide fails with, with store.ErrUnavailable if nothing was changed, and with store.ErrUnknown
// if that could not be found out before the context ended.
func (r *Repository) Apply(
	ctx context.Context, decide func(c configuration.Configuration) (configuration.Change, error),
) (revision int64, err error) {
	return r.Commit(ctx, func(
		h head.Head, c configuration.Configuration,
	) (nextHead head.Head, next configuration.Configuration, err error) {
		change, err := decide(c)
		if err != nil {
			return h, c, err
		}
		next, err = c.Apply(change, h.Revision+1)
		return h, next, err
	})
}

// CommitHead changes the head alone: its members.
func (r *Repository) CommitHead(
	ctx context.Context, mutate func(h head.Head) (head.Head, error),
) (revision int64, err error) {
	return r.Commit(ctx, func(
		h head.Head, c configuration.Configuration,
	) (nextHead head.Head, next configuration.Configuration, err error) {
		nextHead, err = mutate(h)
		return nextHead, c, err
	})
}

// Commit changes head and configuration together. It begins with a read, so that nothing is refused
// or found to be done already on the ground of old knowledge. A mutation that changes nothing makes no
// new revision, and gives the current one. Errors are as those of Apply. Revision, parts and marks of the mutation's head are not
// looked at.
func (r *Repository) Commit(ctx context.Context, mutate Mutation) (revision int64, err error) {
	defer func() { err = errors.WithMessage(err, "commit") }()
	if err := r.committing.acquire(ctx); err != nil {
		return 0, errors.WithMessage(store.ErrUnavailable, err.Error())
	}
	defer r.committing.release()
	for pause := firstPause; ; pause = min(2*pause, longestPause) {
		base, err := r.Refresh(ctx)
		if err != nil && !errors.Is(err, ErrRevisionRegressed) {
			return 0, err
		}
		if err == nil {
			revision, err = r.attempt(ctx, base, mutate)
			if !errors.Is(err, store.ErrConflict) {
				return revision, err
			}
		}
		if err := sleep(ctx, pause); err != nil {
			return 0, errors.WithMessage(store.ErrUnavailable, "other writers were first each time, or reads were stale")
		}
	}
}

// attempt makes one swap on the ground of base. It fails with store.ErrConflict if another writer
// was first.
func (r *Repository) attempt(ctx context.Context, base Snapshot, mutate Mutation) (revision int64, err error) {
	h, c, err := mutate(base.Head, base.Configuration)
	if err != nil {
		return 0, err
	}
	changed := c.ChangedParts(base.Configuration)
	if len(changed) == 0 && h.Equal(base.Head) {
		return base.Head.Revision, r.confirm(ctx, base)
	}
	if placesChanged(base.Configuration, c) {
		h = h.WithEpoch()
	}
	h, err = r.writeParts(ctx, h, c, changed)
	if err != nil {
		return 0, nothingChanged(err)
	}
	next := Snapshot{Head: h.WithSwap(r.Writer + "/" + uuid.NewString())}
	next.Configuration = c.WithRevision(next.Head.Revision)
	whole, pointer, err := encoded(next.Head)
	if err != nil {
		return 0, err
	}
	if err := r.writeValue(ctx, wholeKey(pointer), whole); err != nil {
		return 0, nothingChanged(err)
	}
	return next.Head.Revision, r.swap(ctx, base, next, pointer)
}

// encoded gives the bytes of a head and the pointer to it.
func encoded(h head.Head) (whole []byte, p head.Pointer, err error) {
	if h.Revision == 0 {
		return nil, head.Pointer{}, nil
	}
	whole, err = codec.EncodeHead(h)
	return whole, head.Pointer{Revision: h.Revision, Mark: h.LastSwapID(), Hash: codec.HashOf(whole)}, err
}

// confirm swaps the head for itself. The read that a change began with may have been stale, where the
// store's copies lag. A change that does something finds that out when its swap conflicts; one that
// finds itself done already has to look, or an operator would be told that something is in force which
// a later change, not seen here, has undone.
func (r *Repository) confirm(ctx context.Context, base Snapshot) error {
	_, pointer, err := encoded(base.Head)
	if err != nil {
		return err
	}
	value, err := codec.EncodePointer(pointer)
	if err != nil {
		return err
	}
	began := time.Now()
	entry, err := r.Store.CompareAndSwap(ctx, HeadKey, base.storeRevision, value)
	if err != nil {
		return nothingChanged(err)
	}
	base.storeRevision, base.ConfirmedAt = entry.Revision, began
	r.adopt(base)
	return nil
}

// nothingChanged turns the unknown outcome of writing a part into a failure: as long as the head is
// not swapped, a part that was written counts for nothing.
func nothingChanged(err error) error {
	if errors.Is(err, store.ErrUnknown) {
		return errors.WithMessage(store.ErrUnavailable, err.Error())
	}
	return err
}

// placesChanged tells whether the set of upstreams, or where one of them is, differs. Who holds which
// upstream follows from that, so the epoch has to rise with it. Slots or leaving do not count: raising
// the epoch stops all orders until it is in force everywhere.
func placesChanged(before, after configuration.Configuration) bool {
	old, now := before.Upstreams(), after.Upstreams()
	if len(old) != len(now) {
		return true
	}
	for i := range now {
		if place(old[i]) != place(now[i]) {
			return true
		}
	}
	return false
}

func place(u resource.Upstream) [3]string {
	return [3]string{u.Meta.Name, u.Address, u.DataCentre}
}

// writeParts writes the changed parts to the store and names them in the head.
func (r *Repository) writeParts(
	ctx context.Context, h head.Head, c configuration.Configuration, changed []int,
) (named head.Head, err error) {
	contents := make([][]byte, len(changed))
	for i, index := range changed {
		resources := c.Part(index)
		if len(resources) == 0 {
			h = h.WithPart(index, "")
			continue
		}
		contents[i], err = codec.EncodePart(resources)
		if err != nil {
			return h, err
		}
		if len(contents[i]) > maxPart {
			return h, errors.WithMessagef(ErrTooLarge, "part %d: %d bytes", index, len(contents[i]))
		}
		h = h.WithPart(index, codec.HashOf(contents[i]))
	}
	err = inParallel(ctx, len(changed), func(ctx context.Context, i int) error {
		if contents[i] == nil {
			return nil
		}
		return r.writeValue(ctx, partKey(changed[i], h.Part(changed[i])), contents[i])
	})
	return h, err
}

// writeValue writes an immutable value. Its key names its content, so a conflict says that it is there
// already, which is also how a lost answer is settled.
func (r *Repository) writeValue(ctx context.Context, key string, content []byte) error {
	for pause := firstPause; ; pause = min(2*pause, longestPause) {
		_, err := r.Store.CompareAndSwap(ctx, key, store.Absent, content)
		if err == nil || errors.Is(err, store.ErrConflict) {
			return nil
		}
		if !errors.Is(err, store.ErrUnknown) {
			return err
		}
		if sleep(ctx, pause) != nil {
			return err
		}
	}
}

// swap puts the pointer to the next head in place. An answer that was lost leaves open whether the write took effect, or
// still will: the request may yet arrive. So the same write is sent again. If the first one arrives
// before it, the second one conflicts and the mark is found in the head; if it arrives later, it
// conflicts itself. Either way the answer to the operator is true.
func (r *Repository) swap(ctx context.Context, base, next Snapshot, pointer head.Pointer) error {
	value, err := codec.EncodePointer(pointer)
	if err != nil {
		return err
	}
	lost := false
	for pause := firstPause; ; pause = min(2*pause, longestPause) {
		began := time.Now()
		entry, err := r.Store.CompareAndSwap(ctx, HeadKey, base.storeRevision, value)
		switch {
		case err == nil:
			next.ConfirmedAt = began
			next.storeRevision = entry.Revision
			r.adopt(next)
			return nil
		case errors.Is(err, store.ErrConflict) && lost:
			return r.settle(ctx, base, pointer.Mark)
		case errors.Is(err, store.ErrUnknown):
			lost = true
		case errors.Is(err, store.ErrUnavailable) && lost:
		default:
			return err
		}
		if sleep(ctx, pause) != nil {
			return errors.WithMessage(store.ErrUnknown, "the answer to the swap was lost")
		}
	}
}

// settle finds out, after a lost answer, whether a swap with the mark took effect. The pointer in the
// store is not the one the swap was made on any more. If the mark is in the head, it did; if the head
// follows base within the marks that are kept and has not the mark, another writer's swap came first.
func (r *Repository) settle(ctx context.Context, base Snapshot, mark string) error {
	for pause := firstPause; ; pause = min(2*pause, longestPause) {
		began := time.Now()
		entry, h, err := r.readWhole(ctx)
		if err == nil {
			if _, found := h.FindSwap(mark); found {
				_, _ = r.take(ctx, base.Head, entry, began) // what cannot be taken up now is read again later
				return nil
			}
			if h.Revision > base.Head.Revision+head.MaxRecentSwaps {
				return errors.WithMessage(store.ErrUnknown, "too many swaps since")
			}
			if h.Revision > base.Head.Revision {
				return store.ErrConflict
			}
			// A stale read: it shows the head from before the swap.
		}
		if sleep(ctx, pause) != nil {
			return errors.WithMessage(store.ErrUnknown, "the answer to the swap was lost")
		}
	}
}

// readWhole reads the pointer and the head it names. A head that is missing has been replaced and swept
// since; the next read finds a newer one.
func (r *Repository) readWhole(ctx context.Context) (entry store.Entry, h head.Head, err error) {
	entry, err = r.readHead(ctx)
	if err != nil {
		return store.Entry{}, head.Head{}, err
	}
	pointer, err := decodePointer(entry)
	if err != nil {
		return store.Entry{}, head.Head{}, err
	}
	h, err = r.fetchHead(ctx, pointer)
	return entry, h, err
}

// sleep pauses for about that long, or fails when the context ends first.
func sleep(ctx context.Context, pause time.Duration) error {
	timer := time.NewTimer(pause/2 + rand.N(pause))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
