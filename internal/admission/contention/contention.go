// Package contention decides which requests are refused while more is asked of a service than fits, and when their
// callers should come back. The decision covers the priority of a request, the share of its workspace in what the
// fleet has admitted, the queue that the request would find, the time that its caller has left, and its cost. It does
// no I/O; the caller reads the clock and passes the time in.
//
// The highest class of a service may find the queue that placement allows without this package. Each lower class may
// find half of the queue of the class above it, and workspaces that use more than their share as much as the lowest
// class. Within a class, callers that have been waiting for longer than their objective may find three quarters of
// what the others may. All of this applies only while the service is contended. Of ten consecutive requests of a
// class that would be refused, one is admitted, so that no class starves.
package contention

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/admission/quota"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// Request is what a decision is about.
type Request struct {
	Service   string
	Workspace string
	Priority  int
	// Cost is the work of the request, in any unit that is the same for all requests of a service.
	Cost float64
	// Queue is how long the request would wait before its work begins. Limit is how long it may wait in the highest
	// class, and Objective how long it can take from its start and still be on time.
	Queue     time.Duration
	Limit     time.Duration
	Objective time.Duration
	// Remaining is the time until nobody waits for the request any more. Allowed is the same at its arrival. Route is
	// the route of the request: among the callers of one route, those that come back after a refusal have less time
	// left than others.
	Remaining time.Duration
	Allowed   time.Duration
	Route     string
	// Verdict is what placement says without regard to classes.
	Verdict Verdict
}

// Verdict is what placement says of a request without regard to classes.
type Verdict int

const (
	// Fits: the request may be sent.
	Fits Verdict = iota
	// TooLong: the queue is too long for the highest class, too.
	TooLong
	// Impossible: the request cannot be run, since each upstream is full or its caller would be gone.
	Impossible
)

// Decision is Admit or Refuse.
type Decision interface{ isDecision() }

// Admit means that the request is sent.
type Admit struct {
	Class Class
	// Floor: it is the one in ten of its class that would otherwise have been refused.
	Floor bool
	// Returned: its caller was refused before, and uses the turn that it got then.
	Returned bool
}

// Refuse means that the request is not sent.
type Refuse struct {
	Class  Class
	Reason Reason
	// RetryAfter is when the caller should come back; at most a third of the time that it has left. Scheduled: a turn
	// is kept for it then. Otherwise all turns within that time are taken.
	RetryAfter time.Duration
	Scheduled  bool
}

func (Admit) isDecision()  {}
func (Refuse) isDecision() {}

// Reason is why a request is refused.
type Reason string

const (
	// ReasonFull: the request cannot be run now, whatever its class.
	ReasonFull Reason = "full"
	// ReasonQueue: the queue is too long for the highest class, too.
	ReasonQueue Reason = "queue"
	// ReasonClass: the queue is too long for the class of the request.
	ReasonClass Reason = "class"
	// ReasonLate: the queue is too long for a request that is late, since its caller has been waiting for longer than
	// its objective.
	ReasonLate Reason = "late"
	// ReasonShare: the queue is too long for a workspace that is over its share.
	ReasonShare Reason = "share"
)

// Class is the position of a request among those that compete for a service.
type Class struct {
	// Level is the position of its priority among those of the service, 0 for the highest.
	Level int
	// Over: its workspace is over its share. All classes within their share come before those over it.
	Over bool
}

// Controller decides for one instance. Its zero value is ready for use. It is not safe for concurrent use.
type Controller struct {
	version    int64
	configured bool
	levels     map[string]levels
	shares     shares
	services   map[string]*service
	labels     map[string]bool
	allowances map[string]*allowance
}

// Configure sets the priorities of the services and the rates of the workspaces. A version that is not newer than the
// one in force is ignored.
func (c *Controller) Configure(configuration *traffic.Configuration) {
	if c.configured && configuration.Version <= c.version {
		return
	}
	c.configured = true
	c.version = configuration.Version
	c.levels = levelsOf(configuration.Routes)
	c.allowances = nil // of routes that may be gone
	c.shares.setRates(configuration.Workspaces)
}

