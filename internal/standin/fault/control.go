package fault

// The control routes of a stand-in. They are served at an address of their own, so that a stand-in
// whose work address is out, silent or full can still be asked and told.

import (
	"encoding/json"
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

// Control offers GET and POST /control/faults and GET /control/record. A POST names only the faults
// it changes; an unknown name is refused, so that a misspelt fault does not pass for a set one.
// Applied, if not nil, is called with the faults after each change.
type Control[T any] struct {
	Faults   *Setting[T]
	Record   func() any
	OnChange func(T)
}

// Routes returns the control routes, to which a stand-in may add its own.
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

// Decode reads a JSON body, refusing unknown names.
func Decode(request *http.Request, into any) (err error) {
	defer func() { err = errors.WithMessage(err, "body") }()
	decoder := json.NewDecoder(request.Body)
	decoder.DisallowUnknownFields()
	return decoder.Decode(into)
}

// NewRouter returns an echo router that prints nothing.
func NewRouter() *echo.Echo {
	routes := echo.New()
	routes.HideBanner = true
	routes.HidePort = true
	return routes
}
