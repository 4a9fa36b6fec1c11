package pipeline_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/admission/rate"
	"lacewingrock.example/lacewingrock/internal/caller/refusal"
	"lacewingrock.example/lacewingrock/internal/caller/stream"
	"lacewingrock.example/lacewingrock/internal/catalog/configuration"
	"lacewingrock.example/lacewingrock/internal/catalog/head"
	"lacewingrock.example/lacewingrock/internal/fleet/peer"
	"lacewingrock.example/lacewingrock/internal/placement/holder"
	"lacewingrock.example/lacewingrock/internal/placement/retry"
	"lacewingrock.example/lacewingrock/internal/platform/store"
	"lacewingrock.example/lacewingrock/internal/upstream/engine"
)

// runInBubble runs a test with one instance of a fleet of the given size, in a synctest bubble with its fake clock.
func runInBubble(t *testing.T, members int, test func(f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		test(newFixture(t, &store.Memory{}, members))
	})
}

// grantAfter delays the grant of a batch slot until event has returned, as a queue does.
func (f *fixture) grantAfter(event func()) {
	f.place = func(ctx context.Context, member head.Member, request peer.PlaceRequest) (peer.Placement, error) {
		startedAt := time.Now()
		event()
		placement, err := f.grant(ctx, member, request)
		granted, _ := placement.(peer.Granted)
		granted.WaitedQueue = time.Since(startedAt)
		return granted, err
	}
}

