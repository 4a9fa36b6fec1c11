package fault

// The journal of a stand-in that may be killed. Each entry is written to a file as one line, so that a test
// can read what the killed process had started, and the restarted process continues the same record.

import (
	"bufio"
	"encoding/json"
	"os"

	"github.com/pkg/errors"
)

// maxLineBytes is the largest length of a journal line.
const maxLineBytes = 16 << 20

// Journal appends values to a file as JSON lines. Without a path it stores nothing. The caller of Append
// holds the lock of the record that the journal mirrors.
type Journal[T any] struct {
	Path string

	file *os.File
}

// Open returns the values that earlier processes wrote, and opens the file for appending.
func (j *Journal[T]) Open() (earlier []T, err error) {
	defer func() { err = errors.WithMessage(err, "journal") }()
	if j.Path == "" {
		return nil, nil
	}
	earlier, err = ReadJournal[T](j.Path)
	if err != nil {
		return nil, err
	}
	j.file, err = os.OpenFile(j.Path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	return earlier, err
}

// Append writes a value as one line.
func (j *Journal[T]) Append(value T) {
	if j.file == nil {
		return
	}
	line, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	if _, err := j.file.Write(append(line, '\n')); err != nil {
		panic(err)
	}
}

// ReadJournal reads a journal. The process that wrote it may have ended. An incomplete last line is skipped.
func ReadJournal[T any](path string) (values []T, err error) {
	defer func() { err = errors.WithMessage(err, "read journal") }()
	file, err := os.Open(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		var value T
		if json.Unmarshal(scanner.Bytes(), &value) != nil {
			continue
		}
		values = append(values, value)
	}
	return values, scanner.Err()
}
