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

// members.go changes the members of the fleet: this instance joins, failed members are removed. Each change is one
// swap of the head, and waits until the previous change is in force everywhere.

const (
	// membershipCheckInterval is how often this instance checks whether it is a member and which members have failed.
	membershipCheckInterval = 200 * time.Millisecond
	// commitTimeout bounds one change of members.
	commitTimeout = 3 * time.Second
	// listInterval is how often the platform's list is read, and listReaders the number of members that read it; the
	// others receive the names of leaving machines in heartbeats. The list names every instance and upstream: if all
	// members read it at 330 instances, the list alone would cost each instance more than it may spend on control.
	listInterval = time.Second
	listReaders  = 3
	listDuty     = "list"
	// unlistedTimeout is how long a member from which no heartbeat or reply arrives must be missing from the platform's
	// list before it counts as ended. The list lags by seconds. A member that is only partitioned from this instance is
	// still on it.
	unlistedTimeout = 10 * time.Second
)

func (d *Daemon) runMembership(ctx context.Context) error {
	for pause.For(ctx, membershipCheckInterval) {
		if d.stopping.Load() || d.repository.Current().Head.Revision == 0 && !d.hasReadStore() {
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

// hasReadStore reports whether the store has been read. Before that an empty head does not mean that there are no
// members.
func (d *Daemon) hasReadStore() bool {
	return !d.repository.Current().ConfirmedAt.IsZero()
}

// join makes one step towards making this process a member. A member of the same name at this same address has
// certainly ended, since this process is bound to its port.
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
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
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

// runListing reads the platform's list for machines that are leaving and members that have ended.
func (d *Daemon) runListing(ctx context.Context) error {
	unlistedSince := map[head.Member]time.Time{}
	for pause.For(ctx, listInterval) {
		if !d.readsList() {
			d.leaving.setOwn(nil)
			clear(unlistedSince)
			d.applyLeaving(ctx)
			continue
		}
		members, err := d.listing.Members(ctx)
		if err == nil {
			d.leaving.setOwn(listLeaving(members))
			d.removeUnlisted(ctx, members, unlistedSince)
		} else {
			d.scope.Counter("list_unreadable").Inc(1)
			clear(unlistedSince)
		}
		d.applyLeaving(ctx)
	}
	return nil
}

// readsList reports whether this instance reads the list. A few members have that duty. An instance also reads it
// while it is no member, or while it exchanges no heartbeats with some member: the few may be the very ones that have
// failed.
func (d *Daemon) readsList() bool {
	current := d.repository.Current().Head
	if membership.HasDuty(current, listDuty, d.self.Name, listReaders) {
		return true
	}
	if own, found := current.Member(d.self.Name); !found || own.Incarnation != d.self.Incarnation {
		return true
	}
	return slices.ContainsFunc(d.otherMembers(), func(m head.Member) bool {
		return !d.detector.answeredWithin(m.Name, unlistedTimeout)
	})
}

// listLeaving returns the names of the leaving machines. For machines of plain services it adds their addresses: the
// configuration declares only the address, and most members never read the list that has the name.
func listLeaving(members []listing.Member) (names []string) {
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

// removeUnlisted finds members that are not on the list and do not answer. Such a member counts as ended. Without
// that, a fleet whose instances were all replaced could not go on: a majority of its old members will never answer
// again.
func (d *Daemon) removeUnlisted(ctx context.Context, members []listing.Member, unlistedSince map[head.Member]time.Time) {
	listed := map[string]bool{}
	for _, m := range members {
		listed[m.Name] = true
	}
	var ended []head.Member
	for _, m := range d.otherMembers() {
		if listed[m.Name] || d.detector.answeredWithin(m.Name, unlistedTimeout) || d.answersHeartbeat(m) {
			delete(unlistedSince, m)
			continue
		}
		if _, found := unlistedSince[m]; !found {
			unlistedSince[m] = time.Now()
		}
		if time.Since(unlistedSince[m]) >= unlistedTimeout {
			d.tracker.MarkEnded(trackerMember(m))
			ended = append(ended, m)
		}
	}
	if len(ended) > 0 {
		d.remove(ctx, ended[0].Name, ended[0].Incarnation) // one at a time, like all changes of members
	}
}

// answersHeartbeat sends a heartbeat to a member and reports whether it answers.
func (d *Daemon) answersHeartbeat(m head.Member) bool {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	reply, err := d.peers.Ping(ctx, m.Address, d.newHeartbeat(ctx))
	return err == nil && reply.Incarnation == m.Incarnation
}
