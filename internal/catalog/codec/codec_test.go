package codec_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/catalog/codec"
	"lacewingrock.example/lacewingrock/internal/catalog/configuration"
	"lacewingrock.example/lacewingrock/internal/catalog/head"
	"lacewingrock.example/lacewingrock/internal/catalog/resource"
)

// everyKind has one resource of each kind with no field left at its zero value.
var everyKind = []resource.Resource{
	resource.BaseModel{Meta: resource.Meta{Name: "base", Version: 1}},
	resource.Workspace{
		Meta: resource.Meta{Name: "lines", Version: 2}, Rate: 1.5, Burst: 20, Weight: 3,
		Objectives: resource.Objectives{Answered: 0.99, FirstToken: 0.95, FirstTokenWithin: 540 * time.Millisecond, Admitted: 1},
	},
	resource.Key{Meta: resource.Meta{Name: "night", Version: 3}, Workspace: "lines", Hash: strings.Repeat("a", 64), Withdrawn: true},
	resource.Adapter{Meta: resource.Meta{Name: "bids", Version: 4}, BaseModel: "base", Workspaces: []string{"lines"}, Current: "1"},
	resource.AdapterVersion{Meta: resource.Meta{Name: "bids@1", Version: 5}, Adapter: "bids", Version: "1", Source: "bids/1"},
	resource.Upstream{
		Meta: resource.Meta{Name: "engine", Version: 6}, Address: "10.0.0.1:80", DataCentre: "south", BaseModel: "base",
		Slots: 4, Batch: 8, ChecksFencing: true, Leaving: true,
	},
	resource.Service{
		Meta: resource.Meta{Name: "paint", Version: 7}, Addresses: []string{"10.0.0.2:80"},
		Workspaces: []string{"lines"}, Repeatable: []string{"GET"},
	},
}

func TestEveryKindComesBackAsItWas(t *testing.T) {
	is := is.New(t)
	is.Equal(len(everyKind), len(resource.Kinds()))
	for _, r := range everyKind {
		encoded, err := codec.EncodeResource(r)
		is.NoErr(err)
		decoded, stated, err := codec.DecodeResource(encoded)
		is.NoErr(err)
		is.True(stated)
		is.Equal(decoded, r)
	}
	part, err := codec.EncodePart(everyKind)
	is.NoErr(err)
	decoded, err := codec.DecodePart(part)
	is.NoErr(err)
	is.Equal(decoded, everyKind)
}

func TestHeadComesBackAsItWas(t *testing.T) {
	is := is.New(t)
	h := head.Head{}.WithPart(3, "hash").WithMember(head.Member{
		Name: "i", Incarnation: "1", Address: "10.0.0.1:1", DataCentre: "south",
	}).WithSwap("mark")
	for _, h := range []head.Head{{}, h} {
		encoded, err := codec.EncodeHead(h)
		is.NoErr(err)
		decoded, err := codec.DecodeHead(encoded)
		is.NoErr(err)
		is.True(decoded.Equal(h))
	}
	_, err := codec.DecodeHead([]byte(`{"Parts":[{}]}`))
	is.True(err != nil)

	pointer := head.Pointer{Revision: 7, Mark: h.LastSwapID(), Hash: "hash"}
	encoded, err := codec.EncodePointer(pointer)
	is.NoErr(err)
	decoded, err := codec.DecodePointer(encoded)
	is.NoErr(err)
	is.Equal(decoded, pointer)
}

