package holding

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/catalog/head"
	"lacewingrock.example/lacewingrock/internal/entry/inbox"
	"lacewingrock.example/lacewingrock/internal/placement/broker"
	"lacewingrock.example/lacewingrock/internal/placement/holder"
	"lacewingrock.example/lacewingrock/internal/placement/model"
	"lacewingrock.example/lacewingrock/internal/timing/pause"
	"lacewingrock.example/lacewingrock/internal/upstream/engine"
)

// orders.go makes the calls that a holder decided on, each in its own goroutine, which sends the result to the loop as an
// event.

const (
	// reportInterval is how often an engine's report is fetched. After three failed reports an upstream is unhealthy,
	// which has to be detected within a few seconds. With a shorter interval, reports would take most of an instance's
	// budget for control traffic.
	reportInterval = time.Second
	// unhealthyAfter is the number of consecutive failed reports after which the upstream gets no new work. One or two
	// fail on a slow connection, but an upstream that is leaving has to be detected within seconds.
	unhealthyAfter = 3
	// retryInterval is the pause before a failed call is retried, or a member that has not installed the epoch is asked
	// again for its pins.
	retryInterval = 100 * time.Millisecond
	// reconcileInterval is how often pins are compared with the lists of their instances. Without the comparison, a lost
	// release would occupy a batch slot and an adapter slot permanently.
	reconcileInterval = 5 * time.Second
	// roleServing is the role that engines already have. Ordering it only makes them record the fence.
	roleServing = "serve"
)

// runReports polls the report of the engine.
func (r *Runner) runReports(u *heldUpstream) {
	incarnation := ""
	failed := 0
	for pause.For(u.context, reportInterval) {
		report, err := u.engine.Report(u.context)
		if err != nil {
			failed++
			if failed == unhealthyAfter {
				r.Log.Warn().Str("Upstream", u.name()).Err(err).Msg("UpstreamUnreachable")
				r.sendEvent(u, holder.UpstreamHealth{Healthy: false})
			}
			continue
		}
		if failed >= unhealthyAfter {
			r.Log.Info().Str("Upstream", u.name()).Msg("UpstreamReachable")
			r.sendEvent(u, holder.UpstreamHealth{Healthy: true})
		}
		failed = 0
		if incarnation != "" && incarnation != report.Incarnation {
			r.Log.Warn().Str("Upstream", u.name()).Msg("UpstreamRestarted")
			r.sendEvent(u, holder.UpstreamRestarted{Incarnation: report.Incarnation})
		}
		incarnation = report.Incarnation
		r.sendEvent(u, holder.Reported{
			Incarnation: report.Incarnation,
			Resident:    references(report.Resident),
			Running:     references(report.RunningModels),
			Age:         report.Age,
		})
	}
}

func references(texts []string) []model.Reference {
	list := make([]model.Reference, 0, len(texts))
	for _, text := range texts {
		if ref, ok := model.Parse(text); ok {
			list = append(list, ref)
		}
	}
	return list
}

// ---------------------------------------------------------------------------------------------
// Pins.

func (r *Runner) requestPins(u *heldUpstream, action holder.RequestPins) {
	for _, member := range r.assignment.Members {
		go r.runRequestPins(u, member, action.Epoch)
	}
}

// runRequestPins requests the pins of a member until the member has installed the epoch and responds. A member that has
// stopped is removed from the holder's list by the event InstanceStopped.
func (r *Runner) runRequestPins(u *heldUpstream, member head.Member, epoch int64) {
	for {
		list, err := r.Peers.Pins(u.context, member, u.name(), epoch)
		if err == nil && list.EpochInstalled && list.Incarnation == member.Incarnation {
			r.sendEvent(u, holder.PinsReported{Instance: member.Name, Epoch: epoch, Pins: list.Pins})
			return
		}
		if !pause.For(u.context, retryInterval) {
			return
		}
	}
}

// runReconcile releases pins that their instance no longer has.
func (r *Runner) runReconcile(u *heldUpstream) {
	before := map[string]bool{}
	for pause.For(u.context, reconcileInterval) {
		pins, ok := r.listPins(u)
		if !ok {
			return
		}
		now := map[string]bool{}
		for instance, known := range groupByInstance(pins) {
			r.reconcileInstance(u, instance, known, before)
		}
		for _, pin := range pins {
			now[pin.ID] = true
		}
		before = now
	}
}

// reconcileInstance compares pins with the list of their instance. It releases only pins that already existed in the
// previous round: the response that grants a newer one may still be in transit to the instance.
func (r *Runner) reconcileInstance(u *heldUpstream, instance string, pins []holder.Pin, before map[string]bool) {
	member, ok := r.member(u, instance)
	if !ok {
		return
	}
	list, err := r.Peers.Pins(u.context, member, u.name(), 0)
	if err != nil || list.Incarnation != pins[0].Incarnation {
		return
	}
	known := map[string]bool{}
	for _, pin := range list.Pins {
		known[pin.ID] = true
	}
	for _, pin := range pins {
		if before[pin.ID] && !known[pin.ID] {
			r.Log.Warn().Str("Upstream", u.name()).Str("Instance", instance).Msg("PinReleaseWasLost")
			r.sendEvent(u, holder.Released{Pin: pin.ID})
		}
	}
}

func (r *Runner) listPins(u *heldUpstream) ([]holder.Pin, bool) {
	response := make(chan []holder.Pin, 1)
	if !r.inbox.Send(u.context, listPinsMessage{held: u, response: response}) {
		return nil, false
	}
	return inbox.Await(u.context, r.inbox, response)
}

