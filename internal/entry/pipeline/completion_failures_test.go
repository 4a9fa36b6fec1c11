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

// inBubble runs a test on the paused clock with one instance of a fleet of so many.
func inBubble(t *testing.T, members int, test func(f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		test(newFixture(t, &store.Memory{}, members))
	})
}

// whileQueued grants a place only after something has happened, as a queue does.
func (f *fixture) whileQueued(happens func()) {
	f.place = func(ctx context.Context, member head.Member, request peer.PlaceRequest) (peer.Placement, error) {
		began := time.Now()
		happens()
		placement, err := f.grant(ctx, member, request)
		granted, _ := placement.(peer.Granted)
		granted.WaitedQueue = time.Since(began)
		return granted, err
	}
}

// An operator withdraws a key while one of its requests waits for a place. The request would run up to
// half a minute later; its caller has to be refused at once instead, with nothing run.
func TestKeyWithdrawnWhileQueued(t *testing.T) {
	inBubble(t, 2, func(f *fixture) {
		f.place = func(ctx context.Context, _ head.Member, _ peer.PlaceRequest) (peer.Placement, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		began := time.Now()
		time.AfterFunc(time.Second, f.withdraw)
		refused(t, f.ask("bids", 10), refusal.KeyWithdrawn, refusal.NotRun)
		is := is.New(t)
		is.Equal(time.Since(began), time.Second)
		is.Equal(len(f.dispatched()), 0)
	})
}

// The same, but the grant overtakes the withdrawal: it is there just when the key is withdrawn. Only the
// check right before the dispatch is left to notice it.
func TestKeyWithdrawnBetweenGrantAndDispatch(t *testing.T) {
	inBubble(t, 2, func(f *fixture) {
		f.place = func(ctx context.Context, member head.Member, request peer.PlaceRequest) (peer.Placement, error) {
			// The repository has the withdrawal already, the other parts do not have it yet.
			key, _ := f.repository.Current().Configuration.Key(caller.Key)
			key.Withdrawn = true
			change := configuration.Change{configuration.Declare{Resource: key, Expected: configuration.AnyVersion}}
			_, err := f.repository.Apply(f.context, func(configuration.Configuration) (configuration.Change, error) {
				return change, nil
			})
			f.must(err)
			return f.grant(ctx, member, request)
		}
		refused(t, f.ask("bids", 10), refusal.KeyWithdrawn, refusal.NotRun)
		synctest.Wait()
		is := is.New(t)
		is.Equal(len(f.dispatched()), 0)
		is.Equal(len(f.given()), 1)
	})
}

// A key is withdrawn while its request streams. Its holder would read on for as long as the stream lasts;
// the stream has to be cut, and the caller must not be told that nothing ran.
func TestKeyWithdrawnWhileStreaming(t *testing.T) {
	inBubble(t, 2, func(f *fixture) {
		f.complete = func(ctx context.Context, sink engine.Sink) engine.Outcome {
			f.must(begin(sink))
			<-ctx.Done()
			return engine.Cancelled{Tokens: 1, Err: context.Cause(ctx), StopConfirmed: true}
		}
		began := time.Now()
		time.AfterFunc(time.Second, f.withdraw)
		refused(t, f.ask("bids", 10), refusal.KeyWithdrawn, refusal.Unknown)
		is.New(t).Equal(time.Since(began), time.Second)
	})
}

// The process is paused after its request was granted a place, and wakes when its configuration may have
// changed and its pin may have been given up. A request sent now could run for a withdrawn key, or on
// an adapter version that is just being evicted.
func TestPausedBetweenGrantAndDispatch(t *testing.T) {
	inBubble(t, 2, func(f *fixture) {
		f.whileQueued(f.pause)
		refused(t, f.ask("bids", 10), refusal.NotFresh, refusal.NotRun)
		synctest.Wait()
		is := is.New(t)
		is.Equal(len(f.dispatched()), 0)
		is.Equal(len(f.given()), 1)
	})
}

// An operator removes an adapter version while a request for it waits. It must not be answered by a
// version that is no longer offered, nor by another one.
func TestVersionRemovedWhileQueued(t *testing.T) {
	inBubble(t, 2, func(f *fixture) {
		f.whileQueued(func() {
			f.change(configuration.Change{configuration.Remove{
				ID: adapterVersion("2").ID(), Expected: configuration.AnyVersion,
			}})
		})
		refused(t, f.ask("bids@2", 10), refusal.ModelNotFound, refusal.NotRun)
		is.New(t).Equal(len(f.dispatched()), 0)
	})
}

// An upstream is lost while it runs a request. Before the first token the request runs again elsewhere and
// its caller notices nothing; after it the caller has part of one answer, and the rest of another would
// not go on from there.
func TestUpstreamLost(t *testing.T) {
	for _, afterFirstToken := range []bool{false, true} {
		inBubble(t, 2, func(f *fixture) {
			is := is.New(t)
			f.complete = func(_ context.Context, sink engine.Sink) engine.Outcome {
				if len(f.dispatched()) > 1 {
					return answer(sink)
				}
				if !afterFirstToken {
					return engine.Unknown{EngineLost: true}
				}
				f.must(begin(sink))
				return engine.Failed{Tokens: 1, EngineLost: true}
			}
			err := f.ask("bids", 10)
			if afterFirstToken {
				refused(t, err, refusal.UpstreamFailed, refusal.Unknown)
				is.Equal(len(f.dispatched()), 1)
				return
			}
			is.NoErr(err)
			sent := f.dispatched()
			is.Equal(len(sent), 2)
			is.True(sent[0] != sent[1])
		})
	}
}

// A request was lost at an upstream, and then no place is found for its second try. The first try may
// have run to its end unseen: a caller told "not run" would send it again believing that it is the only
// one.
func TestRefusedAfterATryThatMayHaveRun(t *testing.T) {
	second := map[string]func(f *fixture){
		"busy": func(f *fixture) {
			f.place = func(context.Context, head.Member, peer.PlaceRequest) (peer.Placement, error) {
				return peer.Refused{Reason: holder.ReasonBusy}, nil
			}
		},
		"withdrawn": func(f *fixture) { f.withdraw() },
		"full":      func(f *fixture) {},
	}
	for name, happens := range second {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 2, func(f *fixture) {
				f.complete = func(context.Context, engine.Sink) engine.Outcome {
					if len(f.dispatched()) > 1 {
						return engine.Full{}
					}
					happens(f)
					return engine.Unknown{StopConfirmed: true}
				}
				err := f.ask("bids", 10)
				is := is.New(t)
				is.True(err != nil)
				is.Equal(refusal.From(err).Run(), refusal.Unknown)
			})
		})
	}
}