// An operator withdraws a key while one of its requests waits for a batch slot. Without a check the request would run
// up to half a minute later; it must be refused immediately and not run.
func TestKeyWithdrawnWhileQueued(t *testing.T) {
	runInBubble(t, 2, func(f *fixture) {
		f.place = func(ctx context.Context, _ head.Member, _ peer.PlaceRequest) (peer.Placement, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		startedAt := time.Now()
		time.AfterFunc(time.Second, f.withdraw)
		checkRefused(t, f.requestCompletion("bids", 10), refusal.KeyWithdrawn, refusal.NotRun)
		is := is.New(t)
		is.Equal(time.Since(startedAt), time.Second)
		is.Equal(len(f.dispatchedUpstreams()), 0)
	})
}

// The grant arrives just as the key is withdrawn. Only the check immediately before the dispatch can detect it.
func TestKeyWithdrawnBetweenGrantAndDispatch(t *testing.T) {
	runInBubble(t, 2, func(f *fixture) {
		f.place = func(ctx context.Context, member head.Member, request peer.PlaceRequest) (peer.Placement, error) {
			// The repository already has the withdrawal; the other components do not have it yet.
			key, _ := f.repository.Current().Configuration.Key(caller.Key)
			key.Withdrawn = true
			change := configuration.Change{configuration.Declare{Resource: key, Expected: configuration.AnyVersion}}
			_, err := f.repository.Apply(f.context, func(configuration.Configuration) (configuration.Change, error) {
				return change, nil
			})
			f.must(err)
			return f.grant(ctx, member, request)
		}
		checkRefused(t, f.requestCompletion("bids", 10), refusal.KeyWithdrawn, refusal.NotRun)
		synctest.Wait()
		is := is.New(t)
		is.Equal(len(f.dispatchedUpstreams()), 0)
		is.Equal(len(f.releasedPins()), 1)
	})
}

// A key is withdrawn while its request streams. Without a check the caller would receive the whole stream. The
// stream must be cut, and the refusal must not state "not run".
func TestKeyWithdrawnWhileStreaming(t *testing.T) {
	runInBubble(t, 2, func(f *fixture) {
		f.complete = func(ctx context.Context, sink engine.Sink) engine.Outcome {
			f.must(startStream(sink))
			<-ctx.Done()
			return engine.Cancelled{Tokens: 1, Err: context.Cause(ctx), StopConfirmed: true}
		}
		startedAt := time.Now()
		time.AfterFunc(time.Second, f.withdraw)
		checkRefused(t, f.requestCompletion("bids", 10), refusal.KeyWithdrawn, refusal.Unknown)
		is.New(t).Equal(time.Since(startedAt), time.Second)
	})
}

// The process is paused after its request was granted a batch slot. When it resumes, the configuration may have changed
// and the holder may have dropped the pin. A request sent then could run for a withdrawn key, or on an adapter
// version that is being evicted.
func TestPausedBetweenGrantAndDispatch(t *testing.T) {
	runInBubble(t, 2, func(f *fixture) {
		f.grantAfter(f.pause)
		checkRefused(t, f.requestCompletion("bids", 10), refusal.NotFresh, refusal.NotRun)
		synctest.Wait()
		is := is.New(t)
		is.Equal(len(f.dispatchedUpstreams()), 0)
		is.Equal(len(f.releasedPins()), 1)
	})
}

// An operator removes an adapter version while a request for it waits. The request must be served neither by the
// removed version nor by another one.
func TestVersionRemovedWhileQueued(t *testing.T) {
	runInBubble(t, 2, func(f *fixture) {
		f.grantAfter(func() {
			f.change(configuration.Change{configuration.Remove{
				ID: adapterVersion("2").ID(), Expected: configuration.AnyVersion,
			}})
		})
		checkRefused(t, f.requestCompletion("bids@2", 10), refusal.ModelNotFound, refusal.NotRun)
		is.New(t).Equal(len(f.dispatchedUpstreams()), 0)
	})
}

// An upstream is lost while it runs a request. Before the first token the request is retried at another upstream
// and succeeds. After it the request must not be retried: the caller has part of one response, and the tokens of
// another would not continue it.
func TestUpstreamLost(t *testing.T) {
	for _, afterFirstToken := range []bool{false, true} {
		runInBubble(t, 2, func(f *fixture) {
			is := is.New(t)
			f.complete = func(_ context.Context, sink engine.Sink) engine.Outcome {
				if len(f.dispatchedUpstreams()) > 1 {
					return completeStream(sink)
				}
				if !afterFirstToken {
					return engine.Unknown{EngineLost: true}
				}
				f.must(startStream(sink))
				return engine.Failed{Tokens: 1, EngineLost: true}
			}
			err := f.requestCompletion("bids", 10)
			if afterFirstToken {
				checkRefused(t, err, refusal.UpstreamFailed, refusal.Unknown)
				is.Equal(len(f.dispatchedUpstreams()), 1)
				return
			}
			is.NoErr(err)
			sent := f.dispatchedUpstreams()
			is.Equal(len(sent), 2)
			is.True(sent[0] != sent[1])
		})
	}
}

// An engine responds, but runs nothing any more: each request at it ends at its deadline. The router must learn of it, or
// the engine would be given one request after the other.
func TestSilentEngineIsAvoided(t *testing.T) {
	runInBubble(t, 2, func(f *fixture) {
		is := is.New(t)
		f.complete = func(ctx context.Context, sink engine.Sink) engine.Outcome {
			sent := f.dispatchedUpstreams()
			if sent[len(sent)-1] != sent[0] {
				return completeStream(sink)
			}
			<-ctx.Done()
			return engine.Cancelled{Err: context.Cause(ctx), StopConfirmed: true, EngineSilent: true}
		}
		const toNotice = 2
		for range toNotice {
			checkRefused(t, f.requestCompletion("bids", 10), refusal.Deadline, refusal.Unknown)
		}
		for range 10 {
			is.NoErr(f.requestCompletion("bids", 10))
		}
	})
}

// The first attempt of a request ends without a known outcome, and the second is refused. The first attempt may have
// run to completion. A caller that got "not run" would repeat the request, and it could run twice.
func TestRefusalAfterAttemptThatMayHaveRun(t *testing.T) {
	refusals := map[string]func(f *fixture){
		"busy": func(f *fixture) {
			f.place = func(context.Context, head.Member, peer.PlaceRequest) (peer.Placement, error) {
				return peer.Refused{Reason: holder.ReasonBusy}, nil
			}
		},
		"withdrawn": func(f *fixture) { f.withdraw() },
		"full":      func(f *fixture) {},
	}
	for name, event := range refusals {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, 2, func(f *fixture) {
				f.complete = func(context.Context, engine.Sink) engine.Outcome {
					if len(f.dispatchedUpstreams()) > 1 {
						return engine.Full{}
					}
					event(f)
					return engine.Unknown{StopConfirmed: true}
				}
				err := f.requestCompletion("bids", 10)
				is := is.New(t)
				is.True(err != nil)
				is.Equal(refusal.From(err).Run(), refusal.Unknown)
			})
		})
	}
}

// All upstreams fail. Retries add load when there is no capacity, and must not exceed a tenth of the requests.
func TestRetriesStayWithinTheirBudget(t *testing.T) {
	runInBubble(t, 2, func(f *fixture) {
		f.pipeline.State.Retries = retry.New(retry.DefaultRatio, retry.DefaultMaxUnused)
		f.complete = func(context.Context, engine.Sink) engine.Outcome { return engine.Unknown{StopConfirmed: true} }
		for range 100 {
			checkRefused(t, f.requestCompletion("bids", 1), refusal.UpstreamFailed, refusal.Unknown)
		}
		is := is.New(t)
		is.True(len(f.dispatchedUpstreams()) > 100)
		is.True(len(f.dispatchedUpstreams()) <= 110)
	})
}

