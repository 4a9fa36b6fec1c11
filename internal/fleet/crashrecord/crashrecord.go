// Package crashrecord reads and writes the records of requests and prompt parts that crash upstreams in the platform's store. They outlive the
// instances, which may all end at once, and reach an instance that is cut off from the others.
package crashrecord

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/placement/suspect"
)

const prefix = "fleet/crashes/"

// Key returns the key of a request's record.
func Key(fingerprint suspect.Fingerprint) string { return prefix + string(fingerprint) }

// FingerprintOf returns the request whose record a key holds.
func FingerprintOf(key string) (fingerprint suspect.Fingerprint, ok bool) {
	text, ok := strings.CutPrefix(key, prefix)
	return suspect.Fingerprint(text), ok
}

// recordWire has the numbers in hexadecimal: JSON numbers are exact up to 53 bits only.
type recordWire struct {
	Crashes  []string
	Cleared  []string
	Requests []string `json:",omitempty"`
	// BeforeLastMillis is how long each of the crashes was before the last one, in their order.
	BeforeLastMillis []int64 `json:",omitempty"`
}

// Encode returns the value of a record's key.
func Encode(record suspect.Record) ([]byte, error) {
	wire := recordWire{Crashes: toText(record.Crashes), Cleared: toText(record.Cleared), Requests: toText(record.Requests)}
	for _, age := range record.Ages {
		wire.BeforeLastMillis = append(wire.BeforeLastMillis, (age - slices.Min(record.Ages)).Milliseconds())
	}
	return json.Marshal(wire)
}

// Decode returns the record that a key holds.
func Decode(key string, value []byte) (record suspect.Record, err error) {
	defer func() { err = errors.WithMessagef(err, "crash record %s", key) }()
	var wire recordWire
	if err := json.Unmarshal(value, &wire); err != nil {
		return record, err
	}
	record.Fingerprint, _ = FingerprintOf(key)
	if record.Crashes, err = fromText[suspect.Crash](wire.Crashes); err != nil {
		return record, err
	}
	if record.Cleared, err = fromText[suspect.Crash](wire.Cleared); err != nil {
		return record, err
	}
	for _, before := range wire.BeforeLastMillis {
		record.Ages = append(record.Ages, time.Duration(before)*time.Millisecond)
	}
	record.Requests, err = fromText[suspect.Request](wire.Requests)
	return record, err
}

const (
	base     = 16
	wordBits = 64
)

func toText[T ~uint64](numbers []T) (texts []string) {
	for _, number := range numbers {
		texts = append(texts, strconv.FormatUint(uint64(number), base))
	}
	return texts
}

func fromText[T ~uint64](texts []string) (numbers []T, err error) {
	for _, text := range texts {
		number, err := strconv.ParseUint(text, base, wordBits)
		if err != nil {
			return nil, err
		}
		numbers = append(numbers, T(number))
	}
	return numbers, nil
}
