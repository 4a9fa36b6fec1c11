package fault

// The control routes of a stand-in. They have a separate address, so that a stand-in whose service address
// is down, silent or full can still be inspected and controlled.

import (
	"encoding/json"
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

// Control serves GET and POST /control/faults and GET /control/record. A POST contains only the faults that
// it changes. An unknown name is refused, so that a misspelt fault is not ignored. OnChange, if not nil, is
// called with the faults after each change.
type Control[T any] struct {
	Faults   *Setting[T]
	Record   func() any
	OnChange func(T)
}

// Routes returns the control routes. A stand-in may add its own routes to them.
func (c *Control[T]) Routes() *echo.Echo {
	routes := NewRouter()
	routes.GET("/control/faults", func(call echo.Context) error {
		return call.JSON(http.StatusOK, c.Faults.Get())
	})
	routes.POST("/control/faults", c.set)
	routes.GET("/control/record", func(call echo.Context) error {
		return call.JSON(http.StatusOK, c.Record())
	})
	return routes
}

func (c *Control[T]) set(call echo.Context) error {
	var failure error
	c.Faults.Update(func(value *T) bool {
		changed := *value
		failure = Decode(call.Request(), &changed)
		if failure == nil {
			*value = changed
		}
		return true
	})
	if failure != nil {
		return call.String(http.StatusBadRequest, failure.Error()+"\n")
	}
	faults := c.Faults.Get()
	if c.OnChange != nil {
		c.OnChange(faults)
	}
	return call.JSON(http.StatusOK, faults)
}

// Decode decodes a JSON body. It refuses unknown field names.
func Decode(request *http.Request, into any) (err error) {
	defer func() { err = errors.WithMessage(err, "body") }()
	decoder := json.NewDecoder(request.Body)
	decoder.DisallowUnknownFields()
	return decoder.Decode(into)
}

// NewRouter returns an echo router that prints nothing at its start.
func NewRouter() *echo.Echo {
	routes := echo.New()
	routes.HideBanner = true
	routes.HidePort = true
	return routes
}
