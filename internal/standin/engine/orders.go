package engine

// Orders that load or unload an adapter version or set the role. With CheckFencing, an order with a
// stale fencing token is refused.

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/standin/fault"
)

// Outcomes of orders. Those of refused orders are also the error codes of the refusals.
const (
	orderDone        = "done"
	orderStaleFence  = "stale_fence"
	orderNoSlot      = "no_slot"
	orderInUse       = "in_use"
	orderFailed      = "failed"
	orderResident    = "resident"
	orderJoined      = "joined"
	orderLied        = "lied"
	orderNotResident = "not_resident"
)

// order is the JSON body of an order. Refusals of malformed bodies contain the name of this type, because
// they quote the error of the JSON decoder.
type order struct {
	Adapter string
	Version string
	Source  string
	Fence   int64
	Role    string
}

func (o order) model() string { return Model(o.Adapter, o.Version) }

func (s *Server) serveLoad(c echo.Context) error {
	var order order
	if err := fault.Decode(c.Request(), &order); err != nil {
		return refuse(c, http.StatusBadRequest, codeBadRequest, err.Error())
	}
	if wait := s.startupRemaining(time.Now()); wait > 0 {
		return refuseWithRetry(c, codeStarting, wait)
	}
	started := time.Now()
	outcome := s.load(order)
	s.recordLoad(order, started, outcome)
	switch outcome {
	case orderStaleFence, orderNoSlot:
		return refuse(c, http.StatusConflict, outcome, "not loaded")
	case orderFailed:
		return refuse(c, http.StatusBadGateway, outcome, "the weight store failed")
	default:
		return c.JSON(http.StatusOK, struct{}{})
	}
}

func (s *Server) recordLoad(order order, started time.Time, outcome string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendLine(journalLine{Load: &Load{
		Adapter:   order.Adapter,
		Version:   order.Version,
		Fence:     order.Fence,
		StartedAt: started,
		EndedAt:   time.Now(),
		Outcome:   outcome,
	}})
}

// load executes a load order. It runs to completion even if the client has disconnected.
func (s *Server) load(order order) string {
	reserved, outcome := s.reserveSlot(order)
	if outcome == orderJoined {
		<-reserved.loaded
		if !s.isLoaded(order.model()) {
			return orderFailed
		}
		return outcome
	}
	if reserved == nil {
		return outcome
	}
	outcome = s.fetch(order)
	s.finishLoad(order, reserved, outcome == orderDone)
	return outcome
}

// reserveSlot checks the fencing token and reserves an adapter slot. If it reserves none, the outcome
// gives the reason.
func (s *Server) reserveSlot(order order) (reserved *slot, outcome string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isStaleFence(order.Fence) {
		return nil, orderStaleFence
	}
	if existing, ok := s.resident[order.model()]; ok {
		if existing.loading {
			return existing, orderJoined
		}
		return nil, orderResident
	}
	if s.faults.Update(func(f *Faults) bool { return fault.TakeOne(&f.LieAboutLoads) }) {
		return nil, orderLied
	}
	if len(s.resident) >= s.Slots {
		return nil, orderNoSlot
	}
	reserved = &slot{loading: true, loaded: make(chan struct{})}
	s.resident[order.model()] = reserved
	return reserved, ""
}

func (s *Server) finishLoad(order order, reserved *slot, loaded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reserved.loading = false
	close(reserved.loaded)
	if !loaded {
		delete(s.resident, order.model())
		return
	}
	s.publish(event{Kind: "loaded", Adapter: order.Adapter, Version: order.Version})
}

func (s *Server) isLoaded(model string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	existing, ok := s.resident[model]
	return ok && !existing.loading
}

// isStaleFence reports whether a fencing token is below the highest seen, and otherwise stores it as the
// highest. Without CheckFencing, no token is stale.
func (s *Server) isStaleFence(fence int64) bool {
	if !s.CheckFencing {
		return false
	}
	if fence < s.highestFence {
		return true
	}
	s.highestFence = fence
	return false
}

// fetch loads the weights from the weight store, or waits for LoadTime if there is none.
func (s *Server) fetch(order order) string {
	if s.faults.Update(func(f *Faults) bool { return fault.TakeOne(&f.FailLoads) }) {
		return orderFailed
	}
	if s.WeightsAddress == "" {
		time.Sleep(s.applySlow(s.LoadTime))
		return orderDone
	}
	if s.fetchWeights(order) != nil {
		return orderFailed
	}
	return orderDone
}

func (s *Server) fetchWeights(order order) (err error) {
	defer func() { err = errors.WithMessage(err, "fetch weights") }()
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	address := "http://" + s.WeightsAddress + "/v1/weights/" +
		url.PathEscape(order.Adapter) + "/" + url.PathEscape(order.Version)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return err
	}
	answer, err := s.client.Do(request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", answer.StatusCode)
	}
	_, err = io.Copy(io.Discard, answer.Body)
	return err
}

// -----------------------------------------------------------------------------------------------

func (s *Server) serveUnload(c echo.Context) error {
	var order order
	if err := fault.Decode(c.Request(), &order); err != nil {
		return refuse(c, http.StatusBadRequest, codeBadRequest, err.Error())
	}
	outcome := s.unload(order)
	switch outcome {
	case orderStaleFence, orderInUse:
		return refuse(c, http.StatusConflict, outcome, "not unloaded")
	default:
		return c.JSON(http.StatusOK, struct{}{})
	}
}

// unload evicts an adapter version. Requests running on it are stopped. The record shows such evictions,
// because they must never happen.
func (s *Server) unload(order order) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	outcome, serving := s.checkUnload(order)
	s.appendLine(journalLine{Eviction: &Eviction{
		Adapter: order.Adapter,
		Version: order.Version,
		Fence:   order.Fence,
		At:      time.Now(),
		Serving: serving,
		Outcome: outcome,
	}})
	if outcome != orderDone {
		return outcome
	}
	delete(s.resident, order.model())
	for running := range s.running {
		if running.params.model == order.model() {
			running.stop(OutcomeEvicted)
		}
	}
	s.publish(event{Kind: "evicted", Adapter: order.Adapter, Version: order.Version})
	return outcome
}

func (s *Server) checkUnload(order order) (outcome string, serving int) {
	if s.isStaleFence(order.Fence) {
		return orderStaleFence, 0
	}
	existing, ok := s.resident[order.model()]
	if !ok {
		return orderNotResident, 0
	}
	if existing.loading || (existing.serving > 0 && s.ProtectInUse) {
		return orderInUse, existing.serving
	}
	return orderDone, existing.serving
}

func (s *Server) serveRole(c echo.Context) error {
	var order order
	if err := fault.Decode(c.Request(), &order); err != nil {
		return refuse(c, http.StatusBadRequest, codeBadRequest, err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isStaleFence(order.Fence) {
		return refuse(c, http.StatusConflict, orderStaleFence, "role not changed")
	}
	s.role = order.Role
	return c.JSON(http.StatusOK, struct{}{})
}
