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

// orders.go makes the calls that a holder decided on, each in a goroutine that ends by telling the
// loop what came of it.

const (
	// reportEvery is how often an engine is asked for its report. Three that fail make an upstream
	// unhealthy, which has to show within a few seconds; asked more often, reports would take most of
	// what an instance may spend on control.
	reportEvery = time.Second
	// unhealthyAfter is how many reports in a row may fail before the upstream gets no new work: one or
	// two are lost to a slow connection, and a leaving upstream has to be noticed within seconds.
	unhealthyAfter = 3
	// askAgain is the pause before a member that has not noted the epoch, or did not answer, is asked
	// again for its pins.
	askAgain = 100 * time.Millisecond
	// reconcileEvery is how often pins are compared with what their instances know. A release that was
	// lost would otherwise take a batch place and a slot away for good.
	reconcileEvery = 5 * time.Second
	// roleServing is the role that engines have already; ordering it only makes them note the fence.
	roleServing = "serve"
)

// runReports polls the engine's report.
func (r *Runner) runReports(u *heldUpstream) {
	incarnation := ""
	failed := 0
	for pause.For(u.context, reportEvery) {
		report, err := u.engine.Report(u.context)
		if err != nil {
			failed++
			if failed == unhealthyAfter {
				r.Log.Warn().Str("Upstream", u.name()).Err(err).Msg("UpstreamUnreachable")
				r.tell(u, holder.UpstreamHealth{Healthy: false})
			}
			continue
		}
		if failed >= unhealthyAfter {
			r.Log.Info().Str("Upstream", u.name()).Msg("UpstreamReachable")
			r.tell(u, holder.UpstreamHealth{Healthy: true})
		}
		failed = 0
		if incarnation != "" && incarnation != report.Incarnation {
			r.Log.Warn().Str("Upstream", u.name()).Msg("UpstreamRestarted")
			r.tell(u, holder.UpstreamRestarted{Incarnation: report.Incarnation})
		}
		incarnation = report.Incarnation
		r.tell(u, holder.Reported{
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

func (r *Runner) askPins(u *heldUpstream, action holder.RequestPins) {
	for _, member := range r.tenure.Members {
		go r.runAskPins(u, member, action.Epoch)
	}
}

// runAskPins asks one member until it has noted the epoch and told its pins. A member that has died is
// taken off the holder's list by InstanceGone.
func (r *Runner) runAskPins(u *heldUpstream, member head.Member, epoch int64) {
	for {
		list, err := r.Peers.Pins(u.context, member, u.name(), epoch)
		if err == nil && list.EpochInstalled && list.Incarnation == member.Incarnation {
			r.tell(u, holder.PinsReported{Instance: member.Name, Epoch: epoch, Pins: list.Pins})
			return
		}
		if !pause.For(u.context, askAgain) {
			return
		}
	}
}

// runReconcile releases pins that their instance does not know any more.
func (r *Runner) runReconcile(u *heldUpstream) {
	before := map[string]bool{}
	for pause.For(u.context, reconcileEvery) {
		pins, ok := r.list(u)
		if !ok {
			return
		}
		now := map[string]bool{}
		for instance, known := range byInstance(pins) {
			r.reconcileInstance(u, instance, known, before)
		}
		for _, pin := range pins {
			now[pin.ID] = true
		}
		before = now
	}
}

// reconcileInstance asks one instance. Only pins that were there a round before count: the answer with
// a younger one may still be on its way to the instance.
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
			r.tell(u, holder.Released{Pin: pin.ID})
		}
	}
}

func (r *Runner) list(u *heldUpstream) ([]holder.Pin, bool) {
	answer := make(chan []holder.Pin, 1)
	if !r.inbox.Send(u.context, listMessage{held: u, answer: answer}) {
		return nil, false
	}
	return inbox.Await(u.context, r.inbox, answer)
}

func byInstance(pins []holder.Pin) map[string][]holder.Pin {
	sorted := map[string][]holder.Pin{}
	for _, pin := range pins {
		sorted[pin.Instance] = append(sorted[pin.Instance], pin)
	}
	return sorted
}

// cancelStreams ends, at the engine, the requests of an instance that does nothing any more, and only
// then lets the holder forget their pins. The engine does not know that the instance has died: its
// requests would run on, and their adapter version could be evicted under them.
func (r *Runner) cancelStreams(u *heldUpstream, instance, incarnation string) {
	var pins []holder.Pin
	for _, pin := range u.holder.Pins() {
		if pin.Instance == instance && pin.Incarnation == incarnation {
			pins = append(pins, pin)
		}
	}
	go r.runCancelStreams(u, pins, holder.InstanceStopped{Instance: instance, Incarnation: incarnation})
}

func (r *Runner) runCancelStreams(u *heldUpstream, pins []holder.Pin, gone holder.InstanceStopped) {
	for _, pin := range pins {
		for u.engine.Cancel(u.context, pin.RequestID) != nil {
			if !pause.For(u.context, askAgain) {
				return
			}
		}
	}
	r.tell(u, gone)
}

// ---------------------------------------------------------------------------------------------
// Loads.

func (r *Runner) runFence(u *heldUpstream, action holder.OrderFence) {
	if r.CheckFreshness() != nil {
		return
	}
	err := u.engine.SetRole(u.context, roleServing, action.Fence)
	if err == nil {
		r.tell(u, holder.FenceNoted(action))
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
		return // the newer ask tells what came of it
	case err != nil:
		r.tell(u, holder.PermitRefused{Model: action.Model, RetryAfter: askAgain})
	case permit.Granted:
		r.tell(u, holder.PermitGranted{Model: action.Model, UseWithin: permit.UseWithin})
	default:
		r.tell(u, holder.PermitRefused{Model: action.Model, RetryAfter: permit.RetryAfter})
	}
}

// runEndLoad tells the broker that a load has ended, or that its permit is given back unused. When that
// is lost the permit lapses by itself.
func (r *Runner) runEndLoad(u *heldUpstream, ref model.Reference, unused bool) {
	err := r.Peers.EndLoad(u.context, broker.Load{Upstream: u.name(), Model: ref}, unused)
	if err != nil {
		r.Log.Debug().Str("Upstream", u.name()).Err(err).Msg("PermitNotReturned")
	}
}

func (r *Runner) runLoad(u *heldUpstream, action holder.OrderLoad) {
	ctx, cancel := context.WithTimeout(u.context, r.Settings.OrderTimeout)
	defer cancel()
	began := time.Now()
	evicted, err := r.load(ctx, u, action)
	r.runEndLoad(u, action.Load, false)
	event := r.Log.Info()
	if err != nil {
		event = r.Log.Warn().Err(err)
	}
	event.Str("Upstream", u.name()).Str("Load", action.Load.String()).Str("Evict", evictText(action.Evict)).
		Int64("Fence", action.Fence).Dur("Took", time.Since(began)).Msg("AdapterLoad")
	if err != nil {
		r.tell(u, holder.LoadFailed{Load: action.Load, Evicted: evicted, Cause: causeOf(err)})
		return
	}
	r.tell(u, holder.LoadDone{Load: action.Load})
}

// load unloads what has to make room and loads. An instance that was paused before the order asks for
// freshness at the last moment: by then another may be the holder.
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
