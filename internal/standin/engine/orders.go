package engine

// Orders to load and unload adapter versions and to change role, checked against the fencing number
// or not.

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

// Outcomes of orders, which are also the codes of refused ones.
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

// order is the body of an order.
type order struct {
	Adapter string
	Version string
	Source  string
	Fence   int64
	Role    string
}

func (o order) model() string { return Model(o.Adapter, o.Version) }

func (s *Server) serveLoad(c echo.Context) error {
	var ordered order
	if err := fault.Decode(c.Request(), &ordered); err != nil {
		return refuse(c, http.StatusBadRequest, codeBadRequest, err.Error())
	}
	if wait := s.cold(time.Now()); wait > 0 {
		return refuseLater(c, codeStarting, wait)
	}
	started := time.Now()
	outcome := s.load(ordered)
	s.noteLoad(ordered, started, outcome)
	switch outcome {
	case orderStaleFence, orderNoSlot:
		return refuse(c, http.StatusConflict, outcome, "not loaded")
	case orderFailed:
		return refuse(c, http.StatusBadGateway, outcome, "the weight store failed")
	default:
		return c.JSON(http.StatusOK, struct{}{})
	}
}

func (s *Server) noteLoad(ordered order, started time.Time, outcome string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.note(line{Load: &Load{
		Adapter:   ordered.Adapter,
		Version:   ordered.Version,
		Fence:     ordered.Fence,
		StartedAt: started,
		EndedAt:   time.Now(),
		Outcome:   outcome,
	}})
}

// load carries out a load order to its end, also when whoever gave it went away.
func (s *Server) load(ordered order) string {
	taken, outcome := s.takeSlot(ordered)
	if outcome == orderJoined {
		<-taken.loaded
		if !s.serves(ordered.model()) {
			return orderFailed
		}
		return outcome
	}
	if taken == nil {
		return outcome
	}
	outcome = s.fetch(ordered)
	s.settleSlot(ordered, taken, outcome == orderDone)
	return outcome
}

// takeSlot checks the fence and reserves a slot; without one the outcome says why.
func (s *Server) takeSlot(ordered order) (taken *slot, outcome string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stale(ordered.Fence) {
		return nil, orderStaleFence
	}
	if held, ok := s.resident[ordered.model()]; ok {
		if held.loading {
			return held, orderJoined
		}
		return nil, orderResident
	}
	if s.faults.Update(func(f *Faults) bool { return fault.TakeOne(&f.LieAboutLoads) }) {
		return nil, orderLied
	}
	if len(s.resident) >= s.Slots {
		return nil, orderNoSlot
	}
	taken = &slot{loading: true, loaded: make(chan struct{})}
	s.resident[ordered.model()] = taken
	return taken, ""
}

func (s *Server) settleSlot(ordered order, taken *slot, loaded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken.loading = false
	close(taken.loaded)
	if !loaded {
		delete(s.resident, ordered.model())
		return
	}
	s.publish(event{Kind: "loaded", Adapter: ordered.Adapter, Version: ordered.Version})
}

func (s *Server) serves(model string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, ok := s.resident[model]
	return ok && !held.loading
}

// stale checks a fence and remembers the highest. An engine that ignores fencing takes any order.
func (s *Server) stale(fence int64) bool {
	if !s.CheckFencing {
		return false
	}
	if fence < s.highest {
		return true
	}
	s.highest = fence
	return false
}

// fetch reads the weights.
func (s *Server) fetch(ordered order) string {
	if s.faults.Update(func(f *Faults) bool { return fault.TakeOne(&f.FailLoads) }) {
		return orderFailed
	}
	if s.WeightsAddress == "" {
		time.Sleep(s.slowed(s.LoadTime))
		return orderDone
	}
	if s.fetchWeights(ordered) != nil {
		return orderFailed
	}
	return orderDone
}

func (s *Server) fetchWeights(ordered order) (err error) {
	defer func() { err = errors.WithMessage(err, "fetch weights") }()
	ctx, cancel := context.WithTimeout(context.Background(), loadLimit)
	defer cancel()
	address := "http://" + s.WeightsAddress + "/v1/weights/" +
		url.PathEscape(ordered.Adapter) + "/" + url.PathEscape(ordered.Version)
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
	var ordered order
	if err := fault.Decode(c.Request(), &ordered); err != nil {
		return refuse(c, http.StatusBadRequest, codeBadRequest, err.Error())
	}
	outcome := s.unload(ordered)
	switch outcome {
	case orderStaleFence, orderInUse:
		return refuse(c, http.StatusConflict, outcome, "not unloaded")
	default:
		return c.JSON(http.StatusOK, struct{}{})
	}
}

// unload evicts an adapter version. Requests that it serves are lost with it, which is the harm that
// the record exists to show.
func (s *Server) unload(ordered order) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	outcome, serving := s.checkUnload(ordered)
	s.note(line{Eviction: &Eviction{
		Adapter: ordered.Adapter,
		Version: ordered.Version,
		Fence:   ordered.Fence,
		At:      time.Now(),
		Serving: serving,
		Outcome: outcome,
	}})
	if outcome != orderDone {
		return outcome
	}
	delete(s.resident, ordered.model())
	for running := range s.running {
		if running.ask.model == ordered.model() {
			running.stop(OutcomeEvicted)
		}
	}
	s.publish(event{Kind: "evicted", Adapter: ordered.Adapter, Version: ordered.Version})
	return outcome
}

func (s *Server) checkUnload(ordered order) (outcome string, serving int) {
	if s.stale(ordered.Fence) {
		return orderStaleFence, 0
	}
	held, ok := s.resident[ordered.model()]
	if !ok {
		return orderNotResident, 0
	}
	if held.loading || (held.serving > 0 && s.ProtectInUse) {
		return orderInUse, held.serving
	}
	return orderDone, held.serving
}

func (s *Server) serveRole(c echo.Context) error {
	var ordered order
	if err := fault.Decode(c.Request(), &ordered); err != nil {
		return refuse(c, http.StatusBadRequest, codeBadRequest, err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stale(ordered.Fence) {
		return refuse(c, http.StatusConflict, orderStaleFence, "role not changed")
	}
	s.role = ordered.Role
	return c.JSON(http.StatusOK, struct{}{})
}
