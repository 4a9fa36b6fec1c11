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

// heartbeats.go exchanges with the other members what each knows: the revision and how lately it was
// confirmed, upstreams, suspects, who is leaving, and loans given back.

const (
	// beatEvery and beatsAtOnce bound what heartbeats cost an instance, however large the fleet: four
	// small calls a second. With eight instances each peer is asked within two seconds, and asks us too.
	beatEvery   = 500 * time.Millisecond
	beatsAtOnce = 2
	// beatWithin bounds one heartbeat. A peer that takes longer tells nothing that is still of use.
	beatWithin = time.Second
)

// runHeartbeats asks some members each time, in turn, and all of them when there is something that they
// must hear at once.
func (d *Daemon) runHeartbeats(ctx context.Context) error {
	var queue []head.Member
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.urgent:
			d.ping(ctx, d.others())
			continue
		case <-time.After(beatEvery):
		}
		members := d.others()
		count := min(d.beats(len(members)), len(members))
		if len(queue) < count {
			queue = shuffled(members)
		}
		d.ping(ctx, queue[:count])
		queue = queue[count:]
		d.learnOwn(ctx)
	}
}

// tellAll has all members told at once what this instance knows. It does not wait.
func (d *Daemon) tellAll() {
	select {
	case d.urgent <- struct{}{}:
	default: // already asked for, and not begun
	}
}

func (d *Daemon) ping(ctx context.Context, members []head.Member) {
	for _, member := range members {
		if d.pinging.begin(member.Address) {
			go d.runPing(ctx, member)
		}
	}
}

// beats is how many members are asked at a time. While reads of the store confirm nothing, a majority
// has to be heard within the freshness bound instead, and more are asked.
func (d *Daemon) beats(others int) int {
	_, age := d.tracker.Confirmed()
	bound := d.Settings.Freshness.Bound
	if age >= 0 && age < bound*3/5 {
		return beatsAtOnce
	}
	rounds := float64(bound/2) / float64(beatEvery)
	return max(beatsAtOnce, int(math.Ceil(float64(others)/max(rounds, 1))))
}

func shuffled(members []head.Member) []head.Member {
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members
}

func (d *Daemon) others() []head.Member {
	var list []head.Member
	for _, m := range d.repository.Current().Head.Members {
		if m.Name != d.self.Name {
			list = append(list, m)
		}
	}
	return list
}

// runPing asks one member and takes in its answer.
func (d *Daemon) runPing(ctx context.Context, member head.Member) {
	defer d.pinging.end(member.Address)
	ctx, cancel := context.WithTimeout(ctx, beatWithin)
	defer cancel()
	lender := rate.Identity{Name: member.Name, Incarnation: member.Incarnation}
	beat := d.beat(ctx)
	beat.Returns = d.ledger.PendingReturns(lender)
	asked := time.Now()
	answer, err := d.directory.Ping(ctx, member.Address, beat)
	if err != nil {
		d.scope.Counter("heartbeats_failed").Inc(1)
		d.Log.Info().Err(err).Str("Peer", member.Name).Int64("TookMillis", time.Since(asked).Milliseconds()).
			Msg("HeartbeatFailed")
		return
	}
	if answer.Incarnation == member.Incarnation {
		d.ledger.AcknowledgeReturns(lender, beat.Returns)
	}
	d.tracker.RecordReply(freshness.Reply{
		Member:       freshness.Member{Name: answer.Instance, Incarnation: answer.Incarnation},
		SentAt:       asked,
		Revision:     answer.Revision,
		ConfirmedAge: answer.ConfirmedAge,
	})
	d.learn(asked, answer)
}

// learn takes in what any heartbeat tells that needs no question of ours to be true.
func (d *Daemon) learn(at time.Time, beat peer.Heartbeat) {
	d.tracker.MergeReportBitmap(beat.Revision, beat.InForceMembers)
	d.detector.handle(membership.HeartbeatAnswered{Name: beat.Instance, Incarnation: beat.Incarnation})
	d.settlement.tell(rate.Identity{Name: beat.Instance, Incarnation: beat.Incarnation}, beat.OldestRevision)
	if _, member := d.repository.Current().Head.Member(beat.Instance); member {
		d.leaving.tell(beat.Instance, beat.Leaving)
	}
	now := time.Now()
	d.pipeline.State.WithLock(func(a *pipeline.SharedState) {
		for _, summary := range beat.Upstreams {
			a.Router.UpdateSummary(now, routeSummary(summary, at))
		}
		a.Suspects.SetPeerCounts(now, beat.Instance, beat.Suspects)
	})
}

// learnOwn tells the router of the upstreams held here.
func (d *Daemon) learnOwn(ctx context.Context) {
	now := time.Now()
	summaries := d.holding.Summaries(ctx)
	d.pipeline.State.WithLock(func(a *pipeline.SharedState) {
		for _, summary := range summaries {
			a.Router.UpdateSummary(now, routeSummary(summary, now))
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

// beat is what this instance tells.
func (d *Daemon) beat(ctx context.Context) peer.Heartbeat {
	revision, age := d.tracker.Confirmed()
	beat := peer.Heartbeat{
		Instance:       d.self.Name,
		Incarnation:    d.self.Incarnation,
		Revision:       revision,
		ConfirmedAge:   age,
		InForceSince:   d.repository.Current().InForceSince,
		Upstreams:      d.holding.Summaries(ctx),
		Leaving:        d.leaving.own(),
		Stopping:       d.stopping.Load(),
		OldestRevision: d.settlement.toTell(d.ledger.OldestRevision()),
	}
	if relayed, told := d.tracker.ReportBitmap(); relayed == revision {
		beat.InForceMembers = told
	}
	d.pipeline.State.WithLock(func(a *pipeline.SharedState) {
		beat.Suspects = a.Suspects.LocalCounts(time.Now())
	})
	return beat
}

// pinging keeps a member that does not answer from being asked by many goroutines at once.
type pinging struct {
	mutex sync.Mutex
	asked map[string]bool
}

func (p *pinging) begin(address string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.asked[address] {
		return false
	}
	if p.asked == nil {
		p.asked = map[string]bool{}
	}
	p.asked[address] = true
	return true
}

func (p *pinging) end(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.asked, address)
}
