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

// knowledge.go keeps what this instance knows of the configuration: it reads the head when freshness
// asks for it, and brings each new one to every part that goes by it.

const (
	// considerReading is how often freshness is asked whether the store should be read.
	considerReading = 100 * time.Millisecond
	// considerInForce is how often the duties learn that a revision has come into force everywhere.
	considerInForce = 50 * time.Millisecond
)

// runReads reads the head whenever freshness says so.
func (d *Daemon) runReads(ctx context.Context) error {
	failing := false
	fresh := false
	for pause.For(ctx, considerReading) {
		if grounds := d.tracker.Basis(); grounds.Fresh != fresh {
			fresh = grounds.Fresh
			d.logFreshness(grounds)
		}
		if !d.tracker.ShouldReadStore() {
			continue
		}
		began := time.Now()
		snapshot, err := d.repository.Refresh(ctx)
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			d.logReading(err)
		}
		if err != nil {
			d.tracker.RecordReadFailure(began)
			continue
		}
		d.tracker.RecordRead(began, snapshot.Head.Revision)
	}
	return nil
}

func (d *Daemon) logFreshness(grounds freshness.Basis) {
	d.Log.Info().Bool("Fresh", grounds.Fresh).Int64("Revision", grounds.Revision).Int64("Highest", grounds.Highest).
		Int64("ReadMillis", grounds.ReadAge.Milliseconds()).Int64("MajorityMillis", grounds.MajorityAge.Milliseconds()).
		Msg("Freshness")
}

func (d *Daemon) logReading(err error) {
	if err != nil {
		d.Log.Warn().Err(err).Msg("StoreUnreadable")
		return
	}
	d.Log.Info().Msg("StoreReadable")
}

// runInstalls takes in each new snapshot.
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

// install brings a snapshot to every part that goes by it. The tracker comes last: once it has the
// head, others are told that this instance goes by it, and rely on nothing older being acted on here.
func (d *Daemon) install(ctx context.Context, before, now repository.Snapshot) {
	d.ledger.Install(ledgerHead(d.self, now))
	d.pipeline.RunningRequests.CancelWithdrawn(now.Configuration)
	d.pipeline.Pins.Install(now.Head)
	d.pipeline.State.WithLock(func(a *pipeline.SharedState) {
		a.Router.SetUpstreams(now.Configuration.Upstreams())
	})
	d.holding.SetAssignment(ctx, d.tenure(before, now))
	d.detector.handle(membership.HeadInstalled{Head: now.Head})
	d.departures.note(before.Head, now.Head)
	d.leaving.keepMembers(now.Head)
	d.settlement.install(now.Head)
	d.directory.CloseExcept(addresses(now.Head))
	// The read or swap that brought the head confirms it; without this, each change of the configuration
	// would have callers refused until the next read.
	d.tracker.RecordRead(now.ConfirmedAt, now.Head.Revision)
	d.tracker.Install(trackerHead(now.Head))
	d.Log.Info().Int64("Revision", now.Head.Revision).Int64("Epoch", now.Head.Epoch).
		Int("Members", len(now.Head.Members)).Msg("RevisionInForceHere")
	if d.isListed(now.Head) && !d.isListed(before.Head) {
		d.tellAll() // a store outage would leave members without this head stale, see freshness.Tracker.ShouldReadStore
	}
}

// isListed reports whether this process is a member by a head.
func (d *Daemon) isListed(h head.Head) bool {
	member, found := h.Member(d.self.Name)
	return found && member.Incarnation == d.self.Incarnation
}

// tenure is what the head says about the upstreams this instance holds. An upstream was certainly held
// in the epoch directly before when the head before had it and no epoch was missed between the two.
func (d *Daemon) tenure(before, now repository.Snapshot) holding.Assignment {
	tenure := holding.Assignment{Epoch: now.Head.Epoch, Members: now.Head.Members, Continued: map[string]bool{}}
	missedNone := now.Head.Epoch <= before.Head.Revision+1
	for _, upstream := range now.Configuration.Upstreams() {
		if !d.holds(now.Head, upstream) {
			continue
		}
		tenure.Upstreams = append(tenure.Upstreams, upstream)
		tenure.Continued[upstream.Meta.Name] = missedNone && d.holds(before.Head, upstream)
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
	for _, one := range snapshot.Configuration.Resources(resource.KindWorkspace) {
		if workspace, ok := one.(resource.Workspace); ok {
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

// runInForce tells the holders which epoch is in force everywhere and which members are certainly
// gone, and ends the running requests when this instance could not confirm their keys for too long.
func (d *Daemon) runInForce(ctx context.Context) error {
	told := int64(0)
	for pause.For(ctx, considerInForce) {
		if inForce := d.tracker.InForce(); inForce > told {
			told = inForce
			d.holding.SetInForce(ctx, inForce)
			for _, m := range d.departures.settled(inForce) {
				d.holding.SetInstanceStopped(ctx, m.Name, m.Incarnation)
			}
		}
		d.settlement.tell(d.identity(), d.settlement.toTell(d.ledger.OldestRevision()))
		d.ledger.MarkSettled(d.settlement.revision())
		if d.staleFor() > d.Settings.Limits.StaleStream {
			d.pipeline.RunningRequests.CancelAll()
		}
	}
	return nil
}

// staleFor is for how long this instance could not use what it knows. An instance that has left the
// fleet in a planned stop only finishes what runs.
func (d *Daemon) staleFor() time.Duration {
	if d.stopping.Load() || d.tracker.Fresh() == nil {
		return 0
	}
	_, until := d.tracker.FreshUntil()
	if until.IsZero() {
		return 0
	}
	return time.Since(until)
}

// departures remembers the members that a head left out, until that head is in force everywhere: only
// then is it certain that they do nothing any more.
type departures struct {
	mutex sync.Mutex
	left  map[head.Member]int64
}

func (d *departures) note(before, now head.Head) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.left == nil {
		d.left = map[head.Member]int64{}
	}
	for _, m := range before.Members {
		if kept, found := now.Member(m.Name); !found || kept.Incarnation != m.Incarnation {
			d.left[m] = now.Revision
		}
	}
}

func (d *departures) settled(inForce int64) (gone []head.Member) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for m, revision := range d.left {
		if revision <= inForce {
			gone = append(gone, m)
			delete(d.left, m)
		}
	}
	return gone
}
