package node

import (
	"context"
	"sync"
	"time"

	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/fleet/roster"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/placement/origin"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
	"lacewingrock.example/lacewingrock/internal/timing/pause"
)

// stream_origins.go keeps where streams began, also for peers. A caller resumes its stream at any instance, and often
// because the instance that began it is gone. So each record is sent to some peers that rank highest for the stream by
// rendezvous hashing, where the others find it. As long as this instance can prove that a service has one software version
// only, nothing is sent.

const (
	// recordKeepers is the number of peers that keep a record in a large fleet. One of them may be lost together with the
	// sender.
	recordKeepers = 2
	// maxFullKeepers is the number of peers up to which all of them keep each record, so that any one instance that is left
	// has it. In a larger fleet the messages would grow with the square of its size.
	maxFullKeepers = 9
	// furtherAsked is by how many more peers are asked for a record than keep it, because instances may differ in which peers
	// are alive.
	furtherAsked = 1
	// keepTimeout bounds the sending of records to a peer.
	keepTimeout = 400 * time.Millisecond
	// findTimeout bounds one round of questions. An answer takes a few milliseconds.
	findTimeout = 100 * time.Millisecond
	// handOverInterval is how often a planned stop checks whether all records are sent.
	handOverInterval = 5 * time.Millisecond
)

// findPauses are the pauses before the rounds of questions for a record. In the first milliseconds it may be on its way,
// and an instance that has just started needs some time until it knows its peers.
var findPauses = []time.Duration{0, 30 * time.Millisecond, 150 * time.Millisecond}

// streamOrigins is safe for concurrent use.
type streamOrigins struct {
	mutex     sync.Mutex
	records   origin.Records
	lifetimes origin.Lifetimes
	// own are the lifetimes of the streams that this instance has begun and whose callers state how long they wait.
	own origin.Lifetimes
	// senders send records, one for each peer to which some are due.
	senders map[string]*recordSender
}

// setLifetime records the lifetime of streams that begin from now on.
func (o *streamOrigins) setLifetime(now time.Time, lifetime time.Duration) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.lifetimes.Set(now, lifetime)
}

// extendLifetime records that streams with a lifetime may have begun until now.
func (o *streamOrigins) extendLifetime(now time.Time, lifetime time.Duration) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.lifetimes.Extend(now, lifetime)
}

// extendOwnLifetime records that this instance has begun a stream with a lifetime, and reports whether none of the streams
// that may still be resumed, here or at peers, was known to live as long.
func (o *streamOrigins) extendOwnLifetime(now time.Time, lifetime time.Duration) (longest bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	longest = lifetime > o.lifetimes.Longest(now)
	if lifetime > o.lifetimes.Current() {
		o.own.Extend(now, lifetime)
		o.lifetimes.Extend(now, lifetime)
	}
	return longest
}

// ownLifetime returns the longest lifetime of the streams that this instance has begun; 0 if it is that of the configuration.
func (o *streamOrigins) ownLifetime(now time.Time) time.Duration {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.own.Longest(now)
}

// updateRetention keeps records for the longest lifetime of a stream that may still be resumed, and returns it.
func (o *streamOrigins) updateRetention(now time.Time) time.Duration {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.records.Retention = o.lifetimes.Longest(now)
	return o.records.Retention
}

// updateStreamLifetime bounds by time what may have begun the streams that callers still resume: the records and the
// history of software versions.
func (n *Node) updateStreamLifetime(now time.Time) (lifetime time.Duration) {
	n.sharedState.WithLock(func(state *serve.SharedState) {
		lifetime = n.origins.updateRetention(now)
		state.Pool.Settings.StreamLifetime = lifetime
	})
	return lifetime
}

// extendStreamLifetime records that streams with a lifetime may have begun until now, as the record of a service in the store
// says. An instance that has just started knows only the configuration in force, which may have shortened it.
func (n *Node) extendStreamLifetime(now time.Time, lifetime time.Duration) {
	n.origins.extendLifetime(now, lifetime)
	n.updateStreamLifetime(now)
}

