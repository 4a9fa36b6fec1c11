package stream

import (
	"bytes"
	"io"
	"strings"
)

// Writer writes events. Each event is sent in one write, so that a reader never waits for the rest of a complete
// event. Flush, if set, is called after each event.
type Writer struct {
	Destination io.Writer
	Flush       func()
}

// Write writes one event. Line breaks in the data become several data lines. A name or an id with a line break is
// malformed, because the text after the break would be read as another field.
func (w *Writer) Write(event Event) error {
	if strings.ContainsAny(event.Name+event.ID, "\r\n") || bytes.IndexByte(event.Data, '\r') >= 0 {
		return ErrMalformed
	}
	var out bytes.Buffer
	writeField(&out, "event", event.Name)
	writeField(&out, "id", event.ID)
	for line := range bytes.SplitSeq(event.Data, []byte("\n")) {
		out.WriteString("data: ")
		out.Write(line)
		out.WriteByte('\n')
	}
	out.WriteByte('\n')
	if _, err := w.Destination.Write(out.Bytes()); err != nil {
		return err
	}
	if w.Flush != nil {
		w.Flush()
	}
	return nil
}

func writeField(out *bytes.Buffer, name, value string) {
	if value == "" {
		return
	}
	out.WriteString(name + ": " + value + "\n")
}
