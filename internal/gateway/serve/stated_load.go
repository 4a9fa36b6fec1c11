package serve

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/call"
)

// stated_load.go records the load and the pace that a response states of its upstream.

// recordStatedLoad records the load and the pace, and notifies the holder immediately if the pace has changed, since
// it may do so many times a second.
func (a *attempt) recordStatedLoad(load call.UpstreamLoad) {
	news := false
	a.job.handler.State.WithLock(func(*SharedState) {
		a.counted.RecordStatedLoad(load.Running + load.Waiting)
		news = a.counted.RecordStatedPace(time.Now(), load.Pace)
	})
	if news {
		a.job.handler.Fleet.NotifyHolder(a.placement.choice.Upstream.ID)
	}
}
