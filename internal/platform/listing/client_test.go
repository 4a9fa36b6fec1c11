package listing_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/platform/listing"
)

func TestMembers(t *testing.T) {
	cases := []struct {
		name    string
		status  int
		body    string
		members []listing.Member
		err     error
	}{
		{
			"two roles, one unknown", 200,
			`[{"Name":"e","Role":"engine","Address":"10.0.0.1:1","DataCentre":"south","Leaving":true},{"Name":"x","Role":"printer"}]`,
			[]listing.Member{{Name: "e", Role: listing.RoleEngine, Address: "10.0.0.1:1", DataCentre: "south", Leaving: true}},
			nil,
		},
		{"empty", 200, `[]`, []listing.Member{}, nil},
		{"down", 503, ``, nil, listing.ErrUnavailable},
		{"not a list", 200, `{}`, nil, listing.ErrUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			defer server.Close()
			list := &listing.Client{Address: strings.TrimPrefix(server.URL, "http://")}
			members, err := list.Members(t.Context())
			is.True(errors.Is(err, c.err))
			is.Equal(members, c.members)
		})
	}
}
