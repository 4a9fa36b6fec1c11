// Commits: parts are written, the head is swapped, and the outcome of a swap is resolved when its
// response was lost.

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
	// initialBackoff and maxBackoff bound the jittered exponential backoff between attempts. The first is
	// about the duration of a swap, so that writers that conflicted once rarely conflict again.
	initialBackoff = 10 * time.Millisecond
	maxBackoff     = time.Second
	// maxValueBytes is the largest value that the store accepts.
	maxValueBytes = 1 << 20
)

// ErrTooLarge means that the change would make a part larger than the store accepts; nothing was
// changed.
var ErrTooLarge = errors.New("repository: the configuration is too large for the store")

// Mutation returns the next head and configuration, given the newest ones. It may be called several
// times, each time with the latest state after another writer's swap, so it must be free of side effects.
// What it changes gets the revision after h's. An error ends the commit and nothing is changed.
type Mutation func(
	h head.Head, c configuration.Configuration,
) (nextHead head.Head, next configuration.Configuration, err error)

// Apply commits the change that decide derives from the newest configuration, and returns the revision at
// which it was accepted. It fails with configuration.Problems or configuration.Conflicts, with the error
// of decide, with store.ErrUnavailable if nothing was changed, and with store.ErrUnknown if the outcome
// could not be determined before the context ended.
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

// CommitHead changes only the head, such as its members.
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

// Commit changes head and configuration together. It begins with a read, so that no change is refused or
// found to be a no-op on the basis of an outdated snapshot. A mutation that changes nothing makes no new
// revision, and Commit returns the current one. Errors are as for Apply. The revision, parts and recorded
// swaps in the mutation's head are ignored.
func (r *Repository) Commit(ctx context.Context, mutate Mutation) (revision int64, err error) {
	defer func() { err = errors.WithMessage(err, "commit") }()
	if err := r.commitLock.acquire(ctx); err != nil {
		return 0, errors.WithMessage(store.ErrUnavailable, err.Error())
	}
	defer r.commitLock.release()
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		base, err := r.Refresh(ctx)
		if err != nil && !errors.Is(err, ErrRevisionRegressed) {
			return 0, err
		}
		if err == nil {
			revision, err = r.tryCommit(ctx, base, mutate)
			if !errors.Is(err, store.ErrConflict) {
				return revision, err
			}
		}
		if err := sleepWithJitter(ctx, backoff); err != nil {
			return 0, errors.WithMessage(store.ErrUnavailable, "each swap conflicted with another writer's, or reads were stale")
		}
	}
}

// tryCommit makes one swap based on base. It fails with store.ErrConflict if another writer swapped first.
func (r *Repository) tryCommit(ctx context.Context, base Snapshot, mutate Mutation) (revision int64, err error) {
	h, c, err := mutate(base.Head, base.Configuration)
	if err != nil {
		return 0, err
	}
	changed := c.ChangedParts(base.Configuration)
	if len(changed) == 0 && h.Equal(base.Head) {
		return base.Head.Revision, r.confirmHead(ctx, base)
	}
	if upstreamSetChanged(base.Configuration, c) {
		h = h.WithEpoch()
	}
	h, err = r.writeParts(ctx, h, c, changed)
	if err != nil {
		return 0, asUnavailable(err)
	}
	next := Snapshot{Head: h.WithSwap(r.Writer + "/" + uuid.NewString())}
	next.Configuration = c.WithRevision(next.Head.Revision)
	encodedHead, pointer, err := encodeHead(next.Head)
	if err != nil {
		return 0, err
	}
	if err := r.writeValue(ctx, wholeHeadKey(pointer), encodedHead); err != nil {
		return 0, asUnavailable(err)
	}
	return next.Head.Revision, r.swap(ctx, base, next, pointer)
}

// encodeHead returns the encoded head and the pointer to it.
func encodeHead(h head.Head) (encodedHead []byte, p head.Pointer, err error) {
	if h.Revision == 0 {
		return nil, head.Pointer{}, nil
	}
	encodedHead, err = codec.EncodeHead(h)
	return encodedHead, head.Pointer{Revision: h.Revision, SwapID: h.LastSwapID(), Hash: codec.HashOf(encodedHead)}, err
}

// confirmHead replaces the head with itself. The read that a commit began with may have been stale if the
// store's replicas lag. A commit with a change detects that when its swap conflicts. A commit without a
// change has to verify it, or an operator would be informed that something is in force which a later
// change, missed by the stale read, has undone.
func (r *Repository) confirmHead(ctx context.Context, base Snapshot) error {
	_, pointer, err := encodeHead(base.Head)
	if err != nil {
		return err
	}
	value, err := codec.EncodePointer(pointer)
	if err != nil {
		return err
	}
	startedAt := time.Now()
	entry, err := r.Store.CompareAndSwap(ctx, HeadKey, base.storeRevision, value)
	if err != nil {
		return asUnavailable(err)
	}
	base.storeRevision, base.ConfirmedAt = entry.Revision, startedAt
	r.install(base)
	return nil
}

