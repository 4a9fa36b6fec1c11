package pool

import "time"

// brittle.go limits the requests to upstreams that state that they are brittle: one that has to reject more requests in
// a second than it states falls over, and the requests that run there are lost. Such a service may queue less than
// before, so what was learnt of its capacity does not count meanwhile. The holder of each upstream admits the requests of
// all instances: no more than run at once, and none for a while after the upstream had to reject some.

const (
	// brittleTTL is how long a statement counts. Every response of an upstream repeats or ends it, but an instance may get
	// none for some time.
	brittleTTL = 10 * time.Second
	// ownBrittleTTL is how long a response that this instance got counts more than what the others state.
	ownBrittleTTL = 2 * time.Second
	// grantTime is how long a request that was admitted counts as in flight before its instance has reported it.
	grantTime = 25 * time.Millisecond
	// rejectionWindow is the time over which rejections are counted.
	rejectionWindow = time.Second
	// rejectionFraction is the fraction of the stated rejections from which on a holder admits none for a while. The rest
	// is for requests that are on their way, and for instances that do not know yet.
	rejectionFraction = 0.5
	// brittleWait is when a request is worth another try if the upstream has no room, and rejectionWait the same if it had
	// to reject requests.
	brittleWait   = 20 * time.Millisecond
	rejectionWait = 250 * time.Millisecond
)

// Brittleness is what the upstreams of a service state of themselves.
type Brittleness struct {
	// Brittle: one that rejects more than Rejections requests in a second falls over.
	Brittle    bool
	Rejections int
}

// statedBrittleness is a statement, and when it was made.
type statedBrittleness struct {
	Brittleness
	at time.Time
}

// brittleUpstream is what the holder of an upstream, and each instance, knows about requests that it may reject.
type brittleUpstream struct {
	// granted is when requests were admitted that may not have been reported yet. It is used at the holder.
	granted []time.Time
	// rejected is when the upstream rejected requests of this instance, within the window.
	rejected []time.Time
	// fullUntil is when its holder is expected to admit another request, by the last refusal.
	fullUntil time.Time
}

// RecordBrittleness records what a response of an upstream of the service states, and reports whether that is news.
func (p *Pool) RecordBrittleness(now time.Time, service string, stated Brittleness) (news bool) {
	p.prepare()
	stats := p.statsOf(service)
	news = p.Brittleness(now, service) != stated
	stats.brittle = statedBrittleness{Brittleness: stated, at: now}
	return news
}

// RecordPeerBrittleness records which services another instance states to be brittle.
func (p *Pool) RecordPeerBrittleness(now time.Time, brittle map[string]Brittleness) {
	p.prepare()
	for service, stated := range brittle {
		p.statsOf(service).peerBrittle = statedBrittleness{Brittleness: stated, at: now}
	}
}

// OwnBrittleness lists the services whose upstreams have stated to this instance that they are brittle.
func (p *Pool) OwnBrittleness(now time.Time) map[string]Brittleness {
	list := make(map[string]Brittleness)
	for service, stats := range p.stats {
		if stats.brittle.Brittle && now.Sub(stats.brittle.at) < brittleTTL {
			list[service] = stats.brittle.Brittleness
		}
	}
	return list
}

// Brittleness returns whether the upstreams of a service are brittle: by the last response, or by the other instances if
// this one has had none lately.
func (p *Pool) Brittleness(now time.Time, service string) Brittleness {
	stats := p.statsOf(service)
	own, peer := stats.brittle, stats.peerBrittle
	switch {
	case now.Sub(own.at) < ownBrittleTTL, own.Brittle && now.Sub(own.at) < brittleTTL:
		return own.Brittleness
	case now.Sub(peer.at) < brittleTTL:
		return peer.Brittleness
	}
	return Brittleness{}
}

// isBrittleFull reports whether a brittle upstream has no room, as far as this instance knows.
func (p *Pool) isBrittleFull(now time.Time, u *upstream, brittle Brittleness) bool {
	load := p.load(now, u)
	return now.Before(u.brittle.fullUntil) || load.Running >= u.slots() || load.Rejected >= brittle.maxRejections()
}

// maxRejections is how many rejections in a second stop further requests.
func (b Brittleness) maxRejections() int {
	return max(int(rejectionFraction*float64(b.Rejections)), 1)
}

// AdmitBrittle admits a request at an upstream that this instance holds if the upstream is not brittle or has room. If not,
// it returns when it may have.
func (p *Pool) AdmitBrittle(now time.Time, id string) (retryAfter time.Duration, admitted bool) {
	u := p.upstreams[id]
	if u == nil {
		return 0, true
	}
	brittle := p.Brittleness(now, u.declared.Service)
	if !brittle.Brittle {
		return 0, true
	}
	u.brittle.granted = since(u.brittle.granted, now.Add(-grantTime))
	total := p.Total(now, id)
	switch {
	case total.Rejected >= brittle.maxRejections():
		return rejectionWait, false
	case total.Running+len(u.brittle.granted) >= u.slots():
		return brittleWait, false
	}
	u.brittle.granted = append(u.brittle.granted, now)
	return 0, true
}

// RecordBrittleRefusal records that the holder of a brittle upstream admits no request until retryAfter has passed.
func (p *Pool) RecordBrittleRefusal(now time.Time, id string, retryAfter time.Duration) {
	if u := p.upstreams[id]; u != nil {
		u.brittle.fullUntil = now.Add(retryAfter)
	}
}

// recordRejection records that an upstream has rejected a request of this instance.
func (p *Pool) recordRejection(now time.Time, u *upstream) {
	u.brittle.rejected = append(u.brittle.rejected, now)
	u.own.Rejected = len(u.brittle.rejected)
	p.activate(u)
}

// dropOldRejections removes rejections of this instance's requests that are older than the window.
func (p *Pool) dropOldRejections(now time.Time) {
	for u := range p.active {
		if len(u.brittle.rejected) > 0 {
			u.brittle.rejected = since(u.brittle.rejected, now.Add(-rejectionWindow))
			u.own.Rejected = len(u.brittle.rejected)
		}
	}
}

// since returns the times after a limit, from a list in order.
func since(times []time.Time, limit time.Time) []time.Time {
	for len(times) > 0 && !times[0].After(limit) {
		times = times[1:]
	}
	return times
}
