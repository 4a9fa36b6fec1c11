// Package origin keeps where streams began. What two versions of an upstream's software write does not fit together, so a
// stream is resumed only at the version that began it, whatever instance its caller comes to. The package
// does no I/O; the caller reads the clock and passes the time in.
package origin

import (
	"time"
	"unicode/utf8"
)

// Stream identifies a stream by the request that brought its first event to the caller. A workspace finds only its own.
type Stream struct {
	Workspace string
	ID        string
}

// maxIDBytes bounds the id of a request whose stream is recorded. Real ids are far shorter.
const maxIDBytes = 200

// IsValid reports whether the stream can have been recorded.
func (s Stream) IsValid() bool {
	return s.ID != "" && len(s.ID) <= maxIDBytes && utf8.ValidString(s.ID) && utf8.ValidString(s.Workspace)
}

// Origin is where a stream began: at a version of the software of a service's upstreams.
type Origin struct {
	Service string
	// Software is empty if it is unknown. The stream is not resumed then.
	Software string
	// Upstream and StartedMillis, its start in Unix milliseconds, identify the life of the upstream.
	Upstream      string
	StartedMillis int64
}

// IsSameSoftware reports whether two origins are the same version of the same service.
func (o Origin) IsSameSoftware(other Origin) bool {
	return o.Service == other.Service && o.Software == other.Software
}

// Record is a stream and its origin. Age is the time since the first event.
type Record struct {
	Stream Stream
	Origin Origin
	Age    time.Duration
}

// Source is where an answer to the question for an origin comes from.
type Source string

// Sources of answers.
const (
	// SourceOwn: this instance sent the first event, or keeps the record for the instance that did.
	SourceOwn Source = "own"
	// SourcePeer: a peer keeps the record.
	SourcePeer Source = "peer"
	// SourceProof: there is no record, and only one version can have served since the stream may have begun.
	SourceProof Source = "proof"
	// SourceNone: the origin is unknown.
	SourceNone Source = "none"
)

// Finding is the answer to the question where a stream began. The origin is valid unless the source is SourceNone.
type Finding struct {
	Origin Origin
	Source Source
}
