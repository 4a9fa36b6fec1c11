package node

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/fleet/roster"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
	"lacewingrock.example/lacewingrock/internal/timing/pause"
)

// reports.go sends load reports: the requests that this instance has in flight at an upstream, sent to the holder of
// the upstream. It also receives such reports. If the loads were sent to all instances, they would be most of the
// traffic between instances. Instead the holder adds them up and sends the total.

const (
	// reportBatchDelay collects requests that start or end within a few milliseconds into one report.
	reportBatchDelay = 8 * time.Millisecond
	// reportTimeout bounds one report.
	reportTimeout = 400 * time.Millisecond
	// reportRefreshInterval is how often requests that are still in flight are reported again. A report may be lost,
	// and a holder discards the reports of an instance that has become silent.
	reportRefreshInterval = time.Second
)

// reports runs one goroutine for each holder that has a report due.
type reports struct {
	mutex   sync.Mutex
	senders map[string]*reportSender
	// doubted are the lives that the next report to each holder names, see doubt.
	doubted map[string][]traffic.Life
	// answeredAt is when each holder last answered a report or a request, and when a report was last scheduled in want of that.
	answeredAt map[string]time.Time
	// unsent are the holders to which a report failed that is to be repeated even if nothing is in flight any more.
	unsent map[string]bool
}

// recordAnswer records that a holder has answered.
func (r *reports) recordAnswer(holder string, at time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.answeredAt == nil {
		r.answeredAt = make(map[string]time.Time)
	}
	r.answeredAt[holder] = at
}

// dropAnswers drops answers that are too old to matter.
func (r *reports) dropAnswers(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	maps.DeleteFunc(r.answeredAt, func(_ string, at time.Time) bool { return now.Sub(at) >= linkCheckInterval })
}

// isUnanswered reports whether a holder has answered nothing for linkCheckInterval. The caller then schedules a report, one for all
// that wait for that holder.
func (r *reports) isUnanswered(holder string, now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if now.Sub(r.answeredAt[holder]) < linkCheckInterval {
		return false
	}
	if r.answeredAt == nil {
		r.answeredAt = make(map[string]time.Time)
	}
	r.answeredAt[holder] = now
	return true
}

// addDoubted adds a life to the next report to a holder.
func (r *reports) addDoubted(holder string, lives ...traffic.Life) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.doubted == nil {
		r.doubted = make(map[string][]traffic.Life)
	}
	for _, life := range lives {
		if !slices.Contains(r.doubted[holder], life) {
			r.doubted[holder] = append(r.doubted[holder], life)
		}
	}
}

// holdersOfDoubted returns the holders whose next report names a life.
func (r *reports) holdersOfDoubted() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Collect(maps.Keys(r.doubted))
}

func (r *reports) takeDoubted(holder string) []traffic.Life {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	lives := r.doubted[holder]
	delete(r.doubted, holder)
	return lives
}

// reportSender sends the reports that are due to one holder.
type reportSender struct {
	node   *Node
	holder string
	// pending: the load has changed since the last report was built.
	pending bool
}

// scheduleReport schedules a report to a holder.
func (n *Node) scheduleReport(holder string) {
	n.reports.mutex.Lock()
	defer n.reports.mutex.Unlock()
	if sender := n.reports.senders[holder]; sender != nil {
		sender.pending = true
		return
	}
	if n.reports.senders == nil {
		n.reports.senders = make(map[string]*reportSender)
	}
	sender := &reportSender{node: n, holder: holder, pending: true}
	n.reports.senders[holder] = sender
	go sender.run()
}

// run sends reports until no change is pending.
func (r *reportSender) run() {
	for r.isDue() {
		time.Sleep(reportBatchDelay)
		r.clearPending()
		r.send()
	}
}

// isDue reports whether another report is due, and removes the sender if not.
func (r *reportSender) isDue() bool {
	r.node.reports.mutex.Lock()
	defer r.node.reports.mutex.Unlock()
	if !r.pending {
		delete(r.node.reports.senders, r.holder)
	}
	return r.pending
}

// clearPending marks all changes so far as included in the report that is built next.
func (r *reportSender) clearPending() {
	r.node.reports.mutex.Lock()
	defer r.node.reports.mutex.Unlock()
	r.pending = false
}

