package head_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/catalog/head"
)

func TestMembersRaiseTheEpoch(t *testing.T) {
	is := is.New(t)
	first := head.Head{Revision: 4, Epoch: 2}
	a := head.Member{Name: "a", Incarnation: "1", Address: "127.0.0.1:1"}

	joined := first.WithMember(a)
	is.Equal(len(first.Members), 0) // the old value is untouched
	is.Equal(joined.Epoch, int64(5))
	is.Equal(joined.Members[0].Since, int64(5))

	next := joined.WithSwap("m")
	is.Equal(next.Revision, int64(5))
	is.True(next.WithMember(a).Equal(next)) // the same incarnation again changes nothing

	a.Incarnation = "2"
	is.Equal(next.WithMember(a).Members[0].Since, int64(6))
	is.Equal(len(next.WithMember(a).Members), 1)
	is.Equal(len(next.WithoutMember("a").Members), 0)
	is.True(next.WithoutMember("b").Equal(next))
}

func TestChangesKeepTheNewestMarks(t *testing.T) {
	is := is.New(t)
	h := head.Head{}
	for i := range head.MaxRecentSwaps + 3 {
		h = h.WithSwap(fmt.Sprint(i))
	}
	is.Equal(len(h.RecentSwaps), head.MaxRecentSwaps)
	_, found := h.FindSwap("2")
	is.True(!found)
	revision, found := h.FindSwap("3")
	is.True(found)
	is.Equal(revision, int64(4))
}

func TestPartsAreCopied(t *testing.T) {
	is := is.New(t)
	first := head.Head{Revision: 1}.WithPart(3, "x")
	second := first.WithPart(3, "y")
	is.Equal(first.Part(3), head.Part{Revision: 2, Hash: "x"})
	is.Equal(second.Part(3), head.Part{Revision: 2, Hash: "y"})
	is.Equal(head.Head{}.Part(5), head.Part{})
}