// Decide decides about a request and records the decision.
func (c *Controller) Decide(now time.Time, request Request) Decision {
	s := c.service(request.Service)
	class := c.classOf(now, s, request.Service, request.Workspace, request.Priority)
	waited := c.waited(now, request)
	reason := s.refusalOf(now, class, request, waited)
	s.recordQueue(now, request, reason)
	if reason == "" {
		s.refused[class.index()] = 0
		return Admit{Class: class}
	}
	highest := c.levels[request.Service].objective
	if s.takeTurn(now, class, request, waited, highest) {
		s.refused[class.index()] = 0
		return Admit{Class: class, Returned: true}
	}
	// Requests of callers that come back are not counted for the floor: under overload they are so many that the floor
	// alone would fill the service.
	if reason != ReasonFull && waited < minRetryAfter && s.takeFloor(class) {
		return Admit{Class: class, Floor: true}
	}
	// Where higher classes fill the queue, a lower class would find it no shorter at its turn.
	turns := class.Level == 0 || request.Queue <= scale(turnMargin, turnQueue(class, request, highest))
	retryAfter, scheduled := s.schedule.add(now, class, request, turns && waited < minRetryAfter)
	return Refuse{Class: class, Reason: reason, RetryAfter: retryAfter, Scheduled: scheduled}
}

// RecordCompletion records that a request was served.
func (c *Controller) RecordCompletion(now time.Time, service string, class Class, cost float64) {
	c.service(service).schedule.recordCompletion(now, class, cost)
}

// RecordRefusal records that a request was refused for lack of capacity elsewhere, such as by the holders of all
// upstreams.
func (c *Controller) RecordRefusal(now time.Time, service string) {
	c.service(service).contendedAt = now
}

// ClassOf returns the class of a request.
func (c *Controller) ClassOf(now time.Time, service, workspace string, priority int) Class {
	return c.classOf(now, c.service(service), service, workspace, priority)
}

// HasClasses reports whether the routes to a service have several priorities.
func (c *Controller) HasClasses(service string) bool { return len(c.levels[service].priorities) > 1 }

func (c *Controller) classOf(now time.Time, s *service, name, workspace string, priority int) Class {
	class := Class{}
	levels := c.levels[name]
	for class.Level < len(levels.priorities) && levels.priorities[class.Level] < priority {
		class.Level++
	}
	if s.isContended(now) && c.shares.isOver(workspace) {
		// A service with one level has no lower one, and would not distinguish a workspace over its share from others.
		class = Class{Level: max(class.Level, len(levels.priorities)-1, 1), Over: true}
	}
	class.Level = min(class.Level, maxLevel)
	return class
}

// IsUseDue reports whether the totals of the fleet are to be recorded again.
func (c *Controller) IsUseDue(now time.Time) bool { return now.Sub(c.shares.updatedAt) >= useInterval }

// RecordUse records what the fleet has admitted in total.
func (c *Controller) RecordUse(now time.Time, fleet quota.FleetTotals) {
	contended := false
	for _, s := range c.services {
		contended = contended || s.isContended(now)
	}
	c.shares.update(now, fleet.Totals, contended)
}

// Share returns the share of a workspace and its use, both as fractions of all that the fleet admits, and whether it
// is over its share.
func (c *Controller) Share(workspace string) (share, use float64, over bool) {
	return c.shares.of(workspace)
}

// maxLabels bounds the workspaces that metrics name.
const maxLabels = 32

// otherLabel stands for the workspaces beyond maxLabels.
const otherLabel = "other"

// Label returns the name of a workspace in metrics. The first workspaces have their own, the others share one.
func (c *Controller) Label(workspace string) string {
	if c.labels[workspace] {
		return workspace
	}
	if len(c.labels) >= maxLabels {
		return otherLabel
	}
	if c.labels == nil {
		c.labels = make(map[string]bool)
	}
	c.labels[workspace] = true
	return workspace
}

func (c *Controller) service(name string) *service {
	s := c.services[name]
	if s == nil {
		s = &service{}
		if c.services == nil {
			c.services = make(map[string]*service)
		}
		c.services[name] = s
	}
	return s
}
