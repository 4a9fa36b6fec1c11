package stream

import "bytes"

// Splitter separates the complete events of a stream from an incomplete one at the end of what was received. An event is
// complete with the blank line after it. A stream that ends without that line was broken off inside an event. Lines end
// in LF or CR LF. Set Limit before the first use.
type Splitter struct {
	// Limit is the maximum size of an incomplete event in bytes.
	Limit int

	// received begins with complete, the part that the last call returned. The rest is an incomplete event, whose
	// last, incomplete line begins at line.
	received []byte
	complete int
	line     int
}

// Add adds received bytes and returns the events that are complete with them, empty if none is. They are valid until the
// next call. It fails with ErrTooLong if the incomplete event exceeds the limit.
func (s *Splitter) Add(data []byte) (complete []byte, err error) {
	s.discardComplete()
	s.received = append(s.received, data...)
	for {
		length := bytes.IndexByte(s.received[s.line:], '\n')
		if length < 0 {
			break
		}
		line := s.received[s.line : s.line+length]
		s.line += length + 1
		if len(bytes.TrimSuffix(line, []byte("\r"))) == 0 {
			s.complete = s.line
		}
	}
	if s.Incomplete() > s.Limit {
		return nil, ErrTooLong
	}
	return s.received[:s.complete], nil
}

func (s *Splitter) discardComplete() {
	if s.complete == 0 {
		return
	}
	s.received = append(s.received[:0], s.received[s.complete:]...)
	s.line -= s.complete
	s.complete = 0
}

// Incomplete returns the number of bytes after the last complete event.
func (s *Splitter) Incomplete() int { return len(s.received) - s.complete }

// Rest returns the bytes after the last complete event. They are valid until the next call of Add.
func (s *Splitter) Rest() []byte { return s.received[s.complete:] }
