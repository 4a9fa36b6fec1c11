package daemon

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"lacewingrock.example/lacewingrock/internal/admission/rate"
	"lacewingrock.example/lacewingrock/internal/catalog/head"
	"lacewingrock.example/lacewingrock/internal/entry/pipeline"
	"lacewingrock.example/lacewingrock/internal/fleet/freshness"
	"lacewingrock.example/lacewingrock/internal/fleet/membership"
	"lacewingrock.example/lacewingrock/internal/fleet/peer"
	"lacewingrock.example/lacewingrock/internal/placement/holder"
	"lacewingrock.example/lacewingrock/internal/placement/route"
)

// heartbeats.go exchanges heartbeats with the other members. A heartbeat carries the installed revision and how long
// ago it was confirmed, summaries of upstreams, suspect requests, names of leaving machines, and loans that are
// returned.

const (
	// heartbeatInterval and minHeartbeatsPerRound bound the cost of heartbeats for an instance, independent of the
	// size of the fleet: four small calls a second. With eight instances each peer is sent a heartbeat within two
	// seconds, and sends one to this instance as well.
	heartbeatInterval     = 500 * time.Millisecond
	minHeartbeatsPerRound = 2
	// heartbeatTimeout bounds one heartbeat. What a slower peer reports is outdated when it arrives.
	heartbeatTimeout = time.Second
)

// runHeartbeats sends heartbeats to a few members each interval, to each in turn in a shuffled order, and to all of
// them at once when requestHeartbeatsToAll asks for that.
func (d *Daemon) runHeartbeats(ctx context.Context) error {
	var queue []head.Member
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.heartbeatAllNow:
			d.sendHeartbeats(ctx, d.otherMembers())
			continue
		case <-time.After(heartbeatInterval):
		}
		members := d.otherMembers()
		count := min(d.heartbeatsPerRound(len(members)), len(members))
		if len(queue) < count {
			queue = shuffled(members)
		}
		d.sendHeartbeats(ctx, queue[:count])
		queue = queue[count:]
		d.updateOwnSummaries(ctx)
	}
}

// requestHeartbeatsToAll has heartbeats sent to all members at once. It does not block.
func (d *Daemon) requestHeartbeatsToAll() {
	select {
	case d.heartbeatAllNow <- struct{}{}:
	default: // already requested and not started
	}
}

func (d *Daemon) sendHeartbeats(ctx context.Context, members []head.Member) {
	for _, member := range members {
		if d.inFlightHeartbeats.begin(member.Address) {
			go d.sendHeartbeat(ctx, member)
		}
	}
}

// heartbeatsPerRound returns how many members are sent a heartbeat in each interval. While no recent read of the
// store confirms the revision, it returns more, since a majority then has to answer within the freshness bound.
func (d *Daemon) heartbeatsPerRound(peerCount int) int {
	_, age := d.tracker.Confirmed()
	bound := d.Settings.Freshness.Bound
	if age >= 0 && age < bound*3/5 {
		return minHeartbeatsPerRound
	}
	rounds := float64(bound/2) / float64(heartbeatInterval)
	return max(minHeartbeatsPerRound, int(math.Ceil(float64(peerCount)/max(rounds, 1))))
}

func shuffled(members []head.Member) []head.Member {
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members
}

func (d *Daemon) otherMembers() []head.Member {
	var list []head.Member
	for _, m := range d.repository.Current().Head.Members {
		if m.Name != d.self.Name {
			list = append(list, m)
		}
	}
	return list
}

