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

func asked(i int, workspace string, demand float64, patience time.Duration) broker.Asked {
	load := broker.Load{Upstream: fmt.Sprint("u", i), Model: model.Reference{Adapter: "a", Version: "v1"}}
	return broker.Asked{Load: load, Workspace: workspace, Demand: demand, Patience: patience}
}

func permits(actions []broker.Action) (loads []broker.Load) {
	for _, action := range actions {
		if permit, ok := action.(broker.Permit); ok {
			loads = append(loads, permit.Load)
		}
	}
	return loads
}

// All engines start cold and every holder wants loads. Were they all let through at once, each would
// take many times longer and the callers would all miss their deadlines.
func TestPermitsKeepTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &broker.Broker{Settings: broker.DefaultSettings()}
		given := 0
		for i := range 100 {
			given += len(permits(b.Handle(time.Now(), asked(i, "w", 100, time.Minute))))
		}
		is.Equal(given, 2)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			for i := range 100 {
				given += len(permits(b.Handle(time.Now(), asked(i, "w", 100, time.Minute))))
			}
		}
		is.True(given <= 22) // ten seconds at two a second, and two at once
		is.True(given >= 20)
	})
}

// The weight store hangs and no load ends. Beyond eight in flight each further one would make all of
// them slower; a permit whose end is never told lapses, or the budget would be used up for good.
func TestInFlightIsBoundedAndLapses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		settings := broker.DefaultSettings()
		settings.Rate = 100
		settings.Lapse = time.Minute
		b := &broker.Broker{Settings: settings}
		given := 0
		for i := range 20 {
			time.Sleep(100 * time.Millisecond)
			given += len(permits(b.Handle(time.Now(), asked(i, "w", 100, time.Hour))))
		}
		is.Equal(given, 8)
		is.Equal(len(permits(b.Handle(time.Now(), broker.Ended{Load: asked(0, "", 0, 0).Load}))), 1)
		time.Sleep(time.Minute)
		is.True(len(permits(b.Handle(time.Now(), asked(30, "w", 100, time.Hour)))) > 0)
	})
}

func TestOrderOfPermits(t *testing.T) {
	tests := []struct {
		name   string
		first  broker.Asked
		second broker.Asked
	}{
		{"more waiting demand goes first", asked(9, "w", 5000, time.Minute), asked(1, "w", 100, time.Minute)},
		{"longer waiting goes first", waited(asked(9, "w", 100, time.Minute), 8*time.Second), asked(1, "w", 100, time.Minute)},
		{"a workspace with few loads goes first", asked(9, "calm", 100, time.Minute), asked(1, "w", 100, time.Minute)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := &broker.Broker{Settings: broker.DefaultSettings()}
				for i := range 2 {
					is.Equal(len(permits(b.Handle(time.Now(), asked(20+i, "w", 100, time.Minute)))), 1)
				}
				is.Equal(len(permits(b.Handle(time.Now(), tt.second))), 0)
				is.Equal(len(permits(b.Handle(time.Now(), tt.first))), 0)
				time.Sleep(500 * time.Millisecond)
				is.Equal(permits(b.Handle(time.Now(), broker.Tick{})), []broker.Load{tt.first.Load})
			})
		})
	}
}

func waited(a broker.Asked, d time.Duration) broker.Asked {
	a.Waited = d
	return a
}

// A load's turn comes in four seconds and its callers wait two. It is refused at once, with when to
// come back; a permit handed back unused is there for the next.
func TestTooLateIsRefusedAndUnusedComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &broker.Broker{Settings: broker.DefaultSettings()}
		for i := range 10 {
			b.Handle(time.Now(), asked(i, "w", 1000, time.Minute))
		}
		late := asked(50, "w", 100, 2*time.Second)
		actions := b.Handle(time.Now(), late)
		is.Equal(actions, []broker.Action{broker.Refuse{Load: late.Load, RetryAfter: 4500 * time.Millisecond}})
		actions = b.Handle(time.Now(), broker.Withdrawn{Load: asked(0, "", 0, 0).Load})
		is.Equal(len(permits(actions)), 1)
	})
}
