package broker_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/placement/broker"
	"lacewingrock.example/lacewingrock/internal/placement/model"
)

func permitRequest(i int, workspace string, demand float64, patience time.Duration) broker.PermitRequested {
	load := broker.Load{Upstream: fmt.Sprint("u", i), Model: model.Reference{Adapter: "a", Version: "v1"}}
	return broker.PermitRequested{Load: load, Workspace: workspace, Demand: demand, Patience: patience}
}

func permits(actions []broker.Action) (loads []broker.Load) {
	for _, action := range actions {
		if permit, ok := action.(broker.Permit); ok {
			loads = append(loads, permit.Load)
		}
	}
	return loads
}

// All engines start cold and every holder requests loads. If all of them were permitted at once, each would
// take many times longer and all callers would miss their deadlines.
func TestPermitsStayWithinTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &broker.Broker{Settings: broker.DefaultSettings()}
		granted := 0
		for i := range 100 {
			granted += len(permits(b.Handle(time.Now(), permitRequest(i, "w", 100, time.Minute))))
		}
		is.Equal(granted, 2)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			for i := range 100 {
				granted += len(permits(b.Handle(time.Now(), permitRequest(i, "w", 100, time.Minute))))
			}
		}
		is.True(granted <= 22) // ten seconds at two a second, and a burst of two
		is.True(granted >= 20)
	})
}

// The weight store hangs and no load ends. Beyond eight in flight, each further load would slow all of
// them down. A permit whose end is never reported expires, or the budget would be used up permanently.
func TestInFlightIsBoundedAndPermitsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		settings := broker.DefaultSettings()
		settings.Rate = 100
		settings.InFlightTimeout = time.Minute
		b := &broker.Broker{Settings: settings}
		granted := 0
		for i := range 20 {
			time.Sleep(100 * time.Millisecond)
			granted += len(permits(b.Handle(time.Now(), permitRequest(i, "w", 100, time.Hour))))
		}
		is.Equal(granted, 8)
		is.Equal(len(permits(b.Handle(time.Now(), broker.LoadEnded{Load: permitRequest(0, "", 0, 0).Load}))), 1)
		time.Sleep(time.Minute)
		is.True(len(permits(b.Handle(time.Now(), permitRequest(30, "w", 100, time.Hour)))) > 0)
	})
}

func TestRankingOfPermitRequests(t *testing.T) {
	tests := []struct {
		name   string
		first  broker.PermitRequested
		second broker.PermitRequested
	}{
		{"more waiting demand goes first", permitRequest(9, "w", 5000, time.Minute), permitRequest(1, "w", 100, time.Minute)},
		{"longer wait goes first", withWait(permitRequest(9, "w", 100, time.Minute), 8*time.Second), permitRequest(1, "w", 100, time.Minute)},
		{"a workspace with few loads goes first", permitRequest(9, "calm", 100, time.Minute), permitRequest(1, "w", 100, time.Minute)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := &broker.Broker{Settings: broker.DefaultSettings()}
				for i := range 2 {
					is.Equal(len(permits(b.Handle(time.Now(), permitRequest(20+i, "w", 100, time.Minute)))), 1)
				}
				is.Equal(len(permits(b.Handle(time.Now(), tt.second))), 0)
				is.Equal(len(permits(b.Handle(time.Now(), tt.first))), 0)
				time.Sleep(500 * time.Millisecond)
				is.Equal(permits(b.Handle(time.Now(), broker.Tick{})), []broker.Load{tt.first.Load})
			})
		})
	}
}

func withWait(a broker.PermitRequested, d time.Duration) broker.PermitRequested {
	a.Waited = d
	return a
}

// A load's turn comes in four seconds and its callers wait two. The permit request is refused at once with a
// retry time. A permit that is returned unused can be granted again.
func TestTooLateIsRefusedAndUnusedPermitIsReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &broker.Broker{Settings: broker.DefaultSettings()}
		for i := range 10 {
			b.Handle(time.Now(), permitRequest(i, "w", 1000, time.Minute))
		}
		late := permitRequest(50, "w", 100, 2*time.Second)
		actions := b.Handle(time.Now(), late)
		is.Equal(actions, []broker.Action{broker.Refuse{Load: late.Load, RetryAfter: 4500 * time.Millisecond}})
		actions = b.Handle(time.Now(), broker.Withdrawn{Load: permitRequest(0, "", 0, 0).Load})
		is.Equal(len(permits(actions)), 1)
	})
}
