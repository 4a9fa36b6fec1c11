// Changes of resources: applying files, removing resources, granting and withdrawing keys.

package api

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"lacewingrock.example/lacewingrock/internal/catalog/codec"
	"lacewingrock.example/lacewingrock/internal/catalog/configuration"
	"lacewingrock.example/lacewingrock/internal/catalog/resource"
	"lacewingrock.example/lacewingrock/internal/operator/message"
)

const (
	// secretBytes is the length of a key's secret. 256 bits cannot be guessed.
	secretBytes = 32
	// secretPrefix makes a leaked secret recognisable, for example in a file.
	secretPrefix = "lwr-"
)

// decision computes a change from the newest configuration.
type decision func(c configuration.Configuration) (configuration.Change, error)

func (s *Server) apply(c echo.Context) error {
	body, err := bodyOf(c)
	if err != nil {
		return err
	}
	change, err := codec.DecodeFile(body)
	if err != nil {
		return err
	}
	decide := func(configuration.Configuration) (configuration.Change, error) { return change, nil }
	accepted, err := s.commit(c, decide, idsOf(change))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, accepted)
}

func (s *Server) remove(c echo.Context) error {
	id, err := idOf(c)
	if err != nil {
		return err
	}
	expected := configuration.AnyVersion
	if text := c.QueryParam("version"); text != "" {
		expected, err = strconv.ParseInt(text, 10, 64)
		if err != nil || expected < 1 {
			return invalid("version must be a resource version")
		}
	}
	accepted, err := s.commit(c, func(current configuration.Configuration) (configuration.Change, error) {
		if _, found := current.Resource(id); !found {
			return nil, notFound("no " + id.String())
		}
		return configuration.Change{configuration.Remove{ID: id, Expected: expected}}, nil
	}, []resource.ID{id})
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, accepted)
}

// grant creates a key. The secret is generated and hashed here and sent once. If the response is lost,
// nobody can use the key, and the operator withdraws it by name.
func (s *Server) grant(c echo.Context) error {
	body, err := bodyOf(c)
	if err != nil {
		return err
	}
	var request message.Grant
	if err := json.Unmarshal(body, &request); err != nil {
		return invalid("the body must be {\"Workspace\": ..., \"Name\": ...}")
	}
	secret := newSecret()
	key := resource.Key{
		Meta: resource.Meta{Name: request.Name}, Workspace: request.Workspace, Hash: hashOf(secret),
	}
	accepted, err := s.commit(c, func(configuration.Configuration) (configuration.Change, error) {
		return configuration.Change{configuration.Declare{Resource: key, Expected: configuration.MustBeNew}}, nil
	}, []resource.ID{key.ID()})
	if err != nil {
		return err
	}
	c.Response().Header().Set("Cache-Control", "no-store")
	return c.JSON(http.StatusOK, message.Granted{
		Accepted: accepted, Name: request.Name, Workspace: request.Workspace, Secret: secret,
	})
}

func (s *Server) withdraw(c echo.Context) error {
	id := resource.ID{Kind: resource.KindKey, Name: c.Param("name")}
	accepted, err := s.commit(c, func(current configuration.Configuration) (configuration.Change, error) {
		key, found := current.Key(id.Name)
		if !found {
			return nil, notFound("no " + id.String())
		}
		withdrawn := key.WithWithdrawn(true)
		return configuration.Change{configuration.Declare{Resource: withdrawn, Expected: key.Meta.Version}}, nil
	}, []resource.ID{id})
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, accepted)
}

func newSecret() string {
	secret := make([]byte, secretBytes)
	_, _ = rand.Read(secret) // it never returns an error: on failure the runtime ends the process
	return secretPrefix + base64.RawURLEncoding.EncodeToString(secret)
}

// ---------------------------------------------------------------------------------------------

// commit makes a change. With a parameter such as wait=5s, it then waits until the change is in force on
// every instance.
func (s *Server) commit(c echo.Context, decide decision, ids []resource.ID) (accepted message.Accepted, err error) {
	wait, err := waitOf(c, 0)
	if err != nil {
		return message.Accepted{}, err
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), commitTimeout)
	defer cancel()
	var before []int64
	revision, err := s.Configurations.Apply(ctx, func(
		current configuration.Configuration,
	) (configuration.Change, error) {
		before = versionsIn(current, ids)
		return decide(current)
	})
	if err != nil {
		return message.Accepted{}, err
	}
	after := versionsIn(s.Configurations.Current().Configuration, ids)
	accepted = message.Accepted{Revision: revision, Resources: versionChanges(ids, before, after)}
	if wait > 0 {
		ctx, cancel := context.WithTimeout(c.Request().Context(), wait)
		defer cancel()
		accepted.InForce = s.Fleet.WaitInForce(ctx, revision) == nil
	}
	return accepted, nil
}

// versionsIn returns the resource version of each ID, 0 if it is not declared.
func versionsIn(c configuration.Configuration, ids []resource.ID) []int64 {
	versions := make([]int64, len(ids))
	for i, id := range ids {
		if r, found := c.Resource(id); found {
			versions[i] = r.ResourceVersion()
		}
	}
	return versions
}

// versionChanges lists the resource versions after a change, and whether the change made them.
func versionChanges(ids []resource.ID, before, after []int64) []message.Version {
	versions := make([]message.Version, len(ids))
	for i, id := range ids {
		versions[i] = message.Version{
			Kind: string(id.Kind), Name: id.Name, ResourceVersion: after[i],
			Changed: before[i] != after[i], Removed: after[i] == 0,
		}
	}
	return versions
}

func idsOf(change configuration.Change) []resource.ID {
	ids := make([]resource.ID, 0, len(change))
	for _, operation := range change {
		switch operation := operation.(type) {
		case configuration.Declare:
			ids = append(ids, operation.Resource.ID())
		case configuration.Remove:
			ids = append(ids, operation.ID)
		}
	}
	return ids
}

func bodyOf(c echo.Context) (body []byte, err error) {
	return io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxBody))
}

// waitOf parses the parameter wait, a duration such as 5s, and limits it to maxWait.
func waitOf(c echo.Context, absent time.Duration) (wait time.Duration, err error) {
	text := c.QueryParam("wait")
	if text == "" {
		return absent, nil
	}
	wait, err = time.ParseDuration(text)
	if err != nil || wait < 0 {
		return 0, invalid(`wait must be a duration such as "5s"`)
	}
	return min(wait, maxWait), nil
}