// A request crashes each upstream that runs it, and its caller keeps repeating it. The engine may restart immediately
// and then correctly confirms that it does not run the request. Each crash also fails all other requests of the batch.
func TestCrashingRequestIsRefused(t *testing.T) {
	outcomes := map[string]engine.Outcome{
		"engine stays down":           engine.Unknown{EngineLost: true},
		"engine restarts immediately": engine.Unknown{EngineLost: true, StopConfirmed: true},
	}
	for name, crash := range outcomes {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, 2, func(f *fixture) {
				f.complete = func(context.Context, engine.Sink) engine.Outcome { return crash }
				var err error
				for range 10 {
					err = f.requestCompletion("bids", 10)
					time.Sleep(time.Second)
				}
				checkRefused(t, err, refusal.SuspectRefused, refusal.NotRun)
				is := is.New(t)
				is.Equal(len(f.dispatchedUpstreams()), 3)
				is.True(f.placeRequests[2].Request.Alone)
				is.Equal(f.crashNotices.Load(), int32(3)) // each crash is reported, so that no other instance runs the request
			})
		})
	}
}

// Ten copies of a request arrive at the same time, and nine of them are queued while the first crashes an upstream.
// If requests were checked only on arrival, each of the nine would crash another upstream.
func TestConcurrentCopiesOfCrashingRequest(t *testing.T) {
	runInBubble(t, 2, func(f *fixture) {
		f.complete = func(context.Context, engine.Sink) engine.Outcome {
			time.Sleep(time.Second)
			return engine.Unknown{EngineLost: true, StopConfirmed: true}
		}
		slot := make(chan struct{}, 1)
		f.place = func(ctx context.Context, member head.Member, request peer.PlaceRequest) (peer.Placement, error) {
			slot <- struct{}{}
			time.AfterFunc(1100*time.Millisecond, func() { <-slot })
			granted, err := f.grant(ctx, member, request)
			placement, _ := granted.(peer.Granted)
			placement.WaitedQueue = time.Since(request.Request.Deadline.Add(-dispatchTimeout))
			return placement, err
		}
		var group sync.WaitGroup
		for range 10 {
			group.Go(func() { _ = f.requestCompletion("bids", 10) })
		}
		group.Wait()
		is.New(t).Equal(len(f.dispatchedUpstreams()), 3)
	})
}

// An engine restarted without loaded adapters, or a late report listed a version that is no longer loaded: the engine
// answers that the version is not resident, or runs another one. The caller has received nothing, so the request is
// retried. The release must report the reason, or the holder would send the next request to the same upstream.
func TestNotResident(t *testing.T) {
	for _, first := range []engine.Outcome{engine.NotResident{}, engine.WrongModel{ServedModel: "bids@2", StopConfirmed: true}} {
		runInBubble(t, 2, func(f *fixture) {
			f.complete = func(_ context.Context, sink engine.Sink) engine.Outcome {
				if len(f.dispatchedUpstreams()) > 1 {
					return completeStream(sink)
				}
				return first
			}
			is := is.New(t)
			is.NoErr(f.requestCompletion("bids", 10))
			synctest.Wait()
			notResident := 0
			for _, request := range f.releasedPins() {
				if request.Released.NotResident {
					notResident++
				}
			}
			is.Equal(notResident, 1)
			is.Equal(len(f.releasedPins()), 2)
		})
	}
}

// A grant is delayed for seconds by a paused process or a stalled connection. The holder may have considered it lost
// and evicted the version, so the request must acquire a new batch slot.
func TestLateGrantIsReleased(t *testing.T) {
	runInBubble(t, 2, func(f *fixture) {
		f.place = func(ctx context.Context, member head.Member, request peer.PlaceRequest) (peer.Placement, error) {
			if len(f.placeRequests) == 1 {
				time.Sleep(2500 * time.Millisecond)
			}
			return f.grant(ctx, member, request)
		}
		f.complete = func(_ context.Context, sink engine.Sink) engine.Outcome {
			is.New(t).Equal(len(f.releasedPins()), 1)
			return completeStream(sink)
		}
		is := is.New(t)
		is.NoErr(f.requestCompletion("bids", 10))
		is.Equal(len(f.placeRequests), 2)
		is.Equal(len(f.dispatchedUpstreams()), 1)
	})
}

