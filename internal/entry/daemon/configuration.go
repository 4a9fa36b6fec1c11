package daemon

import (
	"context"
	"sync"
	"time"

	"lacewingrock.example/lacewingrock/internal/admission/rate"
	"lacewingrock.example/lacewingrock/internal/catalog/head"
	"lacewingrock.example/lacewingrock/internal/catalog/repository"
	"lacewingrock.example/lacewingrock/internal/catalog/resource"
	"lacewingrock.example/lacewingrock/internal/entry/holding"
	"lacewingrock.example/lacewingrock/internal/entry/pipeline"
	"lacewingrock.example/lacewingrock/internal/fleet/freshness"
	"lacewingrock.example/lacewingrock/internal/fleet/membership"
	"lacewingrock.example/lacewingrock/internal/timing/pause"
)

// configuration.go keeps the configuration current: it reads the head when freshness requires it, and installs each
// new snapshot in every component that uses it.

const (
	// readCheckInterval is how often runReads checks whether the store should be read.
	readCheckInterval = 100 * time.Millisecond
	// inForceCheckInterval is how often runInForce checks which revision is in force everywhere.
	inForceCheckInterval = 50 * time.Millisecond
)

// runReads reads the head whenever the tracker requires it.
func (d *Daemon) runReads(ctx context.Context) error {
	failing := false
	fresh := false
	for pause.For(ctx, readCheckInterval) {
		if basis := d.tracker.Basis(); basis.Fresh != fresh {
			fresh = basis.Fresh
			d.logFreshness(basis)
		}
		if !d.tracker.ShouldReadStore() {
			continue
		}
		startedAt := time.Now()
		snapshot, err := d.repository.Refresh(ctx)
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			d.logStoreReadable(err)
		}
		if err != nil {
			d.tracker.RecordReadFailure(startedAt)
			continue
		}
		d.tracker.RecordRead(startedAt, snapshot.Head.Revision)
	}
	return nil
}

func (d *Daemon) logFreshness(basis freshness.Basis) {
	d.Log.Info().Bool("Fresh", basis.Fresh).Int64("Revision", basis.Revision).Int64("Highest", basis.Highest).
		Int64("ReadMillis", basis.ReadAge.Milliseconds()).Int64("MajorityMillis", basis.MajorityAge.Milliseconds()).
		Msg("Freshness")
}

func (d *Daemon) logStoreReadable(err error) {
	if err != nil {
		d.Log.Warn().Err(err).Msg("StoreUnreadable")
		return
	}
	d.Log.Info().Msg("StoreReadable")
}

// runInstalls installs each new snapshot.
func (d *Daemon) runInstalls(ctx context.Context) error {
	snapshots, unsubscribe := d.repository.Subscribe()
	defer unsubscribe()
	var installed repository.Snapshot
	for {
		select {
		case <-ctx.Done():
			return nil
		case snapshot := <-snapshots:
			d.install(ctx, installed, snapshot)
			installed = snapshot
		}
	}
}

// install installs a snapshot in every component that uses it. The tracker comes last: from then on heartbeats report
// that the head is in force here, and the other members rely on this instance acting on no older one.
func (d *Daemon) install(ctx context.Context, previous, current repository.Snapshot) {
	d.ledger.Install(ledgerHead(d.self, current))
	d.pipeline.RunningRequests.CancelWithdrawn(current.Configuration)
	d.pipeline.Pins.Install(current.Head)
	d.pipeline.State.WithLock(func(a *pipeline.SharedState) {
		a.Router.SetUpstreams(current.Configuration.Upstreams())
	})
	d.holding.SetAssignment(ctx, d.tenure(previous, current))
	d.detector.handle(membership.HeadInstalled{Head: current.Head})
	d.departures.record(previous.Head, current.Head)
	d.leaving.dropNonMembers(current.Head)
	d.settlement.install(current.Head)
	d.peerRPC.CloseExcept(addresses(current.Head))
	// The read or swap that returned the head confirms it. Without this call, each change of the configuration would
	// cause refusals until the next read.
	d.tracker.RecordRead(current.ConfirmedAt, current.Head.Revision)
	d.tracker.Install(trackerHead(current.Head))
	d.Log.Info().Int64("Revision", current.Head.Revision).Int64("Epoch", current.Head.Epoch).
		Int("Members", len(current.Head.Members)).Msg("RevisionInForceHere")
	if d.isListed(current.Head) && !d.isListed(previous.Head) {
		// In a store outage members without this head would be stale, see freshness.Tracker.ShouldReadStore.
		d.requestHeartbeatsToAll()
	}
}