// asUnavailable turns the unknown outcome of writing a part or a head into ErrUnavailable: as long as
// the pointer is not swapped, what was written has no effect.
func asUnavailable(err error) error {
	if errors.Is(err, store.ErrUnknown) {
		return errors.WithMessage(store.ErrUnavailable, err.Error())
	}
	return err
}

// upstreamSetChanged reports whether the set of upstreams, or the address or data centre of one, differs.
// The holder of each upstream follows from these, so the epoch has to rise with them. Changes of Slots,
// Leaving and the like do not raise it, because a new epoch stops all orders until it is in force
// everywhere.
func upstreamSetChanged(before, after configuration.Configuration) bool {
	old, now := before.Upstreams(), after.Upstreams()
	if len(old) != len(now) {
		return true
	}
	for i := range now {
		if upstreamLocation(old[i]) != upstreamLocation(now[i]) {
			return true
		}
	}
	return false
}

func upstreamLocation(u resource.Upstream) [3]string {
	return [3]string{u.Meta.Name, u.Address, u.DataCentre}
}

// writeParts writes the changed parts to the store and references them in the head.
func (r *Repository) writeParts(
	ctx context.Context, h head.Head, c configuration.Configuration, changed []int,
) (referenced head.Head, err error) {
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
		if len(contents[i]) > maxValueBytes {
			return h, errors.WithMessagef(ErrTooLarge, "part %d: %d bytes", index, len(contents[i]))
		}
		h = h.WithPart(index, codec.HashOf(contents[i]))
	}
	err = runParallel(ctx, len(changed), func(ctx context.Context, i int) error {
		if contents[i] == nil {
			return nil
		}
		return r.writeValue(ctx, partKey(changed[i], h.Part(changed[i])), contents[i])
	})
	return h, err
}

// writeValue writes an immutable value. Its key contains its content hash, so a conflict means that the
// value is already stored. A retry after a lost response is resolved in the same way.
func (r *Repository) writeValue(ctx context.Context, key string, content []byte) error {
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		_, err := r.Store.CompareAndSwap(ctx, key, store.Absent, content)
		if err == nil || errors.Is(err, store.ErrConflict) {
			return nil
		}
		if !errors.Is(err, store.ErrUnknown) {
			return err
		}
		if sleepWithJitter(ctx, backoff) != nil {
			return err
		}
	}
}

// swap replaces the pointer to the head. If the response is lost, it is unknown whether the write took
// effect or still will, because the request may be delayed. The same write is therefore sent again. If
// the first request arrives before it, the second conflicts and the swap ID is found in the head; if the
// first arrives later, the first conflicts. Either way the operator gets the true outcome.
func (r *Repository) swap(ctx context.Context, base, next Snapshot, pointer head.Pointer) error {
	value, err := codec.EncodePointer(pointer)
	if err != nil {
		return err
	}
	outcomeUnknown := false
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		startedAt := time.Now()
		entry, err := r.Store.CompareAndSwap(ctx, HeadKey, base.storeRevision, value)
		switch {
		case err == nil:
			next.ConfirmedAt = startedAt
			next.storeRevision = entry.Revision
			r.install(next)
			return nil
		case errors.Is(err, store.ErrConflict) && outcomeUnknown:
			return r.resolveSwap(ctx, base, pointer.SwapID)
		case errors.Is(err, store.ErrUnknown):
			outcomeUnknown = true
		case errors.Is(err, store.ErrUnavailable) && outcomeUnknown:
		default:
			return err
		}
		if sleepWithJitter(ctx, backoff) != nil {
			return errors.WithMessage(store.ErrUnknown, "the answer to the swap was lost")
		}
	}
}

// resolveSwap determines after a lost response whether the swap with this ID took effect. The pointer in
// the store is no longer the one that the swap expected. If the head records the ID, the swap took
// effect. If the head is newer than base by no more than the number of recorded swaps and does not record
// the ID, another writer's swap came first.
func (r *Repository) resolveSwap(ctx context.Context, base Snapshot, swapID string) error {
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		startedAt := time.Now()
		entry, h, err := r.readPointerAndHead(ctx)
		if err == nil {
			if _, found := h.FindSwap(swapID); found {
				_, _ = r.installEntry(ctx, base.Head, entry, startedAt) // if it cannot be installed now, a later read does
				return nil
			}
			if h.Revision > base.Head.Revision+head.MaxRecentSwaps {
				return errors.WithMessage(store.ErrUnknown, "more swaps were made since than the head records")
			}
			if h.Revision > base.Head.Revision {
				return store.ErrConflict
			}
			// The read was stale: it shows the head from before the swap.
		}
		if sleepWithJitter(ctx, backoff) != nil {
			return errors.WithMessage(store.ErrUnknown, "the answer to the swap was lost")
		}
	}
}

// readPointerAndHead reads the pointer and the head it references. If the head is missing, it has been
// replaced and swept in the meantime; the next read finds a newer one.
func (r *Repository) readPointerAndHead(ctx context.Context) (entry store.Entry, h head.Head, err error) {
	entry, err = r.readPointer(ctx)
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

// sleepWithJitter pauses for half to one and a half times the given duration, or fails when the context
// ends first.
func sleepWithJitter(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration/2 + rand.N(duration))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
