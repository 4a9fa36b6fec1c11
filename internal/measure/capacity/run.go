// Package capacity measures what a decision and an idle adapter cost, at several sizes, and works the
// slopes out for the fleet of the target.
package capacity

import (
	"context"
	"io"
)

// Options of a Run. Out gets the tables as text. Markdown, unless empty, is the file the tables are
// written to.
type Options struct {
	Out      io.Writer
	Markdown string
}

// Run measures the slopes and writes the tables.
func Run(ctx context.Context, options Options) (err error) { return ctx.Err() }
