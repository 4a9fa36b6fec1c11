package resource_test

import (
	"testing"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/catalog/resource"
)

func TestWithVersionKeepsEveryKind(t *testing.T) {
	cases := []resource.Resource{
		resource.BaseModel{},
		resource.Workspace{},
		resource.Key{},
		resource.Adapter{},
		resource.AdapterVersion{},
		resource.Upstream{},
		resource.Service{},
	}
	for _, c := range cases {
		t.Run(string(c.ID().Kind), func(t *testing.T) {
			is := is.New(t)
			changed := resource.WithVersion(c, 7)
			is.Equal(changed.ID(), c.ID())
			is.Equal(changed.ResourceVersion(), int64(7))
		})
	}
}
