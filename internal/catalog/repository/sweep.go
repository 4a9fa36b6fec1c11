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

// DefaultGrace is how long a part stays after it was first seen to be named by no head. It is for
// readers that have read the old head and are fetching its parts. One that is slower finds a part
// missing and reads the head again, so the time only spares them that.
const DefaultGrace = 10 * time.Minute

// Sweeper deletes parts that no head names any more. One instance runs it, now and then; several at a
// time do no harm. Set the exported fields before the first call.
type Sweeper struct {
	Repository *Repository
	// Grace is how long a part is left after it was first seen to be unnamed; zero means DefaultGrace.
	Grace time.Duration

	unnamedSince map[string]time.Time
}

// Sweep looks at the parts of one index, lists them with one call, and deletes those that have been
// unnamed for Grace. A part written for a revision above the head's is left alone: its writer may be
// about to swap the head. At or below it, no swap that names the part can succeed any more, so it is
// deleted safely however long its writer was paused.
func (s *Sweeper) Sweep(ctx context.Context, index int) (deleted int, err error) {
	defer func() { err = errors.WithMessage(err, "sweep parts") }()
	snapshot, err := s.Repository.Refresh(ctx)
	if err != nil {
		return 0, err
	}
	entries, err := s.Repository.Store.List(ctx, partPrefix(index))
	if err != nil {
		return 0, err
	}
	for _, entry := range entries {
		if !s.due(entry.Key, index, snapshot.Head) {
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

// due tells whether a part has been unnamed for long enough, and notes since when it is.
func (s *Sweeper) due(key string, index int, h head.Head) bool {
	revision, valid := partRevision(key, index)
	if !valid || revision > h.Revision || key == partKey(index, h.Part(index)) {
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
	if s.Grace > 0 {
		return s.Grace
	}
	return DefaultGrace
}

// partRevision reads the revision that a part was written for out of its key.
func partRevision(key string, index int) (revision int64, valid bool) {
	rest, found := strings.CutPrefix(key, partPrefix(index))
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
