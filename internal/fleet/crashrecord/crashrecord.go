// Package crashrecord reads and writes the records of requests that crash upstreams in the platform's store. They outlive the
// instances, which may all end at once, and reach an instance that is cut off from the others.
package crashrecord

import (
	"encoding/json"
	"strconv"
	"strings"

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

// recordWire has the crashes in hexadecimal: JSON numbers are exact up to 53 bits only.
type recordWire struct {
	Crashes []string
	Cleared []string
}

// Encode returns the value of a record's key.
func Encode(record suspect.Record) ([]byte, error) {
	return json.Marshal(recordWire{Crashes: toText(record.Crashes), Cleared: toText(record.Cleared)})
}

// Decode returns the record that a key holds.
func Decode(key string, value []byte) (record suspect.Record, err error) {
	defer func() { err = errors.WithMessagef(err, "crash record %s", key) }()
	var wire recordWire
	if err := json.Unmarshal(value, &wire); err != nil {
		return record, err
	}
	record.Fingerprint, _ = FingerprintOf(key)
	if record.Crashes, err = fromText(wire.Crashes); err != nil {
		return record, err
	}
	record.Cleared, err = fromText(wire.Cleared)
	return record, err
}

const (
	base     = 16
	wordBits = 64
)

func toText(crashes []suspect.Crash) (texts []string) {
	for _, crash := range crashes {
		texts = append(texts, strconv.FormatUint(uint64(crash), base))
	}
	return texts
}

func fromText(texts []string) (crashes []suspect.Crash, err error) {
	for _, text := range texts {
		crash, err := strconv.ParseUint(text, base, wordBits)
		if err != nil {
			return nil, err
		}
		crashes = append(crashes, suspect.Crash(crash))
	}
	return crashes, nil
}
