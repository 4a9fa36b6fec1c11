// Package roster reads and writes the fleet's own keys in the store: the live instances and the holder of each
// upstream. Each key is bound to the lease of the instance that wrote it.
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

// Prefixes of the fleet's own keys.
const (
	prefixInstances = "fleet/instances/"
	prefixHolders   = "fleet/holders/"
)

// Instance is a live instance.
type Instance struct {
	Name        string
	Incarnation string
	DataCentre  string
	// Address is where the other instances reach it.
	Address string
}

// Holder is the instance that sends orders to an upstream.
type Holder struct {
	Upstream    string
	Instance    string
	Incarnation string
	// Lease is the lease that the key is bound to.
	Lease int64
	// Fence is the revision of the key, which rises with each change of holder.
	Fence int64
	// Token is the fencing token of orders: Fence, unless the holder goes on with that of its earlier life.
	Token int64
	// Address is where the other instances reach the holder; another machine of that name has another one.
	Address string
}

// InstanceKey returns the key of an instance.
func InstanceKey(name string) string { return prefixInstances + name }

// HolderKey returns the key of an upstream's holder.
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
	Token       int64  `json:",omitempty"`
	Address     string `json:",omitempty"`
}

// EncodeInstance returns the value of an instance's key.
func EncodeInstance(i Instance) ([]byte, error) {
	return json.Marshal(instanceWire{Incarnation: i.Incarnation, DataCentre: i.DataCentre, Address: i.Address})
}

// EncodeHolder returns the value of a holder's key. A token of 0 stands for the revision that the key gets.
func EncodeHolder(h Holder) ([]byte, error) {
	return json.Marshal(holderWire{
		Instance: h.Instance, Incarnation: h.Incarnation, Lease: h.Lease, Token: h.Token, Address: h.Address,
	})
}

// Roster holds the decoded keys. The zero value is empty. It is not safe for concurrent use.
type Roster struct {
	instances map[string]Instance
	holders   map[string]Holder
	// sorted caches the result of Instances; nil after a change until the next call.
	sorted []Instance
}

// Apply applies the change of a key; removed keys have no value. It reports whether the key is one of the fleet's.
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
	r.sorted = nil
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
		Token: cmp.Or(wire.Token, revision), Address: wire.Address,
	}
	return nil
}

// UpstreamOfHolderKey returns the upstream whose holder is stored under a key; found is false for other keys.
func UpstreamOfHolderKey(key string) (upstream string, found bool) {
	return strings.CutPrefix(key, prefixHolders)
}

// Instances returns the live instances sorted by name. The slice is shared: callers must not modify it.
func (r *Roster) Instances() []Instance {
	if r.sorted == nil {
		r.sorted = slices.SortedFunc(maps.Values(r.instances), func(a, b Instance) int {
			return strings.Compare(a.Name, b.Name)
		})
	}
	return slices.Clip(r.sorted)
}

// Instance returns the live instance of that name.
func (r *Roster) Instance(name string) (Instance, bool) {
	instance, found := r.instances[name]
	return instance, found
}

// Holder returns the holder of an upstream.
func (r *Roster) Holder(upstream string) (Holder, bool) {
	holder, found := r.holders[upstream]
	return holder, found
}

// Holders returns all holders in no particular order.
func (r *Roster) Holders() (list []Holder) {
	for _, holder := range r.holders {
		list = append(list, holder)
	}
	return list
}

const (
	// minParts covers an instance that has just started and does not know the others yet. It is above the number
	// of instances of current deployments.
	minParts = 10
	// partsPerInstance is the number of parts for each known instance. It is above 1 so that instances may join
	// before all others know them.
	partsPerInstance = 1.25
)

// LimitParts returns the number of parts into which an instance that knows this many others divides a limit of the
// whole fleet, such as retries or connections to an upstream. The instances do not coordinate: each stays within one
// part, as it may be partitioned from the others. With a number fixed for a small fleet, a large fleet would exceed the
// limit many times over, and only the operators who set it would notice.
func LimitParts(others int) float64 {
	return max(minParts, partsPerInstance*float64(others+1))
}

// Rank returns the position of an instance among the names by rendezvous hashing for a subject, 0 for the first. Each
// subject has a different order. Adding or removing a name changes the rank of another by one at most.
func Rank(subject, name string, names []string) (rank int) {
	own := Weight(subject, name)
	for _, other := range names {
		if other != name && Weight(subject, other) > own {
			rank++
		}
	}
	return rank
}

// SortByRank returns the names sorted by their Rank for a subject.
func SortByRank(subject string, names []string) []string {
	weights := make(map[string]uint64, len(names))
	for _, name := range names {
		weights[name] = Weight(subject, name)
	}
	return slices.SortedFunc(slices.Values(names), func(a, b string) int { return cmp.Compare(weights[b], weights[a]) })
}

// TakeoverRanks returns, for each upstream without a holder (the subjects), the rank of an instance among the live
// instances (names) that may take it over. These are sorted by the number of upstreams they hold, fewest first, and
// equal ones by Rank. A subject is counted as held by the first of them before the next subject is ranked. instance
// must be one of names.
//
// This balances the fleet during a rolling restart. By Rank alone, what a stopping instance held would go to those that
// have not stopped yet and never return, so that in the end one instance would hold nearly all: when that one freezes,
// no adapter can be loaded anywhere.
func TakeoverRanks(subjects, names []string, held map[string]int, instance string) map[string]int {
	candidates := make([]candidate, len(names))
	own := slices.Index(names, instance)
	for i, name := range names {
		candidates[i].held = held[name]
	}
	subjects = slices.Clone(subjects)
	sort.Strings(subjects)
	ranks := make(map[string]int, len(subjects))
	var key []byte
	for _, subject := range subjects {
		key = append(append(key[:0], subject...), 0)
		subjectBytes := len(key)
		for i, name := range names {
			key = append(key[:subjectBytes], name...)
			candidates[i].weight = xxhash.Sum64(key)
		}
		best := 0
		rank := 0
		for i, other := range candidates {
			if other.isBefore(candidates[own]) {
				rank++
			}
			if other.isBefore(candidates[best]) {
				best = i
			}
		}
		ranks[subject] = rank
		candidates[best].held++
	}
	return ranks
}

// candidate is an instance that may take over a subject.
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

// Weight is the weight of a name for a subject in rendezvous hashing; the highest ranks first.
func Weight(subject, name string) uint64 { return xxhash.Sum64String(subject + "\x00" + name) }
