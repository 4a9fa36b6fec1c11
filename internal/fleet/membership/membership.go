// Package membership decides who is a member of the fleet and which member has which duty, as pure functions of the
// head. The daemon reads the head, computes the next one here and swaps it in the store.
//
// Members change one at a time, and each change waits until the previous one is in force everywhere. While the store is
// down, instances stay fresh by replies from a majority of the members of their head (package freshness). Any two
// majorities of two heads that differ by one member have a member in common. With heads that differ by more they need
// not: a group of instances partitioned with an old head would go on serving what a newer head, in force for all
// others, had withdrawn. The alternative, requiring a majority of every member list since the last one in force, was
// rejected: a process that has just started cannot know these lists.
package membership

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lacewingrock.example/lacewingrock/internal/catalog/head"
)

// Step is the kind of change that the next head makes.
type Step int

// The steps. Replacing a process by another of the same name takes two: the old one is removed and, once that is in
// force everywhere, the new one is added.
const (
	StepNone Step = iota
	StepAdd
	StepRemove
)

// UnsettledError reports that the last change of members or upstreams is not in force everywhere yet, so that the next
// change has to wait.
type UnsettledError struct {
	Epoch   int64
	InForce int64
}

// Error names the epoch that is waited for.
func (e *UnsettledError) Error() string {
	return fmt.Sprintf("membership: epoch %d is not in force everywhere yet, only revision %d is", e.Epoch, e.InForce)
}

// Join returns the head after the next step towards making a process a member; StepNone if it is one already. inForce
// is the highest revision known to be in force everywhere. The caller raises the head's revision with WithSwap.
func Join(h head.Head, member head.Member, inForce int64) (next head.Head, step Step, err error) {
	listed, found := h.Member(member.Name)
	if found && listed.Incarnation == member.Incarnation && listed.Address == member.Address {
		return h, StepNone, nil
	}
	if err := checkSettled(h, inForce); err != nil {
		return h, StepNone, err
	}
	if found {
		return h.WithoutMember(member.Name), StepRemove, nil
	}
	return h.WithMember(member), StepAdd, nil
}

// Leave returns the head without a process that leaves by itself; StepNone if it is no member.
func Leave(h head.Head, name, incarnation string, inForce int64) (next head.Head, step Step, err error) {
	listed, found := h.Member(name)
	if !found || listed.Incarnation != incarnation {
		return h, StepNone, nil
	}
	if err := checkSettled(h, inForce); err != nil {
		return h, StepNone, err
	}
	return h.WithoutMember(name), StepRemove, nil
}

// Expel returns the head without a process that was detected as failed. remover is the name of the process that
// detected it and must be another member of the current head. So the last member can only leave by itself: alone it is
// the majority of its head, and would stay fresh forever if it was partitioned and had not failed.
func Expel(h head.Head, remover, name, incarnation string, inForce int64) (next head.Head, step Step, err error) {
	if _, found := h.Member(remover); !found || remover == name {
		return h, StepNone, nil
	}
	return Leave(h, name, incarnation, inForce)
}

// checkSettled returns an UnsettledError while the last change is not in force. Without members no instance can be
// fresh, since the last member left by itself.
func checkSettled(h head.Head, inForce int64) error {
	if len(h.Members) == 0 || h.Epoch <= inForce {
		return nil
	}
	return &UnsettledError{Epoch: h.Epoch, InForce: inForce}
}

// ---------------------------------------------------------------------------------------------
// Duties are assigned by rendezvous hashing: a change of one member moves only the duties that it had or gets. Names
// are hashed and not incarnations, so that a restarted member gets back the duties that it had.

// Holder returns the member that holds an upstream. It is in the upstream's data centre if any member is, so that
// orders and grants stay within the data centre.
func Holder(h head.Head, upstream, dataCentre string) (holder head.Member, found bool) {
	local := slices.DeleteFunc(slices.Clone(h.Members), func(m head.Member) bool {
		return m.DataCentre != dataCentre
	})
	if len(local) == 0 {
		local = h.Members
	}
	return first("holder/"+upstream, local)
}

// Broker returns the member that grants the fleet's loads from the weight store.
func Broker(h head.Head) (broker head.Member, found bool) {
	return first("broker", h.Members)
}

// HasDuty reports whether a member is one of the count members that have a duty. It is for duties that more than one
// member should have, but not all, since the cost would grow with the fleet.
func HasDuty(h head.Head, duty, name string, count int) bool {
	sorted := sortByScore(duty, h.Members)
	own := slices.IndexFunc(sorted, func(m head.Member) bool { return m.Name == name })
	return own >= 0 && own < count
}

func first(duty string, members []head.Member) (best head.Member, found bool) {
	sorted := sortByScore(duty, members)
	if len(sorted) == 0 {
		return head.Member{}, false
	}
	return sorted[0], true
}

// sortByScore returns the members sorted by their score for a duty, highest first; equal scores by name.
func sortByScore(duty string, members []head.Member) []head.Member {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b head.Member) int {
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
	return sorted
}

func score(duty, name string) uint64 {
	return xxhash.Sum64String(duty + "\x00" + name)
}
