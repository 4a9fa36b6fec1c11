package pipeline

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"lacewingrock.example/lacewingrock/internal/admission/claim"
	"lacewingrock.example/lacewingrock/internal/caller/api"
	"lacewingrock.example/lacewingrock/internal/caller/refusal"
	"lacewingrock.example/lacewingrock/internal/catalog/configuration"
	"lacewingrock.example/lacewingrock/internal/catalog/resource"
	"lacewingrock.example/lacewingrock/internal/upstream/service"
)

// service_call.go runs one call to a plain service through its stages. A call that may not be repeated is claimed
// first and sent at most once, even if its caller disconnects, this instance fails or the response is lost.

const (
	// claimTimeout bounds a claim. When it expires, the store is down or slow, and the call is refused without
	// being run, so that the caller does not wait for the store.
	claimTimeout = 3 * time.Second
	// recordTimeout bounds how long the response is delayed until its outcome is recorded; after that the outcome
	// is recorded in the background.
	recordTimeout = 500 * time.Millisecond
)

// Call calls a plain service.
func (p *Pipeline) Call(
	ctx context.Context, identity api.Identity, call api.ServiceCall,
) (response service.Response, err error) {
	startedAt := time.Now()
	defer func() { p.reportServiceCall(identity, call, startedAt, err) }()
	target, err := p.resolveService(identity, call.Service)
	if err != nil {
		return service.Response{}, err
	}
	if slices.Contains(target.Repeatable, call.Call.Method) {
		return p.callRepeatable(ctx, identity, target, call.Call)
	}
	return p.callOnce(ctx, identity, target, call.Call)
}

func (p *Pipeline) resolveService(identity api.Identity, name string) (resource.Service, error) {
	current, err := p.checkIdentity(identity)
	if err != nil {
		return resource.Service{}, err
	}
	target, err := findService(current, identity, name)
	if err != nil {
		return target, err
	}
	return p.excludeLeaving(target)
}

// excludeLeaving removes the addresses that are leaving. A call to one of them may be cut when the machine stops,
// and the outcome of a call that may not be repeated would then be unknown.
func (p *Pipeline) excludeLeaving(target resource.Service) (resource.Service, error) {
	target.Addresses = slices.DeleteFunc(slices.Clone(target.Addresses), p.IsLeaving)
	if len(target.Addresses) == 0 {
		return target, refusal.New(refusal.ServiceUnavailable, "all addresses of the service are leaving").
			WithRetryAfter(time.Second)
	}
	return target, nil
}

func findService(current configuration.Configuration, identity api.Identity, name string) (resource.Service, error) {
	target, found := current.Service(name)
	if !found || !workspaceAllowed(target.Workspaces, identity.Workspace) {
		return resource.Service{}, refusal.New(refusal.ServiceNotFound, "there is no service "+name)
	}
	return target, nil
}

// callOnce claims the call's idempotency key and sends the call at most once.
func (p *Pipeline) callOnce(
	ctx context.Context, identity api.Identity, target resource.Service, call service.Call,
) (service.Response, error) {
	if call.IdempotencyKey == "" {
		return service.Response{}, refusal.New(refusal.IdempotencyKeyMissing,
			"a call that may not be repeated needs the header Idempotency-Key")
	}
	claimCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	body := claim.BodyHash(call.Method, target.Meta.Name+call.Path+"?"+call.RawQuery, call.Body)
	decision, err := p.Claims.Claim(claimCtx, identity.Workspace, call.IdempotencyKey, body)
	if err != nil {
		return service.Response{}, storeUnavailable(time.Second)
	}
	switch d := decision.(type) {
	case claim.Proceed:
		return p.sendOnce(ctx, identity, target, call, d.Ticket)
	case claim.Replay:
		return replayedResponse(d)
	case claim.InProgress:
		return service.Response{}, refusal.New(refusal.InProgress, "a call with this idempotency key is running").
			WithRetryAfter(d.RetryAfter)
	case claim.OutcomeUnknown:
		return service.Response{}, refusal.New(refusal.OutcomeUnknown,
			"a call with this idempotency key may have run; its outcome is not known")
	case claim.BodyMismatch:
		return service.Response{}, refusal.New(refusal.IdempotencyKeyReused,
			"this idempotency key was used for another call")
	case claim.Refuse:
		return service.Response{}, storeUnavailable(d.RetryAfter)
	}
	return service.Response{}, refusal.New(refusal.Internal, "unknown decision")
}

