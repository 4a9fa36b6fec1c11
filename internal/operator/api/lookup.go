// Look-ups of resources in the configuration in force on this instance, and the watch.

package api

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"

	"github.com/labstack/echo/v4"

	"lacewingrock.example/lacewingrock/internal/catalog/codec"
	"lacewingrock.example/lacewingrock/internal/catalog/resource"
	"lacewingrock.example/lacewingrock/internal/operator/message"
)

func (s *Server) list(c echo.Context) error {
	kind, err := kindOf(c)
	if err != nil {
		return err
	}
	current := s.Configurations.Current()
	return s.writeResources(c, current.Head.Revision, current.Configuration.Resources(kind))
}

func (s *Server) get(c echo.Context) error {
	id, err := idOf(c)
	if err != nil {
		return err
	}
	current := s.Configurations.Current()
	r, found := current.Configuration.Resource(id)
	if !found {
		return notFound("no " + id.String())
	}
	return s.writeResources(c, current.Head.Revision, []resource.Resource{r})
}

func (s *Server) writeResources(c echo.Context, revision int64, resources []resource.Resource) error {
	response := message.Resources{Revision: revision, Resources: make([]json.RawMessage, len(resources))}
	for i, r := range resources {
		encoded, err := codec.EncodeResource(r)
		if err != nil {
			return err
		}
		response.Resources[i] = encoded
	}
	return c.JSON(http.StatusOK, response)
}

// watch waits until a revision above after is in force on this instance, or until the requested time has
// passed, and returns what changed. The operator's next call passes the returned revision as after.
func (s *Server) watch(c echo.Context) error {
	after, err := strconv.ParseInt(c.QueryParam("after"), 10, 64)
	if err != nil || after < 0 {
		return invalid("after must be a revision")
	}
	wait, err := waitOf(c, maxWait)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), wait)
	defer cancel()
	current, changed, complete := s.Configurations.ChangesAfter(ctx, after)
	response := message.Changes{Revision: current.Head.Revision, Complete: complete, Changes: []message.Version{}}
	for _, change := range changed {
		response.Changes = append(response.Changes, message.Version{
			Kind: string(change.ID.Kind), Name: change.ID.Name, ResourceVersion: change.Version,
			Changed: true, Removed: change.Removed,
		})
	}
	return c.JSON(http.StatusOK, response)
}

// ---------------------------------------------------------------------------------------------

func kindOf(c echo.Context) (kind resource.Kind, err error) {
	kind = resource.Kind(c.Param("kind"))
	if !slices.Contains(resource.Kinds(), kind) {
		return "", notFound("no such kind: " + string(kind))
	}
	return kind, nil
}

func idOf(c echo.Context) (id resource.ID, err error) {
	kind, err := kindOf(c)
	if err != nil {
		return resource.ID{}, err
	}
	return resource.ID{Kind: kind, Name: c.Param("name")}, nil
}
