package api

import (
	"net/http"

	"github.com/labstack/echo/v4"
)

type wireModels struct {
	Object string      `json:"object"`
	Data   []wireModel `json:"data"`
}

type wireModel struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// models lists the models that the caller's workspace may request.
func (s *Server) models(c echo.Context) error {
	models, err := s.Pipeline.Models(stateOf(c).identity)
	if err != nil {
		return err
	}
	wire := wireModels{Object: "list", Data: make([]wireModel, 0, len(models))}
	for _, model := range models {
		wire.Data = append(wire.Data, wireModel{
			ID:      model.Name,
			Object:  "model",
			Created: model.Created.Unix(),
			OwnedBy: model.Owner,
		})
	}
	s.extendWriteDeadline(c)
	return c.JSON(http.StatusOK, wire)
}
