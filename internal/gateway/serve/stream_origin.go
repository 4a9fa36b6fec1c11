package serve

import (
	"context"
	"time"

	"lacewingrock.example/lacewingrock/internal/caller/refusal"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/origin"
)

// stream_origin.go keeps a stream at the software version that began it: within its response, and when its caller resumes
// it.

// stream identifies a stream of the request's workspace.
func (j *job) stream(id string) origin.Stream {
	return origin.Stream{Workspace: j.workspace.Name, ID: id}
}

// recordOrigin records where the stream began, before its caller gets the first event of this response, and whether events
// of another software version follow.
func (j *job) recordOrigin(upstream traffic.Upstream) {
	if !j.begun {
		j.begun = true
		j.handler.State.WithLock(func(state *SharedState) { j.software = state.Pool.Software(time.Now(), upstream) })
	}
	if !j.recorded && j.route.IsResumable() {
		j.recorded = true
		j.handler.Fleet.RecordOrigin(j.stream(j.call.ID), origin.Origin{
			Service: j.service, Software: j.software, Upstream: upstream.ID, StartedMillis: upstream.StartedMillis,
		}, j.call.CallerTimeout)
	}
	if j.software != "" && j.software != upstream.Software && !j.mixed {
		j.mixed = true
		j.step("mixed").Str("Upstream", upstream.ID).Str("Software", upstream.Software).Str("Before", j.software).Msg("Decision")
	}
}

// bindResumed binds a request that resumes a stream to the service and the software version that began it. If they are not
// known, it is refused at once: the parts of two versions do not fit together, and nothing in them shows it.
func (j *job) bindResumed(ctx context.Context) error {
	if j.route.Execution != traffic.Streaming || j.call.LastEventID == "" {
		return nil
	}
	asked := time.Now()
	found := j.handler.Fleet.FindOrigin(ctx, j.stream(j.call.Resumes), j.route.SoleService())
	known := found.Source != origin.SourceNone && found.Origin.Software != "" && j.route.Serves(found.Origin.Service)
	j.step("resumed").Str("Resumes", j.call.Resumes).Str("LastEvent", j.call.LastEventID).Bool("Known", known).
		Str("From", string(found.Source)).Str("Service", found.Origin.Service).Str("Software", found.Origin.Software).
		Int64("TookMillis", time.Since(asked).Milliseconds()).Msg("Decision")
	j.handler.Scope.Tagged(map[string]string{"from": string(found.Source)}).Counter("stream_origins").Inc(1)
	if !known {
		return refusal.New(refusal.ServiceUnavailable, "the upstreams that can continue the stream are not known").
			WithRetryAfter(unreachableRetryAfter)
	}
	j.service = found.Origin.Service
	j.software = found.Origin.Software
	j.begun = true
	return nil
}