func storeUnavailable(retryAfter time.Duration) refusal.Refusal {
	return refusal.New(refusal.StoreUnavailable, "the call could not be claimed; it was not run").
		WithRetryAfter(retryAfter)
}

// replayedResponse returns the recorded response of the first call to a repeated one.
func replayedResponse(d claim.Replay) (service.Response, error) {
	if !d.Kept {
		return service.Response{}, refusal.New(refusal.IdempotencyKeyReused,
			"the call ran; its answer was too large to be kept").WithRun(refusal.Ran)
	}
	response := service.Response{Status: d.Response.Status, Body: d.Response.Body, Header: map[string][]string{}}
	response.Header.Set("Content-Type", d.Response.ContentType)
	response.Header.Set("Idempotency-Replayed", "true")
	return response, nil
}

// sendOnce sends a claimed call. The call is completed even if the caller disconnects, so that its outcome is known
// when the caller repeats it.
func (p *Pipeline) sendOnce(
	ctx context.Context, identity api.Identity, target resource.Service, call service.Call, ticket *claim.Ticket,
) (service.Response, error) {
	target, err := p.checkDispatch(identity, target.Meta.Name, ticket)
	if err != nil {
		p.recordClaimOutcome(ticket.NotRun)
		return service.Response{}, err
	}
	address := target.Addresses[rand.IntN(len(target.Addresses))]
	switch o := p.Services.Do(context.WithoutCancel(ctx), address, call).(type) {
	case service.Ran:
		p.recordClaimOutcome(func(ctx context.Context) error {
			return ticket.Ran(ctx, claim.Response{
				Status:      o.Response.Status,
				ContentType: o.Response.Header.Get("Content-Type"),
				Body:        o.Response.Body,
			})
		})
		return o.Response, nil
	case service.NotRun:
		p.recordClaimOutcome(ticket.NotRun)
		return service.Response{}, refusal.New(refusal.ServiceUnavailable, "the service cannot be reached").
			WithRetryAfter(time.Second)
	default:
		p.recordClaimOutcome(ticket.Unknown)
		return service.Response{}, refusal.New(refusal.OutcomeUnknown,
			"the service did not answer; whether the call ran is not known")
	}
}

// checkDispatch is the last check before the first byte is sent. It returns the service as currently declared,
// because its addresses may have changed while the call was being claimed.
func (p *Pipeline) checkDispatch(
	identity api.Identity, name string, ticket *claim.Ticket,
) (target resource.Service, err error) {
	target, err = p.resolveService(identity, name)
	if err != nil {
		return target, err
	}
	if err := ticket.Dispatch(); err != nil {
		return target, storeUnavailable(time.Second)
	}
	return target, nil
}

func (p *Pipeline) recordClaimOutcome(write func(ctx context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	if err := write(ctx); err != nil {
		p.Log.Warn().Err(err).Msg("OutcomeRecordedLater")
	}
}

func (p *Pipeline) reportServiceCall(identity api.Identity, call api.ServiceCall, startedAt time.Time, err error) {
	event := p.Log.Info()
	if err != nil {
		refused := refusal.From(err)
		event = p.Log.Warn().Str("Code", string(refused.Code())).Str("Run", string(refused.Run()))
	}
	event.Str("RequestId", call.Call.ID).Str("Workspace", identity.Workspace).
		Str("Service", call.Service).Str("Method", call.Call.Method).
		Dur("Took", time.Since(startedAt)).Msg("ServiceCall")
	p.Scope.Counter("service_calls").Inc(1)
}