// The holder of an upstream changes while its grant is in transit. The new holder already has this instance's list of
// pins, which lacks this one, and may evict the version.
func TestGrantOfFormerHolderIsReleased(t *testing.T) {
	runInBubble(t, 3, func(f *fixture) {
		f.place = func(ctx context.Context, member head.Member, request peer.PlaceRequest) (peer.Placement, error) {
			placement, err := f.grant(ctx, member, request)
			if len(f.placeRequests) == 1 {
				f.removeMember(member.Name)
			}
			return placement, err
		}
		is := is.New(t)
		is.NoErr(f.requestCompletion("bids", 10))
		is.Equal(len(f.placeRequests), 2)
		is.Equal(len(f.dispatchedUpstreams()), 1)
		synctest.Wait()
		is.Equal(len(f.releasedPins()), 2)
	})
}

// The connection to an engine is cut, so the request cannot be cancelled and the engine keeps generating. If the pin
// were released immediately, the adapter version could be evicted while it is in use.
func TestPinIsKeptWhileEngineMayStillRun(t *testing.T) {
	runInBubble(t, 2, func(f *fixture) {
		var connectionCut atomic.Bool
		connectionCut.Store(true)
		f.cancel = func() error {
			if connectionCut.Load() {
				return errors.New("connection to the engine is cut")
			}
			return nil
		}
		f.complete = func(_ context.Context, sink engine.Sink) engine.Outcome {
			f.must(startStream(sink))
			return engine.Failed{Tokens: 1}
		}
		checkRefused(t, f.requestCompletion("bids", 10), refusal.UpstreamFailed, refusal.Unknown)
		time.Sleep(10 * time.Second)
		is := is.New(t)
		is.Equal(len(f.releasedPins()), 0)
		pins, _ := f.pipeline.Pins.ForUpstream(f.dispatchedUpstreams()[0], 0)
		is.Equal(len(pins), 1)
		connectionCut.Store(false)
		time.Sleep(time.Second)
		is.Equal(len(f.releasedPins()), 1)
	})
}

// An engine generates more tokens than requested. The workspace would get tokens that were not counted against its
// rate.
func TestEngineGeneratesTooManyTokens(t *testing.T) {
	runInBubble(t, 2, func(f *fixture) {
		generated := 0
		f.complete = func(_ context.Context, sink engine.Sink) engine.Outcome {
			f.must(sink.Begin("bids@1"))
			for ; generated < 100; generated++ {
				if err := sink.Event(stream.Event{Data: []byte("{}")}, generated+1); err != nil {
					return engine.Cancelled{Tokens: generated, Err: err, StopConfirmed: true}
				}
			}
			return engine.Completed{Tokens: generated}
		}
		checkRefused(t, f.requestCompletion("bids", 10), refusal.UpstreamFailed, refusal.Unknown)
		is.New(t).Equal(generated, 10)
	})
}

// ---------------------------------------------------------------------------------------------

// The load balancer sends all requests of a workspace to one instance, which has only its share of the burst. A caller
// within the workspace's rate must not be refused while another instance has the tokens.
func TestInsufficientShareBorrowsFromPeers(t *testing.T) {
	runInBubble(t, 2, func(f *fixture) {
		f.lend = func(_ context.Context, member head.Member, request peer.TokenRequest) (rate.Loan, error) {
			lender := rate.Identity{Name: member.Name, Incarnation: member.Incarnation}
			return rate.Loan{ID: "1", Lender: lender, Tokens: request.Tokens}, nil
		}
		is.New(t).NoErr(f.requestCompletion("bids", burst/2+100))
	})
}

// The peers that have the tokens do not respond. The caller must be refused within 150 ms with one such peer, and
// within about a second with any number of them.
func TestUnresponsivePeersDelayRefusalBriefly(t *testing.T) {
	cases := []struct {
		members int
		within  time.Duration
	}{
		{2, 150 * time.Millisecond},
		{330, time.Second},
	}
	for _, c := range cases {
		runInBubble(t, c.members, func(f *fixture) {
			f.lend = func(ctx context.Context, _ head.Member, _ peer.TokenRequest) (rate.Loan, error) {
				<-ctx.Done()
				return rate.Loan{}, ctx.Err()
			}
			startedAt := time.Now()
			checkRefused(t, f.requestCompletion("bids", burst/2+100), refusal.RateLimited, refusal.NotRun)
			is := is.New(t)
			is.True(time.Since(startedAt) <= c.within)
			is.Equal(len(f.dispatchedUpstreams()), 0)
		})
	}
}
