package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/catalog/head"
	"lacewingrock.example/lacewingrock/internal/fleet/membership"
	"lacewingrock.example/lacewingrock/internal/platform/listing"
	"lacewingrock.example/lacewingrock/internal/timing/pause"
)

// members.go changes who is a member: this instance joins, dead members are removed. Each change is one
// swap of the head, and waits until the one before it is in force everywhere.

const (
	// considerMembers is how often this instance looks whether it is a member and who has died.
	considerMembers = 200 * time.Millisecond
	// commitWithin bounds one change of members.
	commitWithin = 3 * time.Second
	// listEvery is how often the platform's list is read, and listReaders by how many members; the others
	// hear of it in heartbeats. Read by all, the list alone would cost each instance more at 330 instances
	// than it may spend on control, for it names every instance and upstream.
	listEvery   = time.Second
	listReaders = 3
	listDuty    = "list"
	// unlistedFor is how long a silent member must be missing from the platform's list before it counts
	// as ended. The list lags by seconds; a member that is only cut off from us is still on it.
	unlistedFor = 10 * time.Second
)

func (d *Daemon) runMembership(ctx context.Context) error {
	for pause.For(ctx, considerMembers) {
		if d.stopping.Load() || d.repository.Current().Head.Revision == 0 && !d.storeRead() {
			continue
		}
		d.join(ctx)
		for _, action := range d.detector.handle(membership.Tick{}) {
			if remove, ok := action.(membership.Remove); ok {
				d.remove(ctx, remove.Name, remove.Incarnation)
			}
		}
	}
	return nil
}

// storeRead tells whether the store was read at all: before that an empty head means nothing.
func (d *Daemon) storeRead() bool {
	return !d.repository.Current().ConfirmedAt.IsZero()
}

// join brings this process a step nearer to being a member. A member of the same name at this very
// address has certainly ended, since this process has its port.
func (d *Daemon) join(ctx context.Context) {
	current := d.repository.Current().Head
	listed, found := current.Member(d.self.Name)
	if found && listed.Incarnation == d.self.Incarnation {
		return
	}
	if found && listed.Address == d.self.Address {
		d.tracker.MarkEnded(trackerMember(listed))
	}
	d.changeMembers(ctx, "MemberJoins", func(h head.Head) (head.Head, error) {
		next, _, err := membership.Join(h, d.self, d.tracker.InForce())
		return next, err
	})
}

func (d *Daemon) remove(ctx context.Context, name, incarnation string) {
	d.Log.Warn().Str("Member", name).Msg("MemberSilent")
	d.changeMembers(ctx, "MemberRemoved", func(h head.Head) (head.Head, error) {
		next, _, err := membership.Expel(h, d.self.Name, name, incarnation, d.tracker.InForce())
		return next, err
	})
}

func (d *Daemon) changeMembers(ctx context.Context, event string, mutate func(head.Head) (head.Head, error)) {
	ctx, cancel := context.WithTimeout(ctx, commitWithin)
	defer cancel()
	revision, err := d.repository.CommitHead(ctx, mutate)
	var unsettled *membership.UnsettledError
	switch {
	case errors.As(err, &unsettled):
		d.Log.Debug().Err(err).Msg("MembersUnsettled")
	case err != nil:
		d.Log.Warn().Err(err).Msg("MembersNotChanged")
	default:
		d.Log.Info().Int64("Revision", revision).Msg(event)
	}
}

// ---------------------------------------------------------------------------------------------

// runListing reads the platform's list: who is leaving, and who is gone.
func (d *Daemon) runListing(ctx context.Context) error {
	missing := map[head.Member]time.Time{}
	for pause.For(ctx, listEvery) {
		if !d.readsList() {
			d.leaving.setOwn(nil)
			clear(missing)
			d.applyLeaving(ctx)
			continue
		}
		members, err := d.listing.Members(ctx)
		if err == nil {
			d.leaving.setOwn(leavingOn(members))
			d.noteMissing(ctx, members, missing)
		} else {
			d.scope.Counter("list_unreadable").Inc(1)
			clear(missing)
		}
		d.applyLeaving(ctx)
	}
	return nil
}

// readsList tells whether this instance reads the list. Besides the few members that have the duty, those
// do that are no members or hear somebody no more: the few may be just the ones that have died.
func (d *Daemon) readsList() bool {
	current := d.repository.Current().Head
	if membership.HasDuty(current, listDuty, d.self.Name, listReaders) {
		return true
	}
	if own, found := current.Member(d.self.Name); !found || own.Incarnation != d.self.Incarnation {
		return true
	}
	return slices.ContainsFunc(d.others(), func(m head.Member) bool {
		return !d.detector.heardWithin(m.Name, unlistedFor)
	})
}

// leavingOn lists who is leaving. Machines of plain services stand there by their address as well: that is
// what the configuration declares of them, and most members never read the list to know their names.
func leavingOn(members []listing.Member) (names []string) {
	for _, m := range members {
		if !m.Leaving {
			continue
		}
		names = append(names, m.Name)
		if m.Role == listing.RoleService {
			names = append(names, m.Address)
		}
	}
	return names
}

// noteMissing finds members that are neither on the list nor answer. Such a one counts as ended, which
// lets a fleet that was replaced whole go on: no majority of its old members will ever answer again.
func (d *Daemon) noteMissing(ctx context.Context, members []listing.Member, missing map[head.Member]time.Time) {
	listed := map[string]bool{}
	for _, m := range members {
		listed[m.Name] = true
	}
	var gone []head.Member
	for _, m := range d.others() {
		if listed[m.Name] || d.detector.heardWithin(m.Name, unlistedFor) || d.reachable(m) {
			delete(missing, m)
			continue
		}
		if _, found := missing[m]; !found {
			missing[m] = time.Now()
		}
		if time.Since(missing[m]) >= unlistedFor {
			d.tracker.MarkEnded(trackerMember(m))
			gone = append(gone, m)
		}
	}
	if len(gone) > 0 {
		d.remove(ctx, gone[0].Name, gone[0].Incarnation) // one at a time, as all changes of members
	}
}

// reachable tells whether a member answers now.
func (d *Daemon) reachable(m head.Member) bool {
	ctx, cancel := context.WithTimeout(context.Background(), beatWithin)
	defer cancel()
	answer, err := d.directory.Ping(ctx, m.Address, d.beat(ctx))
	return err == nil && answer.Incarnation == m.Incarnation
}
