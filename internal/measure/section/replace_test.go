package section_test

import (
	"testing"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/measure/section"
)

func TestSpliceKeepsOtherSections(t *testing.T) {
	is := is.New(t)
	page := section.Splice("# Page\n\ntext\n", "a", "one")
	page = section.Splice(page, "b", "two")
	again := section.Splice(section.Splice(page, "a", "three"), "a", "one")
	is.Equal(again, page)
	is.Equal(section.Splice("", "a", "one"), "<!-- measured: a -->\n\none\n\n<!-- end of measured: a -->\n")
}
