package instant_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/timing/instant"
)

func TestTimesAreCompared(t *testing.T) {
	first, second, unknown := time.Unix(1, 0), time.Unix(2, 0), time.Time{}
	for _, c := range []struct{ a, b, earlier, later time.Time }{
		{first, second, first, second},
		{first, first, first, first},
		{first, unknown, first, first},
		{unknown, unknown, unknown, unknown},
	} {
		is := is.New(t)
		is.Equal(instant.Earlier(c.a, c.b), c.earlier)
		is.Equal(instant.Earlier(c.b, c.a), c.earlier)
		is.Equal(instant.Later(c.a, c.b), c.later)
		is.Equal(instant.Later(c.b, c.a), c.later)
	}
}
