package node

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/residence"
)

// statingOrders gets the same responses to all orders and reports.
type statingOrders struct {
	response residence.Response
	report   residence.Report
}

func (o statingOrders) Order(context.Context, traffic.Upstream, string, int64, residence.Order) (residence.Response, error) {
	return o.response, nil
}

func (o statingOrders) Report(context.Context, traffic.Upstream) (residence.Report, error) {
	return o.report, nil
}

// Guards against a holder that goes on to load adapters at an upstream which states that it is leaving, and against one that
// takes the statement of another upstream at the same address, or of another life, for its own upstream's. left is what becomes of the life that was held
// at first, and nextLeft of the one that is held afterwards.
func TestHolderLearnsThatItsUpstreamIsLeaving(t *testing.T) {
	for _, c := range []struct {
		name     string
		orders   statingOrders
		left     bool
		nextLeft bool
	}{
		{"nothing is stated", statingOrders{response: residence.Response{Outcome: residence.Conflict}}, false, false},
		{"with an order", statingOrders{response: residence.Response{Outcome: residence.Conflict, Leaving: true}}, true, true},
		{"by another upstream", statingOrders{response: residence.Response{Outcome: residence.OtherUpstream, Leaving: true}}, false, false},
		{"with a report", statingOrders{report: residence.Report{Leaving: true, Born: 7}}, true, true},
		{"with a report of another life", statingOrders{report: residence.Report{Leaving: true, Born: 8}}, false, true},
		{"with a report of an earlier life", statingOrders{report: residence.Report{Leaving: true, Born: 6}}, false, false},
		{"with an order, before another life reports", statingOrders{
			response: residence.Response{Outcome: residence.Conflict, Leaving: true}, report: residence.Report{Born: 8},
		}, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := heldUpstreamAt("127.0.0.1:1")
			h.upstream.StartedMillis = 7
			first := h.upstream
			h.node.sharedState.Pool.Declare(time.Now(), first)
			h.node.Orders = c.orders
			h.sendOrder(t.Context(), residence.Order{Adapter: traffic.Adapter{Model: "m", Name: "a"}})
			h.fetchReport(t.Context())
			is.Equal(h.node.acceptsRequests(first), !c.left)
			is.Equal(h.node.acceptsRequests(h.upstream), !c.nextLeft)
		})
	}
}