// All upstreams fail. Retries then come on top of the whole load, just when there is no capacity; they
// have to stay within a tenth of the requests.
func TestRetriesStayWithinTheirBudget(t *testing.T) {
	inBubble(t, 2, func(f *fixture) {
		f.pipeline.State.Retries = retry.New(retry.DefaultRatio, retry.DefaultMaxUnused)
		f.complete = func(context.Context, engine.Sink) engine.Outcome { return engine.Unknown{StopConfirmed: true} }
		for range 100 {
			refused(t, f.ask("bids", 1), refusal.UpstreamFailed, refusal.Unknown)
		}
		is := is.New(t)
		is.True(len(f.dispatched()) > 100)
		is.True(len(f.dispatched()) <= 110)
	})
}

// One request crashes each upstream that runs it, and its caller sends it again and again. The engine may
// be back within a moment, and then says truly that it runs nothing. Each crash takes a whole batch of
// others along.
func TestRequestThatCrashesUpstreams(t *testing.T) {
	crashes := map[string]engine.Outcome{
		"stays away":      engine.Unknown{EngineLost: true},
		"is back at once": engine.Unknown{EngineLost: true, StopConfirmed: true},
	}
	for name, crash := range crashes {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 2, func(f *fixture) {
				f.complete = func(context.Context, engine.Sink) engine.Outcome { return crash }
				var err error
				for range 10 {
					err = f.ask("bids", 10)
					time.Sleep(time.Second)
				}
				refused(t, err, refusal.SuspectRefused, refusal.NotRun)
				is := is.New(t)
				is.Equal(len(f.dispatched()), 3)
				is.True(f.placed[2].Request.Alone)
				is.Equal(f.told.Load(), int32(3)) // each crash, so that no other instance tries it anew
			})
		})
	}
}

