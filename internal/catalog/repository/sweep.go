// Garbage collection of parts and heads that are no longer referenced.

package repository

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/catalog/head"
	"lacewingrock.example/lacewingrock/internal/platform/store"
)

// DefaultGracePeriod is how long a part is kept after it was first seen to be unreferenced. It is for
// readers that have read the old head and are fetching its parts. A reader that takes longer finds a part
// missing and reads the head again, so the grace period only avoids that extra read.
const DefaultGracePeriod = 10 * time.Minute

// DefaultSweepInterval is the interval at which Run sweeps the parts of one index. Sweeping all of them
// takes an hour. At 1,000 changes a day about 40 changes leave as many unreferenced parts behind in that
// time. A sweep reads the 300 kB of one index a minute.
const DefaultSweepInterval = time.Minute

// SweepIndexes is the number of indexes to sweep: one for each part, and the last one for heads.
const SweepIndexes = head.PartCount + 1

// Sweeper deletes parts that are no longer referenced by the head, and heads that were replaced. Several
// sweepers at a time do no harm. Set the exported fields before the first call.
type Sweeper struct {
	Repository *Repository
	// GracePeriod is how long a part is kept after it was first seen to be unreferenced; zero means
	// DefaultGracePeriod.
	GracePeriod time.Duration
	// SweepInterval is the interval at which Run sweeps an index; zero means DefaultSweepInterval.
	SweepInterval time.Duration
	// HasDuty reports whether this instance has the duty to sweep now; nil means always.
	HasDuty func() bool

	unreferencedSince map[string]time.Time
}

// Run sweeps one index after the other until the context ends. An index that cannot be swept because the
// store is unavailable is swept again in the next round.
func (s *Sweeper) Run(ctx context.Context) error {
	interval := s.SweepInterval
	if interval <= 0 {
		interval = DefaultSweepInterval
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for index := 0; ; {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if s.HasDuty != nil && !s.HasDuty() {
			continue
		}
		s.sweepAndLog(ctx, index)
		index = (index + 1) % SweepIndexes
	}
}

func (s *Sweeper) sweepAndLog(ctx context.Context, index int) {
	deleted, err := s.Sweep(ctx, index)
	if err != nil {
		s.Repository.Log.Warn().Err(err).Int("Index", index).Msg("PartsNotSwept")
		return
	}
	if deleted > 0 {
		s.Repository.Log.Info().Int("Index", index).Int("Deleted", deleted).Msg("PartsSwept")
	}
}

// Sweep lists the parts, or heads, of one index with one call and deletes those that have been
// unreferenced for the grace period. A part written for a revision above the head's is kept, because its
// writer may be about to swap the head. At or below the head's revision, no swap to a head that
// references the part can succeed any more, so it is safe to delete however long its writer was paused.
func (s *Sweeper) Sweep(ctx context.Context, index int) (deleted int, err error) {
	defer func() { err = errors.WithMessage(err, "sweep parts") }()
	snapshot, err := s.Repository.Refresh(ctx)
	if err != nil {
		return 0, err
	}
	referenced, err := referencedKey(index, snapshot.Head)
	if err != nil {
		return 0, err
	}
	entries, err := s.Repository.Store.List(ctx, indexPrefix(index))
	if err != nil {
		return 0, err
	}
	for _, entry := range entries {
		if entry.Key == referenced || !s.isDue(entry.Key, indexPrefix(index), snapshot.Head.Revision) {
			continue
		}
		err := s.Repository.Store.Delete(ctx, entry.Key, entry.Revision)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return deleted, err
		}
		delete(s.unreferencedSince, entry.Key)
		deleted++
	}
	return deleted, nil
}

// indexPrefix returns the prefix of the keys of one index.
func indexPrefix(index int) string {
	if index < head.PartCount {
		return partPrefix(index)
	}
	return headPrefix
}

// referencedKey returns the key of an index that is referenced.
func referencedKey(index int, h head.Head) (key string, err error) {
	if index < head.PartCount {
		return partKey(index, h.Part(index)), nil
	}
	_, pointer, err := encodeHead(h)
	return wholeHeadKey(pointer), err
}

// isDue reports whether a value has been unreferenced for the grace period, and records when it was first
// seen to be unreferenced. A value is never due while its revision is above current, the head's.
func (s *Sweeper) isDue(key, prefix string, current int64) bool {
	revision, valid := revisionOf(key, prefix)
	if !valid || revision > current {
		return false
	}
	if s.unreferencedSince == nil {
		s.unreferencedSince = map[string]time.Time{}
	}
	since, known := s.unreferencedSince[key]
	if !known {
		s.unreferencedSince[key] = time.Now()
		return false
	}
	return time.Since(since) >= s.gracePeriod()
}

func (s *Sweeper) gracePeriod() time.Duration {
	if s.GracePeriod > 0 {
		return s.GracePeriod
	}
	return DefaultGracePeriod
}

// revisionOf extracts the revision that a value was written for from its key.
func revisionOf(key, prefix string) (revision int64, valid bool) {
	rest, found := strings.CutPrefix(key, prefix)
	if !found {
		return 0, false
	}
	text, _, found := strings.Cut(rest, "/")
	if !found {
		return 0, false
	}
	revision, err := strconv.ParseInt(text, 10, 64)
	return revision, err == nil
}
