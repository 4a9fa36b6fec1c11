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

// models lists what the caller's workspace may ask for.
func (s *Server) models(c echo.Context) error {
	models, err := s.Pipeline.Models(visitOf(c).identity)
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
	s.boundWrite(c)
	return c.JSON(http.StatusOK, wire)
}
