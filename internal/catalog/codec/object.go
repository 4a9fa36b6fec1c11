// Reading a JSON object strictly. encoding/json takes a field whatever its case, takes it twice, and
// says of the first wrong one only; an operator's misspelt "rate" would then be a workspace without
// a rate. Here each field is taken by its exact name, and all that is wrong is reported together.

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

// object is one JSON object whose fields are taken one by one.
type object struct {
	fields   map[string]json.RawMessage
	prefix   string
	kind     string
	name     string
	problems []configuration.Problem
}

// readObject splits an object into its fields. It fails on what is not an object and on a field that
// stands twice.
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
	if _, twice := o.fields[name]; twice {
		return errors.Errorf("has the field %q twice", name)
	}
	o.fields[name] = value
	return nil
}

// take removes a field and gives its value; a field that is absent or null is not found.
func (o *object) take(field string) (value json.RawMessage, found bool) {
	value, found = o.fields[field]
	delete(o.fields, field)
	return value, found && string(value) != "null"
}

func (o *object) problem(field, problem string) {
	o.problems = append(o.problems, configuration.Problem{
		Kind: o.kind, Name: o.name, Field: o.prefix + field, Problem: problem,
	})
}

// finish reports the fields that nobody took.
func (o *object) finish() {
	var unknown []string
	for field := range o.fields {
		unknown = append(unknown, field)
	}
	slices.Sort(unknown)
	for _, field := range unknown {
		o.problem(field, "no such field")
	}
}

func (o *object) text(field string) string {
	return decoded[string](o, field, "must be a text")
}

func (o *object) flag(field string) bool {
	return decoded[bool](o, field, "must be true or false")
}

func (o *object) texts(field string) []string {
	texts := decoded[[]string](o, field, "must be a list of texts")
	if len(texts) == 0 {
		return nil // absent and empty are one, so that both are equal to what is declared
	}
	return texts
}

func (o *object) number(field string, absent float64) float64 {
	if _, found := o.fields[field]; !found {
		return absent
	}
	return decoded[float64](o, field, "must be a number")
}

func (o *object) whole(field string) int {
	number := o.number(field, 0)
	if number != math.Trunc(number) || math.Abs(number) > 1<<31-1 {
		o.problem(field, "must be a whole number")
		return 0
	}
	return int(number)
}

// version takes a resource version, or says that none is stated.
func (o *object) version(field string) (version int64, stated bool) {
	value, found := o.take(field)
	if !found {
		return 0, false
	}
	if err := json.Unmarshal(value, &version); err != nil || version < 0 {
		o.problem(field, "must be a whole number, 0 or above")
		return 0, false
	}
	return version, true
}

// duration takes a text such as "540ms".
func (o *object) duration(field string) time.Duration {
	text := o.text(field)
	if text == "" {
		return 0
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		o.problem(field, `must be a duration such as "540ms"`)
	}
	return duration
}

// object takes a nested object; read is called with it if it is there.
func (o *object) object(field string, read func(*object)) {
	value, found := o.take(field)
	if !found {
		return
	}
	inner, err := readObject(value)
	if err != nil {
		o.problem(field, err.Error())
		return
	}
	inner.prefix, inner.kind, inner.name = o.prefix+field+".", o.kind, o.name
	read(inner)
	inner.finish()
	o.problems = append(o.problems, inner.problems...)
}

func decoded[V any](o *object, field, problem string) (value V) {
	raw, found := o.take(field)
	if !found {
		return value
	}
	if err := json.Unmarshal(raw, &value); err != nil {
		o.problem(field, problem)
		var zero V
		return zero
	}
	return value
}
