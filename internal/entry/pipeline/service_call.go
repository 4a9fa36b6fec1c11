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

// service_call.go takes one call of a plain service through its stages. A call that may not be repeated
// is claimed first and sent at most once, whatever happens to its caller, to this instance or to the
// answer.

const (
	// claimWithin bounds how long a claim may take. Past it the call is refused, not run: the store is
	// down or slow, and the caller is better told at once.
	claimWithin = 3 * time.Second
	// recordWithin bounds how long the answer waits for its outcome to be recorded; after that it is
	// recorded behind the caller's back.
	recordWithin = 500 * time.Millisecond
)

// Call calls a plain service.
func (p *Pipeline) Call(
	ctx context.Context, identity api.Identity, call api.ServiceCall,
) (answer service.Response, err error) {
	began := time.Now()
	defer func() { p.finishedCall(identity, call, began, err) }()
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
	current, err := p.stillServed(identity)
	if err != nil {
		return resource.Service{}, err
	}
	target, err := serviceOf(current, identity, name)
	if err != nil {
		return target, err
	}
	return p.withoutLeaving(target)
}

// withoutLeaving leaves out the addresses that are leaving. A call sent to one of them may be cut when it
// goes, and one that may not be repeated then has an outcome that nobody knows.
func (p *Pipeline) withoutLeaving(target resource.Service) (resource.Service, error) {
	target.Addresses = slices.DeleteFunc(slices.Clone(target.Addresses), p.IsLeaving)
	if len(target.Addresses) == 0 {
		return target, refusal.New(refusal.ServiceUnavailable, "all addresses of the service are leaving").
			WithRetryAfter(time.Second)
	}
	return target, nil
}

func serviceOf(current configuration.Configuration, identity api.Identity, name string) (resource.Service, error) {
	target, found := current.Service(name)
	if !found || !allowed(target.Workspaces, identity.Workspace) {
		return resource.Service{}, refusal.New(refusal.ServiceNotFound, "there is no service "+name)
	}
	return target, nil
}

// callRepeatable tries the service's addresses in a random order until one answers.
func (p *Pipeline) callRepeatable(
	ctx context.Context, identity api.Identity, target resource.Service, call service.Call,
) (answer service.Response, err error) {
	ctx, leave := p.RunningRequests.enter(ctx, identity)
	defer leave()
	p.State.WithLock(func(a *SharedState) {
		a.Retries.CountFirstTry()
	})
	unanswered := refusal.New(refusal.ServiceUnavailable, "no address of the service answers").
		WithRetryAfter(time.Second)
	for i, at := range rand.Perm(len(target.Addresses)) {
		if i > 0 && !p.mayRetry() {
			break
		}
		if _, err := p.stillServed(identity); err != nil {
			return service.Response{}, refusal.From(err).WithRun(unanswered.Run())
		}
		outcome := p.Services.Do(ctx, target.Addresses[at], call)
		if ran, ok := outcome.(service.Ran); ok {
			return ran.Response, nil
		}
		if ctx.Err() != nil {
			return service.Response{}, ended(ctx, refusal.Unknown)
		}
		if _, unknown := outcome.(service.Unknown); unknown {
			unanswered = unanswered.WithRun(refusal.Unknown)
		}
	}
	return service.Response{}, unanswered
}

// callOnce claims the call's idempotency key and sends the call once.
func (p *Pipeline) callOnce(
	ctx context.Context, identity api.Identity, target resource.Service, call service.Call,
) (service.Response, error) {
	if call.IdempotencyKey == "" {
		return service.Response{}, refusal.New(refusal.IdempotencyKeyMissing,
			"a call that may not be repeated needs the header Idempotency-Key")
	}
	claiming, cancel := context.WithTimeout(ctx, claimWithin)
	defer cancel()
	body := claim.BodyHash(call.Method, target.Meta.Name+call.Path+"?"+call.RawQuery, call.Body)
	decision, err := p.Claims.Claim(claiming, identity.Workspace, call.IdempotencyKey, body)
	if err != nil {
		return service.Response{}, storeUnavailable(time.Second)
	}
	switch d := decision.(type) {
	case claim.Proceed:
		return p.sendOnce(ctx, identity, target, call, d.Ticket)
	case claim.Replay:
		return replayed(d)
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

// replayed answers a repeated call with what the first one answered.
func replayed(d claim.Replay) (service.Response, error) {
	if !d.Kept {
		return service.Response{}, refusal.New(refusal.IdempotencyKeyReused,
			"the call ran; its answer was too large to be kept").WithRun(refusal.Ran)
	}
	answer := service.Response{Status: d.Response.Status, Body: d.Response.Body, Header: map[string][]string{}}
	answer.Header.Set("Content-Type", d.Response.ContentType)
	answer.Header.Set("Idempotency-Replayed", "true")
	return answer, nil
}

// sendOnce sends a claimed call. The caller may go away meanwhile: the call is finished all the same,
// so that its outcome is known when the caller asks again.
func (p *Pipeline) sendOnce(
	ctx context.Context, identity api.Identity, target resource.Service, call service.Call, ticket *claim.Ticket,
) (service.Response, error) {
	target, err := p.mayDispatch(identity, target.Meta.Name, ticket)
	if err != nil {
		p.record(ticket.NotRun)
		return service.Response{}, err
	}
	address := target.Addresses[rand.IntN(len(target.Addresses))]
	switch o := p.Services.Do(context.WithoutCancel(ctx), address, call).(type) {
	case service.Ran:
		p.record(func(ctx context.Context) error {
			return ticket.Ran(ctx, claim.Response{
				Status:      o.Response.Status,
				ContentType: o.Response.Header.Get("Content-Type"),
				Body:        o.Response.Body,
			})
		})
		return o.Response, nil
	case service.NotRun:
		p.record(ticket.NotRun)
		return service.Response{}, refusal.New(refusal.ServiceUnavailable, "the service cannot be reached").
			WithRetryAfter(time.Second)
	default:
		p.record(ticket.Unknown)
		return service.Response{}, refusal.New(refusal.OutcomeUnknown,
			"the service did not answer; whether the call ran is not known")
	}
}

// mayDispatch is the last check before the first byte goes out. It gives the service as it is declared
// now, since its addresses may have changed while the call was claimed.
func (p *Pipeline) mayDispatch(
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

func (p *Pipeline) record(write func(ctx context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), recordWithin)
	defer cancel()
	if err := write(ctx); err != nil {
		p.Log.Warn().Err(err).Msg("OutcomeRecordedLater")
	}
}

func (p *Pipeline) finishedCall(identity api.Identity, call api.ServiceCall, began time.Time, err error) {
	event := p.Log.Info()
	if err != nil {
		refused := refusal.From(err)
		event = p.Log.Warn().Str("Code", string(refused.Code())).Str("Run", string(refused.Run()))
	}
	event.Str("RequestId", call.Call.ID).Str("Workspace", identity.Workspace).
		Str("Service", call.Service).Str("Method", call.Call.Method).
		Dur("Took", time.Since(began)).Msg("ServiceCall")
	p.Scope.Counter("service_calls").Inc(1)
}