func (o *streamOrigins) addOwn(now time.Time, stream origin.Stream, began origin.Origin) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.records.AddOwn(now, stream, began)
}

func (o *streamOrigins) add(now time.Time, records []origin.Record) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, record := range records {
		o.records.Add(now, record)
	}
}

func (o *streamOrigins) find(now time.Time, stream origin.Stream) (origin.Record, bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.records.Find(now, stream)
}

func (o *streamOrigins) all(now time.Time) []origin.Record {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.records.All(now)
}

func (o *streamOrigins) isSending() bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return len(o.senders) > 0
}

func (o *streamOrigins) unsentServices() []string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.records.UnsentServices()
}

func (o *streamOrigins) takeUnsent(now time.Time, service string) []origin.Record {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.records.TakeUnsent(now, service)
}

// RecordOrigin keeps where a stream of this instance began. The first event does not wait until peers have the record:
// if this instance ends within about a millisecond, the stream's origin is unknown, and its caller is refused. The caller
// may resume the stream for callerTimeout from its request on, which may be longer than its route allows; 0 if it has not
// stated that.
func (n *Node) RecordOrigin(stream origin.Stream, began origin.Origin, callerTimeout time.Duration) {
	now := time.Now()
	if n.origins.extendOwnLifetime(now, origin.LifetimeOf(callerTimeout)) {
		lifetime := n.updateStreamLifetime(now)
		n.Log.Info().Str("Stream", stream.ID).Int64("CallerTimeoutMillis", callerTimeout.Milliseconds()).
			Int64("StreamLifetimeMillis", lifetime.Milliseconds()).Msg("StreamLifetimeExtended")
		n.overlay.requestStateSend() // the others must not prove a version by a shorter history
	}
	n.origins.addOwn(now, stream, began)
	n.storedOrigins.add(now, stream, began)
	n.sendOrigins(began.Service)
}

// sendUnsentOrigins sends the records that became necessary since they were made, as another version has appeared, or for
// which there was no live peer.
func (n *Node) sendUnsentOrigins() {
	for _, service := range n.origins.unsentServices() {
		n.sendOrigins(service)
	}
}

// sendOrigins sends the records of a service to the peers that keep them, unless this instance knows one version only.
// Without a live peer they wait. An outage of the store alone makes none of them necessary, and sending them would load
// the whole fleet when it begins.
func (n *Node) sendOrigins(service string) {
	if _, sole := n.soleSoftware(service); sole || len(n.keepers(origin.Stream{}, 1, "")) == 0 {
		return
	}
	for _, record := range n.origins.takeUnsent(time.Now(), service) {
		for _, keeper := range n.keepers(record.Stream, n.keeperCount(), "") {
			n.origins.send(n, keeper, record)
		}
	}
}

// keeperCount returns the number of peers that keep a record.
func (n *Node) keeperCount() int {
	if peers := n.overlay.peerCount(); peers <= maxFullKeepers {
		return max(peers, recordKeepers)
	}
	return recordKeepers
}

// handOverOrigins sends the records that this instance keeps to other peers, before it ends: in a rolling restart all
// that keep a record would be gone within the time of a stream.
func (n *Node) handOverOrigins(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	sent := 0
	for _, record := range n.origins.all(time.Now()) {
		if _, sole := n.soleSoftware(record.Origin.Service); sole {
			continue
		}
		sent++
		for _, keeper := range n.keepers(record.Stream, n.keeperCount(), "") {
			n.origins.send(n, keeper, record)
		}
	}
	for n.origins.isSending() && pause.For(ctx, handOverInterval) {
		continue
	}
	n.Log.Info().Int("Records", sent).Bool("Complete", !n.origins.isSending()).Msg("StreamRecordsHandedOver")
}

