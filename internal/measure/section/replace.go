// Package section writes measured tables into a Markdown page. Each measuring program owns the section between
// its two markers and leaves the rest unchanged.
package section

import (
	"os"
	"strings"

	"github.com/pkg/errors"
)

const permissions = 0o644

// Replace writes text between the markers with the given name in the file, or at the end of the file if it has
// no such markers. It creates a missing file.
func Replace(file, name, text string) (err error) {
	defer func() { err = errors.WithMessagef(err, "write section %s of %s", name, file) }()
	old, err := os.ReadFile(file)
	if err != nil && !os.IsNotExist(err) {
		return err
	}
	return os.WriteFile(file, []byte(Splice(string(old), name, text)), permissions)
}

// Splice returns the page with the named section replaced or appended.
func Splice(page, name, text string) string {
	begin := "<!-- measured: " + name + " -->\n"
	end := "<!-- end of measured: " + name + " -->\n"
	section := begin + "\n" + strings.TrimSpace(text) + "\n\n" + end
	before, rest, found := strings.Cut(page, begin)
	if !found {
		return strings.TrimLeft(strings.TrimRight(page, "\n")+"\n\n"+section, "\n")
	}
	_, after, found := strings.Cut(rest, end)
	if !found {
		return before + section + rest
	}
	return before + section + after
}
