// Package membership decides who is a member of the fleet and which member has which duty, on values of
// the head alone. The daemon reads the head, asks for the next one here and swaps it in the store.
//
// Members change one at a time, and each change waits until the one before it is in force everywhere.
// While the store is down, instances stay fresh by hearing from a majority of the members of their head
// (package freshness). Two heads that differ by one member have no two majorities without a member in
// common; heads that differ by more may, and then a group of instances cut off with an old head would
// go on serving what a newer head, in force for all others, had withdrawn. Weighed and left: asking for
// a majority of every list since the last one in force, which a process that has just started cannot
// know.
package membership

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lacewingrock.example/lacewingrock/internal/catalog/head"
)

// Step tells what a changed head does.
type Step int

// The steps. A process that takes the place of one of the same name needs two: the old one is removed
// and, when that is in force everywhere, the new one added.
const (
	StepNone Step = iota
	StepAdd
	StepRemove
)

// UnsettledError says that the last change of members or upstreams is not in force everywhere, so that the next
// has to wait.
type UnsettledError struct {
	Epoch   int64
	InForce int64
}

// Error tells what is waited for.
func (e *UnsettledError) Error() string {
	return fmt.Sprintf("membership: epoch %d is not in force everywhere, only revision %d is", e.Epoch, e.InForce)
}

// Join returns the head that brings a process one step nearer to being a member; StepNone when it is
// one. InForce is the highest revision known to be in force everywhere. The head's revision is raised
// by its WithSwap.
func Join(h head.Head, member head.Member, inForce int64) (next head.Head, step Step, err error) {
	listed, found := h.Member(member.Name)
	if found && listed.Incarnation == member.Incarnation && listed.Address == member.Address {
		return h, StepNone, nil
	}
	if err := settled(h, inForce); err != nil {
		return h, StepNone, err
	}
	if found {
		return h.WithoutMember(member.Name), StepRemove, nil
	}
	return h.WithMember(member), StepAdd, nil
}

// Leave returns the head without a process that ends by itself; StepNone when it is no member.
func Leave(h head.Head, name, incarnation string, inForce int64) (next head.Head, step Step, err error) {
	listed, found := h.Member(name)
	if !found || listed.Incarnation != incarnation {
		return h, StepNone, nil
	}
	if err := settled(h, inForce); err != nil {
		return h, StepNone, err
	}
	return h.WithoutMember(name), StepRemove, nil
}

// Expel returns the head without a process that was found dead. By is the name of the process that
// found it, which must be a member itself, also in the head as it is now: the last member of all can only
// leave by itself. Alone it is the majority of its head, and would stay fresh for ever if it was cut off
// and not dead.
func Expel(h head.Head, by, name, incarnation string, inForce int64) (next head.Head, step Step, err error) {
	if _, found := h.Member(by); !found || by == name {
		return h, StepNone, nil
	}
	return Leave(h, name, incarnation, inForce)
}

// settled refuses while the last change is not in force. With no members nobody can be fresh: the last
// to leave left by itself.
func settled(h head.Head, inForce int64) error {
	if len(h.Members) == 0 || h.Epoch <= inForce {
		return nil
	}
	return &UnsettledError{Epoch: h.Epoch, InForce: inForce}
}

// ---------------------------------------------------------------------------------------------
// Duties, spread by rendezvous hashing: a change of one member moves only the duties that it had or
// gets. Names are hashed and not incarnations, so that a restarted member gets back what it had.

// Holder returns the member that holds an upstream: one of the upstream's data centre while there is
// any, so that orders and grants stay within it.
func Holder(h head.Head, upstream, dataCentre string) (holder head.Member, found bool) {
	near := slices.DeleteFunc(slices.Clone(h.Members), func(m head.Member) bool {
		return m.DataCentre != dataCentre
	})
	if len(near) == 0 {
		near = h.Members
	}
	return highest("holder/"+upstream, near)
}

// Broker returns the member that gives out the fleet's loads from the weight store.
func Broker(h head.Head) (broker head.Member, found bool) {
	return highest("broker", h.Members)
}

// HasDuty tells whether a member is one of the few that have a duty which more than one should have, but
// not all, since its cost would grow with the fleet.
func HasDuty(h head.Head, duty, name string, count int) bool {
	ranked := rank(duty, h.Members)
	own := slices.IndexFunc(ranked, func(m head.Member) bool { return m.Name == name })
	return own >= 0 && own < count
}

func highest(duty string, members []head.Member) (best head.Member, found bool) {
	ranked := rank(duty, members)
	if len(ranked) == 0 {
		return head.Member{}, false
	}
	return ranked[0], true
}

// rank orders members by their score for a duty, highest first; equal scores by name.
func rank(duty string, members []head.Member) []head.Member {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b head.Member) int {
		scoreA, scoreB := score(duty, a.Name), score(duty, b.Name)
		switch {
		case scoreA > scoreB:
			return -1
		case scoreA < scoreB:
			return 1
		case a.Name < b.Name:
			return -1
		}
		return 1
	})
	return ranked
}

func score(duty, name string) uint64 {
	return xxhash.Sum64String(duty + "\x00" + name)
}
