// Package roster is who is in the fleet and who holds which upstream: the fleet's own keys in the store,
// each bound to the lease of the instance that wrote it.
package roster

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Keys of the fleet's own.
const (
	prefixInstances = "fleet/instances/"
	prefixHolders   = "fleet/holders/"
)

// Instance is a live instance.
type Instance struct {
	Name        string
	Incarnation string
	DataCentre  string
	// Address is where it talks to the other instances.
	Address string
}

// Holder is the instance that orders at an upstream.
type Holder struct {
	Upstream    string
	Instance    string
	Incarnation string
	// Lease is the lease that the key is bound to.
	Lease int64
	// Fence rises with each change of holder; it is the revision of the key.
	Fence int64
}

// InstanceKey is the key of an instance.
func InstanceKey(name string) string { return prefixInstances + name }

// HolderKey is the key of an upstream's holder.
func HolderKey(upstream string) string { return prefixHolders + upstream }

type instanceWire struct {
	Incarnation string
	DataCentre  string
	Address     string
}

type holderWire struct {
	Instance    string
	Incarnation string
	Lease       int64
}

// EncodeInstance gives the value of an instance's key.
func EncodeInstance(i Instance) ([]byte, error) {
	return json.Marshal(instanceWire{Incarnation: i.Incarnation, DataCentre: i.DataCentre, Address: i.Address})
}

// EncodeHolder gives the value of a holder's key.
func EncodeHolder(h Holder) ([]byte, error) {
	return json.Marshal(holderWire{Instance: h.Instance, Incarnation: h.Incarnation, Lease: h.Lease})
}

// Roster is what the keys say. The zero value is empty. It is not safe for use by several goroutines.
type Roster struct {
	instances map[string]Instance
	holders   map[string]Holder
	// listed is what Instances gives, nil after a change until it is needed.
	listed []Instance
}

// Apply takes a key's change over; removed keys have no value. It tells whether the key is the fleet's.
func (r *Roster) Apply(key string, value []byte, revision int64, removed bool) (ours bool, err error) {
	if r.instances == nil {
		r.instances = make(map[string]Instance)
		r.holders = make(map[string]Holder)
	}
	if name, found := strings.CutPrefix(key, prefixInstances); found {
		return true, errors.WithMessage(r.applyInstance(name, value, removed), key)
	}
	if upstream, found := strings.CutPrefix(key, prefixHolders); found {
		return true, errors.WithMessage(r.applyHolder(upstream, value, revision, removed), key)
	}
	return false, nil
}

func (r *Roster) applyInstance(name string, value []byte, removed bool) error {
	r.listed = nil
	if removed {
		delete(r.instances, name)
		return nil
	}
	var wire instanceWire
	if err := json.Unmarshal(value, &wire); err != nil {
		return err
	}
	r.instances[name] = Instance{
		Name: name, Incarnation: wire.Incarnation, DataCentre: wire.DataCentre, Address: wire.Address,
	}
	return nil
}

func (r *Roster) applyHolder(upstream string, value []byte, revision int64, removed bool) error {
	if removed {
		delete(r.holders, upstream)
		return nil
	}
	var wire holderWire
	if err := json.Unmarshal(value, &wire); err != nil {
		return err
	}
	r.holders[upstream] = Holder{
		Upstream: upstream, Instance: wire.Instance, Incarnation: wire.Incarnation, Lease: wire.Lease, Fence: revision,
	}
	return nil
}

// UpstreamOfHolderKey tells of which upstream a key names the holder.
func UpstreamOfHolderKey(key string) (upstream string, found bool) {
	return strings.CutPrefix(key, prefixHolders)
}

// Instances lists the live instances in the order of their names. The list is shared: callers do not change it.
func (r *Roster) Instances() []Instance {
	if r.listed == nil {
		r.listed = slices.SortedFunc(maps.Values(r.instances), func(a, b Instance) int {
			return strings.Compare(a.Name, b.Name)
		})
	}
	return slices.Clip(r.listed)
}

// Instance finds a live instance.
func (r *Roster) Instance(name string) (Instance, bool) {
	instance, found := r.instances[name]
	return instance, found
}

// Holder finds who holds an upstream.
func (r *Roster) Holder(upstream string) (Holder, bool) {
	holder, found := r.holders[upstream]
	return holder, found
}

// Holders lists all holders.
func (r *Roster) Holders() (list []Holder) {
	for _, holder := range r.holders {
		list = append(list, holder)
	}
	return list
}

const (
	// fewestParts: an instance that has just started does not know the others yet. It is above the number of
	// instances of today's deployments.
	fewestParts = 10
	// partsForEach is how many parts there are for each instance that is known, so that some may join before
	// all have heard of them.
	partsForEach = 1.25
)

// LimitParts is how many parts a limit is divided into that all instances share without asking each other, such as
// retries, or connections to an upstream, for an instance that knows a number of others. Each instance has to
// stay within one part, as it may be cut off from the others; with a number fixed for a small fleet a large one
// would pass the limit many times over, and nobody would notice but those who set it.
func LimitParts(others int) float64 {
	return max(fewestParts, partsForEach*float64(others+1))
}

// Rank is the place of an instance among the given names in the order that a subject spreads them in:
// each subject has another order, and a name that comes or goes changes no other's place by more than one.
func Rank(subject, name string, names []string) (rank int) {
	own := weight(subject, name)
	for _, other := range names {
		if other != name && weight(subject, other) > own {
			rank++
		}
	}
	return rank
}

// SortByRank lists the given names in the order in which a subject spreads them, as Rank does.
func SortByRank(subject string, names []string) []string {
	weights := make(map[string]uint64, len(names))
	for _, name := range names {
		weights[name] = weight(subject, name)
	}
	return slices.SortedFunc(slices.Values(names), func(a, b string) int { return cmp.Compare(weights[b], weights[a]) })
}

// TakeoverRanks gives, for each subject that has no holder, the place of an instance in the line of the named instances for it:
// those that hold the least come first, among equals as Rank spreads them. Each subject counts as held by the first in
// its line when the next one's line is made. The instance has to be among the names.
//
// Made for instances that stop and start again one after the other. In the order of Rank alone what they held
// goes to those who have not stopped yet, nothing comes back, and in the end one instance holds nearly all:
// when that one freezes, no adapter can be loaded anywhere.
func TakeoverRanks(subjects, names []string, held map[string]int, instance string) map[string]int {
	line := make([]candidate, len(names))
	own := slices.Index(names, instance)
	for i, name := range names {
		line[i].held = held[name]
	}
	subjects = slices.Clone(subjects)
	sort.Strings(subjects)
	turns := make(map[string]int, len(subjects))
	var key []byte
	for _, subject := range subjects {
		key = append(append(key[:0], subject...), 0)
		subjectBytes := len(key)
		for i, name := range names {
			key = append(key[:subjectBytes], name...)
			line[i].weight = xxhash.Sum64(key)
		}
		first := 0
		turn := 0
		for i, one := range line {
			if one.isBefore(line[own]) {
				turn++
			}
			if one.isBefore(line[first]) {
				first = i
			}
		}
		turns[subject] = turn
		line[first].held++
	}
	return turns
}

// candidate is an instance in the line for a subject.
type candidate struct {
	held   int
	weight uint64
}

func (c candidate) isBefore(other candidate) bool {
	if c.held != other.held {
		return c.held < other.held
	}
	return c.weight > other.weight
}

func weight(subject, name string) uint64 { return xxhash.Sum64String(subject + "\x00" + name) }