// The same request comes ten times at once, and all ten wait while the first crashes an upstream. Judged
// only when they came, the nine others would each crash one more.
func TestCrashingRequestSentManyTimesAtOnce(t *testing.T) {
	inBubble(t, 2, func(f *fixture) {
		f.complete = func(context.Context, engine.Sink) engine.Outcome {
			time.Sleep(time.Second)
			return engine.Unknown{EngineLost: true, StopConfirmed: true}
		}
		turn := make(chan struct{}, 1)
		f.place = func(ctx context.Context, member head.Member, request peer.PlaceRequest) (peer.Placement, error) {
			turn <- struct{}{}
			time.AfterFunc(1100*time.Millisecond, func() { <-turn })
			granted, err := f.grant(ctx, member, request)
			placement, _ := granted.(peer.Granted)
			placement.WaitedQueue = time.Since(request.Request.Deadline.Add(-longPatience))
			return placement, err
		}
		var group sync.WaitGroup
		for range 10 {
			group.Go(func() { _ = f.ask("bids", 10) })
		}
		group.Wait()
		is.New(t).Equal(len(f.dispatched()), 3)
	})
}

// An engine restarted with nothing loaded, or a late report listed what is gone: it answers that the
// version is not resident, or runs another one. Nothing of that reached the caller, so the request is
// placed anew; the holder has to hear why, or it sends the next one there too.
func TestNotResident(t *testing.T) {
	for _, first := range []engine.Outcome{engine.NotResident{}, engine.WrongModel{ServedModel: "bids@2", StopConfirmed: true}} {
		inBubble(t, 2, func(f *fixture) {
			f.complete = func(_ context.Context, sink engine.Sink) engine.Outcome {
				if len(f.dispatched()) > 1 {
					return answer(sink)
				}
				return first
			}
			is := is.New(t)
			is.NoErr(f.ask("bids", 10))
			synctest.Wait()
			told := 0
			for _, request := range f.given() {
				if request.Released.NotResident {
					told++
				}
			}
			is.Equal(told, 1)
			is.Equal(len(f.given()), 2)
		})
	}
}

// A grant was on its way for seconds, through a process or connection that stood still. By now the holder
// may have taken it for lost and evicted the version; the request must ask anew.
func TestGrantThatComesTooLate(t *testing.T) {
	inBubble(t, 2, func(f *fixture) {
		f.place = func(ctx context.Context, member head.Member, request peer.PlaceRequest) (peer.Placement, error) {
			if len(f.placed) == 1 {
				time.Sleep(2500 * time.Millisecond)
			}
			return f.grant(ctx, member, request)
		}
		f.complete = func(_ context.Context, sink engine.Sink) engine.Outcome {
			is.New(t).Equal(len(f.given()), 1)
			return answer(sink)
		}
		is := is.New(t)
		is.NoErr(f.ask("bids", 10))
		is.Equal(len(f.placed), 2)
		is.Equal(len(f.dispatched()), 1)
	})
}