func (r *reportSender) send() {
	n := r.node
	doubted := n.reports.takeDoubted(r.holder)
	n.view.mutex.Lock()
	instance, found := n.view.roster.Instance(r.holder)
	n.view.mutex.Unlock()
	if !found {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	report := n.loadReport(r.holder)
	report.Doubted = doubted
	held, err := n.peers.Report(ctx, instance.Address, report)
	if err != nil {
		n.reports.addDoubted(r.holder, doubted...)
		n.restoreUnreportedPaces(report)
		n.reports.addUnsent(r.holder, report)
		n.Log.Debug().Err(err).Str("Holder", r.holder).Msg("ReportFailed")
		return
	}
	n.reports.recordAnswer(r.holder, time.Now())
	n.applyHeldReport(held)
}

// loadReport returns the load in flight at the upstreams of a holder.
func (n *Node) loadReport(holder string) mesh.LoadReport {
	holders := n.view.liveHolders()
	report := mesh.LoadReport{Instance: n.self.Name}
	n.sharedState.WithLock(func(state *serve.SharedState) {
		selected := func(upstream string) bool { return holders[upstream] == holder }
		report.Loads = state.Pool.Report(selected)
		report.Memory = state.Pool.MemoryStatement(time.Now(), selected)
		report.Limits = state.Pool.Limits(time.Now(), selected)
		report.Paces = state.Pool.UnreportedPaces(time.Now(), selected)
	})
	return report
}

// applyHeldReport applies the response of a holder.
func (n *Node) applyHeldReport(held mesh.HeldReport) {
	now := time.Now()
	n.recordResidencies(now, held.Residencies)
	n.sharedState.WithLock(func(state *serve.SharedState) {
		for id, load := range held.Loads {
			state.Pool.RecordHolderLoad(now, id, load)
		}
		state.Pool.MergeLimits(now, held.Limits)
		state.Pool.MergePaces(now, held.Paces)
	})
}

// recordResidencies records what holders report of their upstreams, and the ends of lives that it shows.
func (n *Node) recordResidencies(now time.Time, residencies []pool.Residency) {
	var ended []traffic.Life
	n.sharedState.WithLock(func(state *serve.SharedState) {
		for _, residency := range residencies {
			if life := state.Pool.RecordResidency(now, residency); life != (traffic.Life{}) {
				ended = append(ended, life)
			}
		}
	})
	for _, life := range ended {
		n.recordEnd(life, signReplaced)
	}
}

// Report receives the load that another instance has in flight at the upstreams that this one holds.
func (n *Node) Report(report mesh.LoadReport) (held mesh.HeldReport) {
	now := time.Now()
	n.overlay.recordContact(report.Instance, now)
	for _, life := range report.Doubted {
		if upstream := n.heldUpstreams.get(life.Upstream); upstream != nil {
			upstream.doubt(life)
		}
	}
	held = mesh.HeldReport{Residencies: n.heldUpstreams.residencies(now), Loads: make(map[string]pool.Load)}
	ids := n.heldUpstreams.ids()
	n.sharedState.WithLock(func(state *serve.SharedState) {
		state.Pool.RecordPeerReport(now, report.Instance, report.Loads)
		state.Pool.RecordMemoryReport(now, report.Instance, report.Memory, report.Loads)
		state.Pool.MergeLimits(now, report.Limits)
		held.Limits = state.Pool.Limits(now, func(upstream string) bool { return ids[upstream] })
		state.Pool.RecordPeerPaces(now, report.Instance, report.Paces)
		held.Paces = state.Pool.HeldPaces(now, namedIn(report))
		for _, residency := range held.Residencies {
			held.Loads[residency.Upstream] = state.Pool.TotalExcluding(now, residency.Upstream, report.Instance)
		}
	})
	n.heldUpstreams.wakeWaiting()
	return held
}

// runReports periodically reports the requests that are still in flight.
func (n *Node) runReports(ctx context.Context) error {
	for pause.For(ctx, reportRefreshInterval) {
		n.refreshReports()
	}
	return nil
}

func (n *Node) refreshReports() {
	n.reports.dropAnswers(time.Now())
	holders := n.view.liveHolders()
	var loads map[string]pool.Load
	n.sharedState.WithLock(func(state *serve.SharedState) {
		loads = state.Pool.OwnLoads(func(upstream string) bool { return holders[upstream] != "" })
	})
	for _, holder := range n.reports.takeUnsent() {
		n.scheduleReport(holder)
	}
	for _, holder := range n.reports.holdersOfDoubted() { // the last report failed
		n.scheduleReport(holder)
	}
	for upstream := range loads {
		if holder := holders[upstream]; holder != n.self.Name {
			n.scheduleReport(holder)
		}
	}
}

// reportToNewHolder immediately reports the load in flight at an upstream to the instance that has just become its
// holder. The store view is locked. Without the report the new holder would treat adapters in use as idle and evict
// them.
func (n *Node) reportToNewHolder(key string) {
	upstream, found := roster.UpstreamOfHolderKey(key)
	holder, held := n.view.roster.Holder(upstream)
	if !found || !held || holder.Instance == n.self.Name {
		return
	}
	inFlight := false
	n.sharedState.WithLock(func(state *serve.SharedState) {
		state.Pool.RecordNewHolder(time.Now(), upstream)
		declared, _ := state.Pool.Upstream(upstream)
		inFlight = state.Pool.HasOwnLoad(upstream) || state.Pool.IsMemoryBounded(declared.Service)
	})
	if inFlight {
		n.scheduleReport(holder.Instance)
	}
}
