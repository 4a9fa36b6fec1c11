// Output formats: a table for people, JSON for programs.

package control

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"lacewingrock.example/lacewingrock/internal/operator/message"
)

// The formats of -o.
const (
	formatTable = "table"
	formatJSON  = "json"
)

// output is the chosen output format, a part of every command.
type output struct {
	format string
}

func (o *output) setFlags(f *flag.FlagSet) {
	f.StringVar(&o.format, "o", formatTable, "output: table or json")
}

func (o *output) check() error {
	if o.format != formatTable && o.format != formatJSON {
		return usageError("-o must be table or json")
	}
	return nil
}

// print writes the value as JSON, or the table, depending on the format.
func (o *output) print(w io.Writer, value any, t table) error {
	if o.format == formatJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	return t.write(w)
}

// table is a heading and rows with the same number of columns.
type table struct {
	heading []string
	rows    [][]string
}

func (t *table) add(columns ...string) {
	t.rows = append(t.rows, columns)
}

func (t *table) write(w io.Writer) error {
	aligned := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	for _, row := range append([][]string{t.heading}, t.rows...) {
		if _, err := fmt.Fprintln(aligned, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return aligned.Flush()
}

// acceptedTable lists the resources of a change with their new versions.
func acceptedTable(accepted message.Accepted) table {
	t := table{heading: []string{"KIND", "NAME", "RESOURCEVERSION", "OUTCOME"}}
	for _, v := range accepted.Resources {
		t.add(v.Kind, v.Name, strconv.FormatInt(v.ResourceVersion, 10), outcomeOf(v))
	}
	return t
}

func outcomeOf(v message.Version) string {
	switch {
	case v.Removed:
		return "removed"
	case v.Changed:
		return "changed"
	}
	return "unchanged"
}