func groupByInstance(pins []holder.Pin) map[string][]holder.Pin {
	groups := map[string][]holder.Pin{}
	for _, pin := range pins {
		groups[pin.Instance] = append(groups[pin.Instance], pin)
	}
	return groups
}

// cancelStreams cancels the requests of a stopped instance at the engine, and only then has the holder remove their pins.
// The engine does not know that the instance has stopped: without the cancellation the requests would continue, and their
// adapter version could be evicted while they run.
func (r *Runner) cancelStreams(u *heldUpstream, instance, incarnation string) {
	var pins []holder.Pin
	for _, pin := range u.holder.Pins() {
		if pin.Instance == instance && pin.Incarnation == incarnation {
			pins = append(pins, pin)
		}
	}
	go r.runCancelStreams(u, pins, holder.InstanceStopped{Instance: instance, Incarnation: incarnation})
}

func (r *Runner) runCancelStreams(u *heldUpstream, pins []holder.Pin, event holder.InstanceStopped) {
	for _, pin := range pins {
		for u.engine.Cancel(u.context, pin.RequestID) != nil {
			if !pause.For(u.context, retryInterval) {
				return
			}
		}
	}
	r.sendEvent(u, event)
}

// ---------------------------------------------------------------------------------------------
// Loads.

func (r *Runner) runFence(u *heldUpstream, action holder.OrderFence) {
	if r.CheckFreshness() != nil {
		return
	}
	err := u.engine.SetRole(u.context, roleServing, action.Fence)
	if err == nil {
		r.sendEvent(u, holder.FenceNoted(action))
		return
	}
	r.Log.Warn().Str("Upstream", u.name()).Int64("Fence", action.Fence).Err(err).Msg("FenceNotNoted")
}

func (r *Runner) runPermit(u *heldUpstream, action holder.RequestPermit) {
	ctx, cancel := context.WithTimeout(u.context, action.Patience)
	defer cancel()
	permit, err := r.Peers.PermitLoad(ctx, broker.PermitRequested{
		Load:      broker.Load{Upstream: u.name(), Model: action.Model},
		Workspace: action.Workspace,
		Demand:    action.Demand,
		Waited:    action.Waited,
		Patience:  action.Patience,
	})
	switch {
	case err == nil && permit.Replaced:
		return // the newer request sends the result
	case err != nil:
		r.sendEvent(u, holder.PermitRefused{Model: action.Model, RetryAfter: retryInterval})
	case permit.Granted:
		r.sendEvent(u, holder.PermitGranted{Model: action.Model, UseWithin: permit.UseWithin})
	default:
		r.sendEvent(u, holder.PermitRefused{Model: action.Model, RetryAfter: permit.RetryAfter})
	}
}

// runEndLoad notifies the broker that a load has ended, or that its permit is returned unused. If the call fails, the
// permit expires.
func (r *Runner) runEndLoad(u *heldUpstream, ref model.Reference, unused bool) {
	err := r.Peers.EndLoad(u.context, broker.Load{Upstream: u.name(), Model: ref}, unused)
	if err != nil {
		r.Log.Debug().Str("Upstream", u.name()).Err(err).Msg("EndLoadFailed")
	}
}

func (r *Runner) runLoad(u *heldUpstream, action holder.OrderLoad) {
	ctx, cancel := context.WithTimeout(u.context, r.Settings.OrderTimeout)
	defer cancel()
	start := time.Now()
	evicted, err := r.load(ctx, u, action)
	r.runEndLoad(u, action.Load, false)
	event := r.Log.Info()
	if err != nil {
		event = r.Log.Warn().Err(err)
	}
	event.Str("Upstream", u.name()).Str("Load", action.Load.String()).Str("Evict", evictText(action.Evict)).
		Int64("Fence", action.Fence).Dur("Took", time.Since(start)).Msg("AdapterLoad")
	if err != nil {
		r.sendEvent(u, holder.LoadFailed{Load: action.Load, Evicted: evicted, Cause: causeOf(err)})
		return
	}
	r.sendEvent(u, holder.LoadDone{Load: action.Load})
}

// load unloads the adapter version to evict, if there is one, and then loads. It checks freshness immediately before each
// order: the process may have been paused, and another instance may be the holder by then.
func (r *Runner) load(ctx context.Context, u *heldUpstream, action holder.OrderLoad) (evicted bool, err error) {
	if !action.Evict.IsZero() {
		if err := r.CheckFreshness(); err != nil {
			return false, err
		}
		if err := u.engine.Unload(ctx, r.order(action.Evict, action.Fence)); err != nil {
			return errors.Is(err, engine.ErrOutcomeUnknown), err
		}
	}
	if err := r.CheckFreshness(); err != nil {
		return !action.Evict.IsZero(), err
	}
	return !action.Evict.IsZero(), u.engine.Load(ctx, r.order(action.Load, action.Fence))
}

func (r *Runner) order(ref model.Reference, fence int64) engine.Order {
	return engine.Order{Adapter: ref.Adapter, Version: ref.Version, Source: r.Source(ref), Fence: fence}
}

func causeOf(err error) holder.Cause {
	switch {
	case errors.Is(err, engine.ErrStaleFence):
		return holder.CauseStaleFence
	case errors.Is(err, engine.ErrNoSlot):
		return holder.CauseNoSlot
	case errors.Is(err, engine.ErrInUse):
		return holder.CauseInUse
	case errors.Is(err, engine.ErrLoadFailed):
		return holder.CauseWeightStore
	}
	return holder.CauseUpstream
}

func evictText(ref model.Reference) string {
	if ref.IsZero() {
		return "none"
	}
	return ref.String()
}
