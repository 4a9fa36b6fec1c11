package node

import (
	"maps"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingrock.example/lacewingrock/internal/admission/quota"
	"lacewingrock.example/lacewingrock/internal/fleet/roster"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
)

// rate_coordinators.go chooses which instance coordinates the rate of a workspace, and asks it. All instances choose by
// rendezvous hashing among those that are alive, so that they mostly agree. Where they do not, each coordinator decides
// from what it was asked and from the totals of the others.

const (
	// coordinatorTTL is how long a choice is kept. A choice looks at all members.
	coordinatorTTL = 250 * time.Millisecond
	// minCoordinatorAvoidance is how long an instance that did not decide is not asked. The time doubles each time until it
	// decides in time again, up to maxCoordinatorAvoidance: each charge that it leaves unanswered delays a request.
	minCoordinatorAvoidance = time.Second
	maxCoordinatorAvoidance = 8 * time.Second
	// maxUnansweredCharges is the number of consecutive charges without an answer after which an instance is not asked.
	// One is late where a processor is short of time for a moment.
	maxUnansweredCharges = 2
)

// rateCoordinators is safe for concurrent use.
type rateCoordinators struct {
	mutex  sync.Mutex
	chosen map[string]coordinatorChoice
	// unanswered counts the consecutive charges that an instance has not answered. avoided has the instances that did not
	// decide when they were last asked.
	unanswered map[string]int
	avoided    map[string]avoidance
	// usableAt is when the connection to an instance last carried an answer or was replaced.
	usableAt map[string]time.Time
}

// avoidance is until when an instance is not asked, and for how long it was not.
type avoidance struct {
	until time.Time
	lasts time.Duration
}

type coordinatorChoice struct {
	coordinator quota.Coordinator
	until       time.Time
}

// RateCoordinator returns the instance that decides about the rate of a workspace, nil if there is none.
func (n *Node) RateCoordinator(workspace string) quota.Coordinator {
	c := &n.coordinators
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if choice, found := c.chosen[workspace]; found && now.Before(choice.until) {
		return choice.coordinator
	}
	if c.chosen == nil {
		c.chosen = make(map[string]coordinatorChoice)
	}
	coordinator := n.chooseCoordinator(now, workspace)
	c.chosen[workspace] = coordinatorChoice{coordinator: coordinator, until: now.Add(coordinatorTTL)}
	return coordinator
}

// chooseCoordinator makes the choice. The caller holds the lock of the coordinators. Only members of the roster are
// chosen: the others have just started or are about to stop.
func (n *Node) chooseCoordinator(now time.Time, workspace string) quota.Coordinator {
	n.view.mutex.Lock()
	joined := n.view.roster.Instances()
	n.view.mutex.Unlock()
	avoided := n.coordinators.avoided
	chosen, found := n.overlay.firstAlive(now, rateGroupSubject(workspace, len(joined)), joined, func(name string) bool { return now.Before(avoided[name].until) })
	switch {
	case !found:
		return nil
	case chosen.Name == n.self.Name:
		return quota.Self{}
	}
	return quota.Peer{Name: chosen.Name, Address: chosen.Address}
}

func rateGroupSubject(workspace string, instances int) string {
	return rateSubject + strconv.FormatUint(rateGroup(workspace, instances), 10)
}

const (
	// rateSubject is the prefix of the rendezvous-hashing subjects of groups of workspaces.
	rateSubject = "rate\x00"
	// instancesPerGroup is the number of instances for which there is one more group of workspaces.
	instancesPerGroup = 20
)

// rateGroup returns the group of a workspace, whose rates one instance coordinates, in a fleet of some size. With a group
// for each workspace, connections to coordinators would mostly be idle and closed when a charge is due. The number of
// groups is a power of two, so that it rarely changes as instances come and go.
func rateGroup(workspace string, instances int) uint64 {
	groups := uint64(1)
	for groups*2*instancesPerGroup <= uint64(instances) {
		groups *= 2
	}
	return xxhash.Sum64String(workspace) % groups
}

// firstAlive returns the live instance that ranks highest for a subject among some instances, this one included, without
// those that are avoided.
func (o *overlay) firstAlive(now time.Time, subject string, instances []roster.Instance, avoided func(name string) bool) (first roster.Instance, found bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	var highest uint64
	for _, instance := range instances {
		weight := roster.Weight(subject, instance.Name)
		if found && weight <= highest {
			continue
		}
		if instance.Name != o.table.Self && (avoided(instance.Name) || !o.isAliveLocked(now, instance.Name)) {
			continue
		}
		first, highest, found = instance, weight, true
	}
	return first, found
}

// ChargeRate decides about a charge of another instance.
func (n *Node) ChargeRate(charge quota.Charge) (verdict quota.Verdict) {
	n.sharedState.WithLock(func(state *serve.SharedState) { verdict = state.Ledger.Decide(time.Now(), charge) })
	return verdict
}

func verdictName(verdict quota.Verdict) string {
	switch verdict.(type) {
	case quota.Charged:
		return "charged"
	case quota.OverRate:
		return "over_rate"
	}
	return "unanswered"
}

// recordAnswer records that an instance has decided. An answer that is late shows only that the connection is usable.
func (c *rateCoordinators) recordAnswer(now time.Time, name string, inTime bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.recordUsable(now, name)
	if inTime {
		delete(c.unanswered, name)
		delete(c.avoided, name)
	}
}

// recordUnanswered records that an instance has not decided about a charge that began at some time, and reports whether it
// is avoided from now on: at once if it said that it does not decide.
func (c *rateCoordinators) recordUnanswered(began time.Time, name string, declined bool) (avoided bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.unanswered == nil {
		c.unanswered = make(map[string]int)
		c.avoided = make(map[string]avoidance)
	}
	before := c.avoided[name]
	if began.Before(before.until) {
		return true // it is avoided for a charge that began earlier
	}
	c.unanswered[name]++
	if !declined && c.unanswered[name] < maxUnansweredCharges {
		return false
	}
	delete(c.unanswered, name)
	next := avoidance{lasts: minCoordinatorAvoidance}
	if !declined {
		next.lasts = min(max(2*before.lasts, minCoordinatorAvoidance), maxCoordinatorAvoidance)
	}
	next.until = began.Add(next.lasts)
	maps.DeleteFunc(c.avoided, func(_ string, a avoidance) bool { return began.Sub(a.until) > maxCoordinatorAvoidance })
	c.avoided[name] = next
	clear(c.chosen)
	return true
}

// replaceConnection reports whether the connection to an instance is to be replaced after a charge failed: nothing was
// answered over it since the charge began, and it was not replaced since then.
func (c *rateCoordinators) replaceConnection(now, began time.Time, name string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.usableAt[name].After(began) {
		return false
	}
	maps.DeleteFunc(c.usableAt, func(_ string, at time.Time) bool { return now.Sub(at) > maxChargeLateness })
	c.recordUsable(now, name)
	return true
}

// recordUsable records that the connection to an instance has carried an answer or is new. The caller holds the lock.
func (c *rateCoordinators) recordUsable(now time.Time, name string) {
	if c.usableAt == nil {
		c.usableAt = make(map[string]time.Time)
	}
	c.usableAt[name] = now
}

// nextVersion returns a version for a statement of this instance that is no record.
func (o *overlay) nextVersion() int64 {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.table.Version++
	return o.table.Version
}
