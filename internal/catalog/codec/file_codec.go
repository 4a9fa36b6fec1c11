// The file of resources that an operator applies.

package codec

import (
	"encoding/json"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/catalog/configuration"
	"lacewingrock.example/lacewingrock/internal/catalog/resource"
)

// DecodeFile decodes a file of the form {"Resources": [...]} into the change it requests. A resource that
// states no ResourceVersion is declared without a version check. All problems in the file are reported
// together, as configuration.Problems.
func DecodeFile(data []byte) (change configuration.Change, err error) {
	items, err := fileItems(data)
	if err != nil {
		return nil, err
	}
	var problems configuration.Problems
	for _, item := range items {
		r, stated, err := DecodeResource(item)
		if err != nil {
			problems = append(problems, problemsOf(err)...)
			continue
		}
		expected := configuration.AnyVersion
		if stated {
			expected = r.ResourceVersion()
		}
		change = append(change, configuration.Declare{Resource: r, Expected: expected})
	}
	if len(problems) > 0 {
		return nil, problems
	}
	return change, nil
}

func fileItems(data []byte) (items []json.RawMessage, err error) {
	o, err := readObject(data)
	if err != nil {
		return nil, configuration.Problems{{Kind: "File", Problem: err.Error()}}
	}
	o.kind = "File"
	if _, found := o.fields["Resources"]; !found {
		o.addProblem("Resources", "is missing")
	}
	items = decodeField[[]json.RawMessage](o, "Resources", "must be a list of resources")
	o.reportUnknownFields()
	if len(o.problems) > 0 {
		return nil, configuration.Problems(o.problems)
	}
	return items, nil
}

func problemsOf(err error) configuration.Problems {
	var problems configuration.Problems
	if errors.As(err, &problems) {
		return problems
	}
	return configuration.Problems{{Kind: "File", Problem: err.Error()}}
}

// EncodeFile encodes resources as a file that can be applied again.
func EncodeFile(resources []resource.Resource) (data []byte, err error) {
	defer func() { err = errors.WithMessage(err, "encode resources") }()
	wire := struct{ Resources []any }{Resources: make([]any, len(resources))}
	for i, r := range resources {
		wire.Resources[i] = wireOf(r)
	}
	return json.Marshal(wire)
}
