package quota

import "time"

// fleet_totals.go adds up what the whole fleet has admitted.

// silentAfter is how old the totals of a peer may be. What a peer admitted while it was silent for longer is not
// counted when its totals arrive again: it would look as if it had been admitted at once.
const silentAfter = 3 * time.Second

// FleetTotals is what the fleet has admitted for each workspace since this ledger was created, as far as it is known.
type FleetTotals struct {
	Totals Totals
	// Age is how long ago totals arrived from the peer that has been silent for longest, without those that count as silent; 0 if
	// there is none.
	Age time.Duration
	// Silent is the number of peers whose totals have never arrived, or not for longer than silentAfter.
	Silent int
}

// countedTotals are the totals of a peer that FleetTotals has added up.
type countedTotals struct {
	incarnation string
	totals      Totals
	silent      bool
	// whole: all totals of the peer are known. Before, a workspace that is missing in totals may have any total.
	whole bool
}

// FleetTotals returns the totals of this instance and of its peers. They grow by what was admitted since the last
// call. Its cost grows with the number of peers, so it is called some times a second and not for each request. The
// map is reused by the next call.
func (l *Ledger) FleetTotals(now time.Time) (fleet FleetTotals) {
	if l.fleet.totals == nil {
		l.fleet = fleetCount{totals: Totals{}, own: Totals{}, peers: make(map[string]*countedTotals)}
	}
	l.fleet.add(l.own, l.fleet.own)
	for name := range l.fleet.peers {
		if l.peers[name] == nil {
			delete(l.fleet.peers, name)
		}
	}
	for name, p := range l.peers {
		age, known := p.age(now)
		if l.fleet.count(name, p, !known || age > max(silentAfter, l.PeerTimeout)) {
			fleet.Age = max(fleet.Age, age)
		} else {
			fleet.Silent++
		}
	}
	fleet.Totals = l.fleet.totals
	return fleet
}

// fleetCount is the state of FleetTotals: the sum, and what is already contained in it.
type fleetCount struct {
	totals Totals
	own    Totals
	peers  map[string]*countedTotals
}

// count adds what a peer has admitted since the last call, and reports whether its totals are recent. The totals of a
// peer whose totals arrive for the first time, or again after it was silent, are only recorded.
func (c *fleetCount) count(name string, p *peer, silent bool) (recent bool) {
	counted := c.peers[name]
	if counted == nil {
		counted = &countedTotals{totals: Totals{}, silent: true}
		c.peers[name] = counted
	}
	if silent {
		counted.silent = true
		return false
	}
	if counted.incarnation != p.incarnation && p.incarnation != "" {
		if counted.incarnation != "" {
			clear(counted.totals) // a restarted peer counts from zero
		}
		counted.incarnation = p.incarnation
	}
	totals := p.totals
	if totals == nil {
		totals = p.partialTotals
	}
	if counted.silent {
		clear(counted.totals)
	}
	if counted.silent || !counted.whole {
		counted.recordNew(totals)
	}
	counted.silent = false
	counted.whole = p.totals != nil
	c.add(totals, counted.totals)
	return true
}

// recordNew records the totals of workspaces that were not known as counted: when these were admitted is not known.
func (c *countedTotals) recordNew(totals Totals) {
	for workspace, total := range totals {
		if _, known := c.totals[workspace]; !known {
			c.totals[workspace] = total
		}
	}
}

// add adds the difference between totals and those already counted.
func (c *fleetCount) add(totals, counted Totals) {
	for workspace, total := range totals {
		if before := counted[workspace]; total != before {
			c.totals[workspace] += total - before
			counted[workspace] = total
		}
	}
}

// age returns how long ago totals of the peer were last received, in full or in part.
func (p *peer) age(now time.Time) (age time.Duration, known bool) {
	if p.totals == nil && p.partialTotals == nil {
		return 0, false
	}
	latest := p.lastSeen
	for _, at := range p.lastAdmitted {
		if at.After(latest) {
			latest = at
		}
	}
	return now.Sub(latest), true
}
