package fault

// The record of a stand-in that may be killed. It is written to a file line by line, so that a test
// can still ask what the killed process had begun, and the process started in its place goes on with
// the same record.

import (
	"bufio"
	"encoding/json"
	"os"

	"github.com/pkg/errors"
)

// maxLineBytes bounds one line of a journal.
const maxLineBytes = 16 << 20

// Journal appends values as JSON lines. Without a path it keeps nothing. Append is called under the
// lock of the record that it mirrors.
type Journal[T any] struct {
	Path string

	file *os.File
}

// Open reads what an earlier process wrote and makes ready to append.
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

// Append writes one line.
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

// ReadJournal reads a journal, also one whose process is gone. A last line that was not written
// whole is left out.
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