// The holder of an upstream changes while its grant is on the way. The new holder has this instance's
// list of pins already, without this one, and may evict the version.
func TestGrantFromAnOldHolder(t *testing.T) {
	inBubble(t, 3, func(f *fixture) {
		f.place = func(ctx context.Context, member head.Member, request peer.PlaceRequest) (peer.Placement, error) {
			placement, err := f.grant(ctx, member, request)
			if len(f.placed) == 1 {
				f.leaveFleet(member.Name)
			}
			return placement, err
		}
		is := is.New(t)
		is.NoErr(f.ask("bids", 10))
		is.Equal(len(f.placed), 2)
		is.Equal(len(f.dispatched()), 1)
		synctest.Wait()
		is.Equal(len(f.given()), 2)
	})
}

// The way to an engine is cut, so that it cannot be told to stop: it generates on. Were the pin given back
// now, the adapter version could be evicted while it is served.
func TestPinIsKeptWhileTheEngineMayRunOn(t *testing.T) {
	inBubble(t, 2, func(f *fixture) {
		var cut atomic.Bool
		cut.Store(true)
		f.cancel = func() error {
			if cut.Load() {
				return errors.New("cut")
			}
			return nil
		}
		f.complete = func(_ context.Context, sink engine.Sink) engine.Outcome {
			f.must(begin(sink))
			return engine.Failed{Tokens: 1}
		}
		refused(t, f.ask("bids", 10), refusal.UpstreamFailed, refusal.Unknown)
		time.Sleep(10 * time.Second)
		is := is.New(t)
		is.Equal(len(f.given()), 0)
		pins, _ := f.pipeline.Pins.ForUpstream(f.dispatched()[0], 0)
		is.Equal(len(pins), 1)
		cut.Store(false)
		time.Sleep(time.Second)
		is.Equal(len(f.given()), 1)
	})
}

// An engine ignores how many tokens it was asked for. The workspace would get tokens that were never
// counted against its rate.
func TestEngineThatGeneratesTooMuch(t *testing.T) {
	inBubble(t, 2, func(f *fixture) {
		most := 0
		f.complete = func(_ context.Context, sink engine.Sink) engine.Outcome {
			f.must(sink.Begin("bids@1"))
			for ; most < 100; most++ {
				if err := sink.Event(stream.Event{Data: []byte("{}")}, most+1); err != nil {
					return engine.Cancelled{Tokens: most, Err: err, StopConfirmed: true}
				}
			}
			return engine.Completed{Tokens: most}
		}
		refused(t, f.ask("bids", 10), refusal.UpstreamFailed, refusal.Unknown)
		is.New(t).Equal(most, 10)
	})
}

// ---------------------------------------------------------------------------------------------

// The balancer sends a workspace's requests all to one instance, which has only its share of the burst.
// A caller within the workspace's rate must not be refused while the tokens lie on another instance.
func TestShortShareBorrows(t *testing.T) {
	inBubble(t, 2, func(f *fixture) {
		f.lend = func(_ context.Context, member head.Member, request peer.TokenRequest) (rate.Loan, error) {
			lender := rate.Identity{Name: member.Name, Incarnation: member.Incarnation}
			return rate.Loan{ID: "1", Lender: lender, Tokens: request.Tokens}, nil
		}
		is.New(t).NoErr(f.ask("bids", burst/2+100))
	})
}

// The peers that have the tokens are cut off and answer nothing. A caller must be refused at once with one
// such peer, and within about a second however many there are.
func TestPeersThatDoNotLend(t *testing.T) {
	cases := []struct {
		members int
		within  time.Duration
	}{
		{2, 150 * time.Millisecond},
		{330, time.Second},
	}
	for _, c := range cases {
		inBubble(t, c.members, func(f *fixture) {
			f.lend = func(ctx context.Context, _ head.Member, _ peer.TokenRequest) (rate.Loan, error) {
				<-ctx.Done()
				return rate.Loan{}, ctx.Err()
			}
			began := time.Now()
			refused(t, f.ask("bids", burst/2+100), refusal.RateLimited, refusal.NotRun)
			is := is.New(t)
			is.True(time.Since(began) <= c.within)
			is.Equal(len(f.dispatched()), 0)
		})
	}
}