// provenSoftware returns the only software version that can have served since a stream that is resumed now may have
// begun, if this instance can prove that.
func (n *Node) provenSoftware(service string) (sole pool.SoleSoftware, proven bool) {
	if service == "" || !n.isViewCurrent() {
		return pool.SoleSoftware{}, false
	}
	return n.soleSoftware(service)
}

// soleSoftware returns the only software version that this instance has known a service to have for the time of a stream.
func (n *Node) soleSoftware(service string) (sole pool.SoleSoftware, known bool) {
	n.sharedState.WithLock(func(state *serve.SharedState) { sole, known = state.Pool.SoleSoftware(time.Now(), service) })
	return sole, known
}

func (n *Node) adoptSoftware(sole pool.SoleSoftware) {
	n.sharedState.WithLock(func(state *serve.SharedState) { state.Pool.AdoptSoftware(time.Now(), sole) })
}

// keepers returns the live peers that rank highest for a stream, without one that has just failed. Peers that have left the
// roster come last: they are about to stop, unless the store is away.
func (n *Node) keepers(stream origin.Stream, count int, failed string) (keepers []roster.Instance) {
	n.view.mutex.Lock()
	defer n.view.mutex.Unlock()
	joined := func(name string) bool {
		_, found := n.view.roster.Instance(name)
		return found
	}
	for _, peer := range n.overlay.topPeers(time.Now(), stream.Workspace+"\x00"+stream.ID, count, failed, joined) {
		keepers = append(keepers, peer.instance)
	}
	return keepers
}

// -----------------------------------------------------------------------------------------------

// recordSender sends records to one peer, until none are due.
type recordSender struct {
	node   *Node
	keeper roster.Instance
	due    []dueRecord
}

// dueRecord is a record to send. again: another peer has failed to take it.
type dueRecord struct {
	record origin.Record
	again  bool
}

// send has a record sent to a peer. While one message is on its way, further records are collected for the next.
func (o *streamOrigins) send(n *Node, keeper roster.Instance, record origin.Record) {
	o.sendDue(n, keeper, dueRecord{record: record})
}

func (o *streamOrigins) sendDue(n *Node, keeper roster.Instance, due dueRecord) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if sender := o.senders[keeper.Name]; sender != nil {
		sender.due = append(sender.due, due)
		return
	}
	if o.senders == nil {
		o.senders = make(map[string]*recordSender)
	}
	sender := &recordSender{node: n, keeper: keeper, due: []dueRecord{due}}
	o.senders[keeper.Name] = sender
	go sender.run()
}

func (s *recordSender) run() {
	for {
		due := s.take()
		if len(due) == 0 {
			return
		}
		s.sendAll(due)
	}
}

// take returns what is due, and removes the sender if nothing is.
func (s *recordSender) take() (due []dueRecord) {
	origins := &s.node.origins
	origins.mutex.Lock()
	defer origins.mutex.Unlock()
	due, s.due = s.due, nil
	if len(due) == 0 {
		delete(origins.senders, s.keeper.Name)
	}
	return due
}

// sendAll sends records, and sends them to other peers if this one does not take them.
func (s *recordSender) sendAll(due []dueRecord) {
	n := s.node
	ctx, cancel := context.WithTimeout(context.Background(), keepTimeout)
	defer cancel()
	records := make([]origin.Record, 0, len(due))
	for _, one := range due {
		records = append(records, one.record)
	}
	proofs, err := n.peers.KeepStreams(ctx, s.keeper.Address, records)
	for _, sole := range proofs {
		n.adoptSoftware(sole)
	}
	if err == nil {
		return
	}
	n.Log.Warn().Str("Peer", s.keeper.Name).Int("Records", len(records)).Err(err).Msg("StreamRecordsNotKept")
	for _, one := range due {
		if one.again {
			continue
		}
		for _, keeper := range n.keepers(one.record.Stream, recordKeepers, s.keeper.Name) {
			n.origins.sendDue(n, keeper, dueRecord{record: one.record, again: true})
		}
	}
}

// -----------------------------------------------------------------------------------------------