// sendHeartbeat sends a heartbeat to one member and applies the reply.
func (d *Daemon) sendHeartbeat(ctx context.Context, member head.Member) {
	defer d.inFlightHeartbeats.end(member.Address)
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	lender := rate.Identity{Name: member.Name, Incarnation: member.Incarnation}
	heartbeat := d.newHeartbeat(ctx)
	heartbeat.Returns = d.ledger.PendingReturns(lender)
	sentAt := time.Now()
	reply, err := d.peers.Ping(ctx, member.Address, heartbeat)
	if err != nil {
		d.scope.Counter("heartbeats_failed").Inc(1)
		d.Log.Info().Err(err).Str("Peer", member.Name).Int64("TookMillis", time.Since(sentAt).Milliseconds()).
			Msg("HeartbeatFailed")
		return
	}
	if reply.Incarnation == member.Incarnation {
		d.ledger.AcknowledgeReturns(lender, heartbeat.Returns)
	}
	d.tracker.RecordReply(freshness.Reply{
		Member:       freshness.Member{Name: reply.Instance, Incarnation: reply.Incarnation},
		SentAt:       sentAt,
		Revision:     reply.Revision,
		ConfirmedAge: reply.ConfirmedAge,
	})
	d.applyHeartbeat(sentAt, reply)
}

// applyHeartbeat applies the parts of a heartbeat that are valid whether it is a request or a reply. A confirmation
// of the revision is not among them: that needs the time at which this instance sent its own heartbeat.
func (d *Daemon) applyHeartbeat(sampledAt time.Time, heartbeat peer.Heartbeat) {
	d.tracker.MergeReportBitmap(heartbeat.Revision, heartbeat.InForceMembers)
	d.detector.handle(membership.HeartbeatAnswered{Name: heartbeat.Instance, Incarnation: heartbeat.Incarnation})
	d.settlement.record(rate.Identity{Name: heartbeat.Instance, Incarnation: heartbeat.Incarnation}, heartbeat.OldestRevision)
	if _, member := d.repository.Current().Head.Member(heartbeat.Instance); member {
		d.leaving.set(heartbeat.Instance, heartbeat.Leaving)
	}
	now := time.Now()
	d.pipeline.State.WithLock(func(state *pipeline.SharedState) {
		for _, summary := range heartbeat.Upstreams {
			state.Router.UpdateSummary(now, routeSummary(summary, sampledAt))
		}
		state.Suspects.Merge(now, heartbeat.Suspects)
	})
}

// updateOwnSummaries updates the router with the upstreams that this instance holds.
func (d *Daemon) updateOwnSummaries(ctx context.Context) {
	now := time.Now()
	summaries := d.holding.Summaries(ctx)
	d.pipeline.State.WithLock(func(state *pipeline.SharedState) {
		for _, summary := range summaries {
			state.Router.UpdateSummary(now, routeSummary(summary, now))
		}
	})
}

func routeSummary(s holder.Summary, at time.Time) route.Summary {
	return route.Summary{
		Upstream:   s.Upstream,
		Epoch:      s.Epoch,
		FreePlaces: s.FreeBatchSlots,
		Backlog:    s.Backlog,
		Resident:   s.Resident,
		Healthy:    s.Healthy,
		Coldest:    s.Coldest,
		At:         at,
	}
}

// newHeartbeat returns the current state of this instance for its peers.
func (d *Daemon) newHeartbeat(ctx context.Context) peer.Heartbeat {
	revision, age := d.tracker.Confirmed()
	heartbeat := peer.Heartbeat{
		Instance:       d.self.Name,
		Incarnation:    d.self.Incarnation,
		Revision:       revision,
		ConfirmedAge:   age,
		InForceSince:   d.repository.Current().InForceSince,
		Upstreams:      d.holding.Summaries(ctx),
		Leaving:        d.leaving.own(),
		Stopping:       d.stopping.Load(),
		OldestRevision: d.settlement.oldestToReport(d.ledger.OldestRevision()),
	}
	if reportedRevision, bitmap := d.tracker.ReportBitmap(); reportedRevision == revision {
		heartbeat.InForceMembers = bitmap
	}
	d.pipeline.State.WithLock(func(state *pipeline.SharedState) {
		heartbeat.Suspects = state.Suspects.Records(time.Now())
	})
	return heartbeat
}

// addressSet holds the addresses with a heartbeat in flight, so that a member that does not answer blocks only one
// goroutine.
type addressSet struct {
	mutex     sync.Mutex
	addresses map[string]bool
}

func (s *addressSet) begin(address string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.addresses[address] {
		return false
	}
	if s.addresses == nil {
		s.addresses = map[string]bool{}
	}
	s.addresses[address] = true
	return true
}

func (s *addressSet) end(address string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.addresses, address)
}
