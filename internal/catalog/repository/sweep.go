// Deleting parts that no head names any more.

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

// DefaultGracePeriod is how long a part stays after it was first seen to be named by no head. It is for
// readers that have read the old head and are fetching its parts. One that is slower finds a part
// missing and reads the head again, so the time only spares them that.
const DefaultGracePeriod = 10 * time.Minute

// DefaultSweepInterval is how often Run looks at the parts of one index. All of them take an hour then, in
// which some 40 changes leave as many parts behind at 1,000 changes a day, and a sweep reads the 300 kB
// of one index a minute.
const DefaultSweepInterval = time.Minute

// SweepIndexes is how many indexes there are to sweep: one for each part, and the last one for heads.
const SweepIndexes = head.PartCount + 1

// Sweeper deletes parts that no head names any more, and heads that were replaced. Several at a time do no harm. Set the exported
// fields before the first call.
type Sweeper struct {
	Repository *Repository
	// GracePeriod is how long a part is left after it was first seen to be unnamed; zero means DefaultGrace.
	GracePeriod time.Duration
	// SweepInterval is how often Run sweeps an index; zero means DefaultSweepEvery.
	SweepInterval time.Duration
	// HasDuty tells whether this instance is the one to sweep now; nil means always.
	HasDuty func() bool

	unnamedSince map[string]time.Time
}

// Run sweeps one index after the other until the context ends. What cannot be swept now, because the
// store is down, comes round again.
func (s *Sweeper) Run(ctx context.Context) error {
	every := s.SweepInterval
	if every <= 0 {
		every = DefaultSweepInterval
	}
	ticker := time.NewTicker(every)
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

// Sweep looks at the parts, or heads, of one index, lists them with one call, and deletes those that have been
// unnamed for Grace. A part written for a revision above the head's is left alone: its writer may be
// about to swap the head. At or below it, no swap that names the part can succeed any more, so it is
// deleted safely however long its writer was paused.
func (s *Sweeper) Sweep(ctx context.Context, index int) (deleted int, err error) {
	defer func() { err = errors.WithMessage(err, "sweep parts") }()
	snapshot, err := s.Repository.Refresh(ctx)
	if err != nil {
		return 0, err
	}
	named, err := namedKey(index, snapshot.Head)
	if err != nil {
		return 0, err
	}
	entries, err := s.Repository.Store.List(ctx, sweepPrefix(index))
	if err != nil {
		return 0, err
	}
	for _, entry := range entries {
		if entry.Key == named || !s.due(entry.Key, sweepPrefix(index), snapshot.Head.Revision) {
			continue
		}
		err := s.Repository.Store.Delete(ctx, entry.Key, entry.Revision)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return deleted, err
		}
		delete(s.unnamedSince, entry.Key)
		deleted++
	}
	return deleted, nil
}

// sweepPrefix begins the keys of one index.
func sweepPrefix(index int) string {
	if index < head.PartCount {
		return partPrefix(index)
	}
	return headPrefix
}

// namedKey is the key of an index that is in use.
func namedKey(index int, h head.Head) (key string, err error) {
	if index < head.PartCount {
		return partKey(index, h.Part(index)), nil
	}
	_, pointer, err := encoded(h)
	return wholeKey(pointer), err
}

// due tells whether a value that is not in use has been so for long enough, and notes since when it is.
func (s *Sweeper) due(key, prefix string, current int64) bool {
	revision, valid := revisionOf(key, prefix)
	if !valid || revision > current {
		return false
	}
	if s.unnamedSince == nil {
		s.unnamedSince = map[string]time.Time{}
	}
	since, known := s.unnamedSince[key]
	if !known {
		s.unnamedSince[key] = time.Now()
		return false
	}
	return time.Since(since) >= s.grace()
}

func (s *Sweeper) grace() time.Duration {
	if s.GracePeriod > 0 {
		return s.GracePeriod
	}
	return DefaultGracePeriod
}

// revisionOf reads the revision that a value was written for out of its key.
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