func TestFilesThatAreWrong(t *testing.T) {
	const start = `{"Resources":[{"Kind":"Workspace","Name":"w"`
	cases := []struct {
		name     string
		file     string
		problems []string
	}{
		{"no JSON", `Rate = 1`, []string{"File/: is not valid JSON"}},
		{"cut off", start, []string{"File/: is not valid JSON"}},
		{"no object", `[]`, []string{"File/: must be a JSON object"}},
		{"something after", `{"Resources":[]}{}`, []string{"File/: has something after its end"}},
		{"no resources", `{"resources":[]}`, []string{"File/ Resources: is missing", "File/ resources: no such field"}},
		{"other case", start + `,"rate":1}]}`, []string{"Workspace/w rate: no such field"}},
		{"twice", start + `,"Rate":1,"Rate":2}]}`, []string{`Resource/: has the field "Rate" twice`}},
		{"wrong types", start + `,"Rate":"1","Objectives":{"FirstTokenWithin":540,"Admited":1}}]}`, []string{
			"Workspace/w Rate: must be a number",
			"Workspace/w Objectives.FirstTokenWithin: must be a text",
			"Workspace/w Objectives.Admited: no such field",
		}},
		{"duration without a unit", start + `,"Objectives":{"FirstTokenWithin":"540"}}]}`, []string{"Workspace/w Objectives.FirstTokenWithin: must be a duration"}},
		{"negative version", start + `,"ResourceVersion":-1}]}`, []string{"Workspace/w ResourceVersion: must be a whole number"}},
		{"part of a slot", `{"Resources":[{"Kind":"Upstream","Name":"e","Slots":1.5}]}`, []string{"Upstream/e Slots: must be a whole number"}},
		{"two resources", `{"Resources":[{"Kind":"Tenant","Name":"a"},{"Kind":"Key","Name":"b","Withdrawn":1}]}`, []string{
			"Tenant/a Kind: no such kind", "Key/b Withdrawn: must be true or false",
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := codec.DecodeFile([]byte(c.file))
			var problems configuration.Problems
			is.True(errors.As(err, &problems))
			is.Equal(len(problems), len(c.problems))
			for i, p := range problems {
				t.Log(p)
				is.True(strings.HasPrefix(p.String(), c.problems[i]))
			}
		})
	}
}

func TestVersionsInAFile(t *testing.T) {
	is := is.New(t)
	change, err := codec.DecodeFile([]byte(`{"Resources":[
		{"Kind":"BaseModel","Name":"a"},
		{"Kind":"BaseModel","Name":"b","ResourceVersion":0},
		{"Kind":"BaseModel","Name":"c","ResourceVersion":7}
	]}`))
	is.NoErr(err)
	wanted := []int64{configuration.AnyVersion, configuration.MustBeNew, 7}
	for i, operation := range change {
		declare, ok := operation.(configuration.Declare)
		is.True(ok)
		is.Equal(declare.Expected, wanted[i])
	}
}

// FuzzResourceFile: whatever an operator sends, it is refused with problems or taken, and what is taken
// comes back from the store as it was.
func FuzzResourceFile(f *testing.F) {
	file, err := codec.EncodeFile(everyKind)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(file)
	f.Add([]byte(`{"Resources":[{"Kind":"Workspace","Name":"w","Objectives":{"FirstTokenWithin":"1h"}}]}`))
	f.Add([]byte(`{"Resources":[{"Kind":"Adapter","Name":"\u0000","Workspaces":[null]}],"Resources":1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		change, err := codec.DecodeFile(data)
		if err != nil {
			var problems configuration.Problems
			if !errors.As(err, &problems) || len(problems) == 0 {
				t.Fatalf("refused without problems: %v", err)
			}
			return
		}
		accepted, err := configuration.Configuration{}.Apply(change, 1)
		if err != nil {
			return
		}
		for i := range head.PartCount {
			resources := accepted.Part(i)
			part, err := codec.EncodePart(resources)
			if err != nil {
				t.Fatal(err)
			}
			back, err := codec.DecodePart(part)
			if err != nil {
				t.Fatal(err)
			}
			again := configuration.Configuration{}.WithParts(map[int][]resource.Resource{i: back}, 1)
			single := configuration.Configuration{}.WithParts(map[int][]resource.Resource{i: resources}, 1)
			if len(again.DifferencesFrom(single)) > 0 {
				t.Fatalf("came back changed: %s", part)
			}
		}
	})
}
