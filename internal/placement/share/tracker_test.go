package share_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/placement/share"
)

// Guards against an uneven split under saturation: a small workspace got half of its share while a large one got
// more. Its weight has to rise until it has caught up, and no further.
func TestWeightFollowsWhatWasServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tracker := &share.Tracker{}
		is.Equal(tracker.Weight(time.Now(), "small", 1), 1.0)
		tracker.Served(time.Now(), "small", 1, 500)
		tracker.Served(time.Now(), "large", 4, 4500)
		is.Equal(tracker.Weight(time.Now(), "small", 1), 4.0) // half the mean share: four times the weight
		is.True(tracker.Weight(time.Now(), "large", 4) < 4)
		is.Equal(tracker.Weight(time.Now(), "new", 1), 8.0)
		tracker.Served(time.Now(), "small", 1, 625)
		is.True(tracker.Weight(time.Now(), "small", 1) < 1.01)
		time.Sleep(time.Hour)
		tracker.Served(time.Now(), "large", 4, 400)
		is.Equal(tracker.Weight(time.Now(), "small", 1), 8.0) // earlier tokens have decayed
	})
}