// isListed reports whether a head lists this process as a member.
func (d *Daemon) isListed(h head.Head) bool {
	member, found := h.Member(d.self.Name)
	return found && member.Incarnation == d.self.Incarnation
}

// tenure returns the upstreams that the head assigns to this instance. An upstream counts as continued if this
// instance certainly held it in the epoch directly before: the previous head assigned it too, and no epoch between
// the two heads was missed.
func (d *Daemon) tenure(previous, current repository.Snapshot) holding.Assignment {
	tenure := holding.Assignment{Epoch: current.Head.Epoch, Members: current.Head.Members, Continued: map[string]bool{}}
	noEpochMissed := current.Head.Epoch <= previous.Head.Revision+1
	for _, upstream := range current.Configuration.Upstreams() {
		if !d.holds(current.Head, upstream) {
			continue
		}
		tenure.Upstreams = append(tenure.Upstreams, upstream)
		tenure.Continued[upstream.Meta.Name] = noEpochMissed && d.holds(previous.Head, upstream)
	}
	return tenure
}

func (d *Daemon) holds(h head.Head, upstream resource.Upstream) bool {
	holder, found := membership.Holder(h, upstream.Meta.Name, upstream.DataCentre)
	return found && holder.Name == d.self.Name && holder.Incarnation == d.self.Incarnation
}

func ledgerHead(self head.Member, snapshot repository.Snapshot) rate.Head {
	h := rate.Head{Revision: snapshot.Head.Revision}
	for _, m := range snapshot.Head.Members {
		h.Members = append(h.Members, rate.Identity{Name: m.Name, Incarnation: m.Incarnation})
		if m.Name == self.Name && m.Incarnation == self.Incarnation {
			h.Since = m.Since
		}
	}
	for _, declared := range snapshot.Configuration.Resources(resource.KindWorkspace) {
		if workspace, ok := declared.(resource.Workspace); ok {
			h.Limits = append(h.Limits, rate.Limit{
				Workspace: workspace.Meta.Name,
				Rate:      workspace.Rate,
				Burst:     workspace.Burst,
			})
		}
	}
	return h
}

func trackerHead(h head.Head) freshness.Head {
	converted := freshness.Head{Revision: h.Revision, Epoch: h.Epoch}
	for _, m := range h.Members {
		converted.Members = append(converted.Members, trackerMember(m))
	}
	return converted
}

func addresses(h head.Head) map[string]bool {
	list := map[string]bool{}
	for _, m := range h.Members {
		list[m.Address] = true
	}
	return list
}

// ---------------------------------------------------------------------------------------------

// runInForce notifies the holders of the revision that is in force everywhere and of members that have certainly
// ended. It also ends the running requests once this instance has been stale for longer than the limit, since it
// could not confirm their keys for that time.
func (d *Daemon) runInForce(ctx context.Context) error {
	reported := int64(0)
	for pause.For(ctx, inForceCheckInterval) {
		if inForce := d.tracker.InForce(); inForce > reported {
			reported = inForce
			d.holding.SetInForce(ctx, inForce)
			for _, m := range d.departures.takeInForce(inForce) {
				d.holding.SetInstanceStopped(ctx, m.Name, m.Incarnation)
			}
		}
		d.settlement.record(d.identity(), d.settlement.oldestToReport(d.ledger.OldestRevision()))
		d.ledger.MarkSettled(d.settlement.settledRevision())
		if d.staleDuration() > d.Settings.Limits.StaleStream {
			d.pipeline.RunningRequests.CancelAll()
		}
	}
	return nil
}

// staleDuration returns for how long the configuration has been stale, and 0 during a planned stop: an instance that
// has left the fleet only lets its running requests end.
func (d *Daemon) staleDuration() time.Duration {
	if d.stopping.Load() || d.tracker.Fresh() == nil {
		return 0
	}
	_, until := d.tracker.FreshUntil()
	if until.IsZero() {
		return 0
	}
	return time.Since(until)
}

// departures holds the members that a head removed until that head is in force everywhere. Only then is it certain
// that they act no more.
type departures struct {
	mutex     sync.Mutex
	removedIn map[head.Member]int64
}

func (d *departures) record(previous, current head.Head) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.removedIn == nil {
		d.removedIn = map[head.Member]int64{}
	}
	for _, m := range previous.Members {
		if kept, found := current.Member(m.Name); !found || kept.Incarnation != m.Incarnation {
			d.removedIn[m] = current.Revision
		}
	}
}

func (d *departures) takeInForce(inForce int64) (ended []head.Member) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for m, revision := range d.removedIn {
		if revision <= inForce {
			ended = append(ended, m)
			delete(d.removedIn, m)
		}
	}
	return ended
}