// FindOrigin returns where a stream began that a caller resumes. service is the only one that it can belong to; empty if
// there are several.
func (n *Node) FindOrigin(ctx context.Context, stream origin.Stream, service string) origin.Finding {
	if !stream.IsValid() {
		stream = origin.Stream{}
	}
	if record, found := n.origins.find(time.Now(), stream); found {
		return n.findingOf(record, service, origin.SourceOwn)
	}
	for _, wait := range findPauses {
		if finding := n.findProof(service); finding.Source == origin.SourceProof {
			return finding
		}
		if !stream.IsValid() && wait > 0 || !pause.For(ctx, wait) {
			break // there is no record of such a stream, only proofs
		}
		if record, found := n.askKeepers(ctx, mesh.StreamQuestion{Stream: stream, Service: service}); found {
			n.origins.add(time.Now(), []origin.Record{record})
			return n.findingOf(record, service, origin.SourcePeer)
		}
	}
	return n.findProof(service)
}

// findingOf returns what a record says. If that is no version, a proof may still say which.
func (n *Node) findingOf(record origin.Record, service string, source origin.Source) origin.Finding {
	doubtful := false
	n.sharedState.WithLock(func(state *serve.SharedState) { doubtful = state.Pool.IsOriginDoubtful(time.Now(), record) })
	if doubtful || record.Origin.Software == "" {
		return n.findProof(service)
	}
	return origin.Finding{Origin: record.Origin, Source: source}
}

// findProof returns the only version that can have served, if there is a proof.
func (n *Node) findProof(service string) origin.Finding {
	sole, proven := n.provenSoftware(service)
	if !proven {
		return origin.Finding{Source: origin.SourceNone}
	}
	return origin.Finding{Origin: origin.Origin{Service: service, Software: sole.Software}, Source: origin.SourceProof}
}

// askKeepers asks the peers that may keep the record of a stream, all at the same time, and adopts what they can prove of
// the service.
func (n *Node) askKeepers(ctx context.Context, question mesh.StreamQuestion) (record origin.Record, found bool) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	keepers := n.keepers(question.Stream, n.keeperCount()+furtherAsked, "")
	answers := make(chan mesh.StreamAnswer, len(keepers))
	for _, keeper := range keepers {
		asker := keeperAsker{node: n, keeper: keeper, question: question, answers: answers}
		go asker.run(ctx)
	}
	for range keepers {
		answer := <-answers
		if answer.Found {
			return answer.Record, true
		}
		if answer.Proven {
			n.adoptSoftware(answer.Sole)
		}
	}
	return origin.Record{}, false
}

// keeperAsker asks one peer. An error counts as an answer that knows nothing.
type keeperAsker struct {
	node     *Node
	keeper   roster.Instance
	question mesh.StreamQuestion
	answers  chan<- mesh.StreamAnswer
}

func (a keeperAsker) run(ctx context.Context) {
	answer, err := a.node.peers.FindStream(ctx, a.keeper.Address, a.question)
	if err != nil && ctx.Err() == nil {
		a.node.Log.Warn().Str("Peer", a.keeper.Name).Err(err).Msg("StreamNotAskedFor")
	}
	a.answers <- answer
}

// KeepStreams keeps records for a peer.
func (n *Node) KeepStreams(records []origin.Record) (proofs []pool.SoleSoftware) {
	n.origins.add(time.Now(), records)
	asked := make(map[string]bool)
	for _, record := range records {
		if asked[record.Origin.Service] {
			continue
		}
		asked[record.Origin.Service] = true
		if sole, proven := n.provenSoftware(record.Origin.Service); proven {
			proofs = append(proofs, sole)
		}
	}
	return proofs
}

// FindStream answers a peer whose caller resumes a stream.
func (n *Node) FindStream(question mesh.StreamQuestion) (answer mesh.StreamAnswer) {
	answer.Record, answer.Found = n.origins.find(time.Now(), question.Stream)
	answer.Sole, answer.Proven = n.provenSoftware(question.Service)
	return answer
}
