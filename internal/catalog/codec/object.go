// Strict decoding of JSON objects. encoding/json matches field names in any case, accepts duplicate
// fields and reports only the first error. A misspelt "rate" would then yield a workspace without a rate.
// This decoder matches field names exactly and reports all problems together.

package codec

import (
	"bytes"
	"encoding/json"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/catalog/configuration"
)

// object is a JSON object whose fields are read one by one.
type object struct {
	fields   map[string]json.RawMessage
	prefix   string
	kind     string
	name     string
	problems []configuration.Problem
}

// readObject splits an object into its fields. It fails on input that is not an object and on duplicate
// fields.
func readObject(data []byte) (o *object, err error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	start, err := decoder.Token()
	if err != nil {
		return nil, errors.New("is not valid JSON: " + err.Error())
	}
	if start != json.Delim('{') {
		return nil, errors.New("must be a JSON object")
	}
	o = &object{fields: map[string]json.RawMessage{}}
	for decoder.More() {
		if err := o.readField(decoder); err != nil {
			return nil, err
		}
	}
	if _, err := decoder.Token(); err != nil {
		return nil, errors.New("is not valid JSON: " + err.Error())
	}
	if decoder.More() {
		return nil, errors.New("has something after its end")
	}
	return o, nil
}

func (o *object) readField(decoder *json.Decoder) error {
	token, err := decoder.Token()
	if err != nil {
		return errors.New("is not valid JSON: " + err.Error())
	}
	name, _ := token.(string)
	var value json.RawMessage
	if err := decoder.Decode(&value); err != nil {
		return errors.New("is not valid JSON: " + err.Error())
	}
	if _, duplicate := o.fields[name]; duplicate {
		return errors.Errorf("has the field %q twice", name)
	}
	o.fields[name] = value
	return nil
}

// popField removes a field and returns its value. A field that is absent or null counts as not found.
func (o *object) popField(field string) (value json.RawMessage, found bool) {
	value, found = o.fields[field]
	delete(o.fields, field)
	return value, found && string(value) != "null"
}

func (o *object) addProblem(field, problem string) {
	o.problems = append(o.problems, configuration.Problem{
		Kind: o.kind, Name: o.name, Field: o.prefix + field, Problem: problem,
	})
}

// reportUnknownFields reports the fields that were not read.
func (o *object) reportUnknownFields() {
	var unknown []string
	for field := range o.fields {
		unknown = append(unknown, field)
	}
	slices.Sort(unknown)
	for _, field := range unknown {
		o.addProblem(field, "no such field")
	}
}

func (o *object) stringField(field string) string {
	return decodeField[string](o, field, "must be a text")
}

func (o *object) boolField(field string) bool {
	return decodeField[bool](o, field, "must be true or false")
}

func (o *object) stringsField(field string) []string {
	texts := decodeField[[]string](o, field, "must be a list of texts")
	if len(texts) == 0 {
		return nil // so that an absent and an empty list compare equal
	}
	return texts
}

func (o *object) floatField(field string, defaultValue float64) float64 {
	if _, found := o.fields[field]; !found {
		return defaultValue
	}
	return decodeField[float64](o, field, "must be a number")
}

func (o *object) intField(field string) int {
	number := o.floatField(field, 0)
	if number != math.Trunc(number) || math.Abs(number) > 1<<31-1 {
		o.addProblem(field, "must be a whole number")
		return 0
	}
	return int(number)
}

// versionField reads a resource version; stated is false if there is none.
func (o *object) versionField(field string) (version int64, stated bool) {
	value, found := o.popField(field)
	if !found {
		return 0, false
	}
	if err := json.Unmarshal(value, &version); err != nil || version < 0 {
		o.addProblem(field, "must be a whole number, 0 or above")
		return 0, false
	}
	return version, true
}

// durationField reads a duration such as "540ms".
func (o *object) durationField(field string) time.Duration {
	text := o.stringField(field)
	if text == "" {
		return 0
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		o.addProblem(field, `must be a duration such as "540ms"`)
	}
	return duration
}

// objectField reads a nested object with read, if the field is present.
func (o *object) objectField(field string, read func(*object)) {
	value, found := o.popField(field)
	if !found {
		return
	}
	inner, err := readObject(value)
	if err != nil {
		o.addProblem(field, err.Error())
		return
	}
	inner.prefix, inner.kind, inner.name = o.prefix+field+".", o.kind, o.name
	read(inner)
	inner.reportUnknownFields()
	o.problems = append(o.problems, inner.problems...)
}

func decodeField[V any](o *object, field, problem string) (value V) {
	raw, found := o.popField(field)
	if !found {
		return value
	}
	if err := json.Unmarshal(raw, &value); err != nil {
		o.addProblem(field, problem)
		var zero V
		return zero
	}
	return value
}
