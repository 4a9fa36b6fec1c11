package capacity

import (
	"fmt"
	"strings"

	"lacewingrock.example/lacewingrock/internal/placement/route"
)

// target.go extrapolates the measured slopes to the target fleet.

// The target, as set by the users.
const (
	targetInstances = 330
	targetUpstreams = 810
	targetAdapters  = 45_000
	targetRequests  = 5_300
	targetChanges   = 1_000
	limitCore       = 0.03
	limitMemory     = 256e6
	limitNetwork    = 4e3
	// queriesPerSecond is how many members an instance queries for a heartbeat each second, whatever the
	// size of the fleet. It is queried as often, and gets a heartbeat from both.
	queriesPerSecond    = 4
	heartbeatsPerSecond = 2 * queriesPerSecond
	reportsPerSecond    = 1
	wakingShare         = 0.23
	frameBytes          = 150
)

// cell is one figure of the page, with its derivation.
type cell struct {
	role, figure, arithmetic, value, source, verdict, mechanism string
}

const (
	sourceMeasured = "measured"
	sourceDerived  = "derived"
	sourceUnknown  = "unknown"
)

// atTarget returns the value of a series at the largest size, which is that of the target.
func atTarget(measured map[string]series, name string) float64 {
	values := measured[name].values
	return values[len(values)-1]
}

func cells(measured map[string]series) []cell {
	at := func(name string) float64 { return atTarget(measured, name) }
	perInstance := float64(targetRequests) / targetInstances
	entry := perInstance * (at(nameChoose) + at(nameReserve) + at(nameLookUp)) / 1e6
	heldUpstreams := float64(targetUpstreams) / targetInstances
	learn := heartbeatsPerSecond * heldUpstreams * at(nameUpdateSummary) / 1e6
	maxAge := float64(targetInstances-1) / heartbeatsPerSecond
	staleAfter := route.DefaultSettings().StaleAfter.Seconds()
	holding := perInstance * at(nameHolderFull) / 1e6
	heartbeatTraffic := 2 * heartbeatsPerSecond * (at(nameHeartbeat) + frameBytes)
	memory := at(nameRouterBytes) + at(nameConfigBytes) + at(nameLedgerBytes) + heldUpstreams*at(nameHolderIdle)
	changes := float64(targetChanges) / 86_400
	loads := float64(targetAdapters) * wakingShare / 3600
	permitRequests := float64(targetUpstreams) / 10
	return []cell{
		{"entry", "processor, deciding", fmt.Sprintf("%d/%d requests/s x (%s + %s + %s) us", targetRequests, targetInstances, formatFigure(at(nameChoose)), formatFigure(at(nameReserve)), formatFigure(at(nameLookUp))), percent(entry), sourceDerived, meetsLimit(entry, limitCore), "bounded candidates on a hash ring; buckets; hash tables"},
		{"entry", "processor, applying summaries", fmt.Sprintf("%d heartbeats/s x %.2f upstreams x %s us", heartbeatsPerSecond, heldUpstreams, formatFigure(at(nameUpdateSummary))), percent(learn), sourceDerived, meetsLimit(learn, limitCore), "index of loaded versions, replaced by difference"},
		{"entry", "processor, forwarding 1.1 million tokens/s", "not measured by this command", "-", sourceUnknown, "-", "-"},
		{"entry", "memory", fmt.Sprintf("router %s + configuration %s + ledger %s + %.2f holders x %s", megabytes(at(nameRouterBytes)), megabytes(at(nameConfigBytes)), megabytes(at(nameLedgerBytes)), heldUpstreams, megabytes(at(nameHolderIdle))), megabytes(memory), sourceDerived, meetsLimit(memory, limitMemory), "for an idle adapter, only its configuration is kept"},
		{"entry", "network, heartbeats", fmt.Sprintf("%d/s sent and %d/s received x (%s + %d) bytes", heartbeatsPerSecond, heartbeatsPerSecond, formatFigure(at(nameHeartbeat)), frameBytes), kilobytes(heartbeatTraffic) + "/s", sourceDerived, meetsLimit(heartbeatTraffic, limitNetwork), "a fixed number queried each second; would be replaced by sending only changes"},
		{"entry", "age of an upstream's summary, at the most", fmt.Sprintf("%d other members / %d/s", targetInstances-1, heartbeatsPerSecond), fmt.Sprintf("%.1f s, used up to %.0f s", maxAge, staleAfter), sourceDerived, meetsLimit(maxAge, staleAfter), "a fixed number queried each second; would be replaced by summaries relayed within a data centre"},
		{"holder of upstreams", "upstreams held", fmt.Sprintf("%d/%d", targetUpstreams, targetInstances), fmt.Sprintf("%.2f", heldUpstreams), sourceDerived, "-", "rendezvous hashing"},
		{"holder of upstreams", "processor, placing", fmt.Sprintf("%d/%d requests/s x %s us with 128 waiting", targetRequests, targetInstances, formatFigure(at(nameHolderFull))), percent(holding), sourceDerived, meetsLimit(holding, limitCore), "queue bounded by time and length"},
		{"holder of upstreams", "memory for each adapter once requested and now idle", fmt.Sprintf("%s / %d", megabytes(at(nameHolderIdle)), targetAdapters), fmt.Sprintf("%.1f bytes", at(nameHolderIdle)/targetAdapters), sourceMeasured, "-", "counts that decay and are dropped"},
		{"holder of upstreams", "engine reports", fmt.Sprintf("%.2f upstreams x %d/s", heldUpstreams, reportsPerSecond), fmt.Sprintf("%.1f calls/s", heldUpstreams*reportsPerSecond), sourceDerived, "-", "polling"},
		{"load broker", "processor", fmt.Sprintf("%.0f upstreams requesting x 1/s x %s us", permitRequests, formatFigure(at(nameBroker))), percent(permitRequests * at(nameBroker) / 1e6), sourceDerived, meetsLimit(permitRequests*at(nameBroker)/1e6, limitCore), "one member; requests are sorted for each event"},
		{"load broker", "loads needed by adapters that become active", fmt.Sprintf("%d x %.0f%% / 3600 s", targetAdapters, wakingShare*100), fmt.Sprintf("%.2f/s", loads), sourceDerived, "over the current 2/s: the weight store has to grow, or keep weights near the engines", "fleet-wide budget"},
		{"holder of shares", "processor", fmt.Sprintf("%d/%d requests/s x %s us", targetRequests, targetInstances, formatFigure(at(nameReserve))), percent(perInstance * at(nameReserve) / 1e6), sourceDerived, meetsLimit(perInstance*at(nameReserve)/1e6, limitCore), "one bucket for each workspace"},
		{"holder of shares", "memory, 100 workspaces", "", megabytes(at(nameLedgerBytes)), sourceMeasured, meetsLimit(at(nameLedgerBytes), limitMemory), "nothing for each pair of instances until they lend"},
		{"holder of shares", "transfers of tokens", "depends on the balancer's skew", "-", sourceUnknown, "-", "-"},
		{"configuration", "memory", fmt.Sprintf("%d adapters with a version each", targetAdapters), megabytes(at(nameConfigBytes)), sourceMeasured, meetsLimit(at(nameConfigBytes), limitMemory), "immutable values shared between revisions"},
		{"configuration", "memory for each adapter with its version", fmt.Sprintf("%s / %d", megabytes(at(nameConfigBytes)), targetAdapters), fmt.Sprintf("%.0f bytes", at(nameConfigBytes)/targetAdapters), sourceMeasured, "-", "-"},
		{"configuration", "processor, changes", fmt.Sprintf("%d/86,400 s x %s us", targetChanges, formatFigure(at(nameApply))), percent(changes * at(nameApply) / 1e6), sourceDerived, meetsLimit(changes*at(nameApply)/1e6, limitCore), "only the changed parts are rebuilt"},
		{"configuration", "network, changes", fmt.Sprintf("%d/86,400 s x (head %s + part %s)", targetChanges, kilobytes(at(nameHead)), kilobytes(at(namePart))), kilobytes(changes*(at(nameHead)+at(namePart))) + "/s", sourceDerived, meetsLimit(changes*(at(nameHead)+at(namePart)), limitNetwork), "64 parts named by content"},
		{"configuration", "largest value in the store", "one part, mean", kilobytes(at(namePart)), sourceMeasured, meetsLimit(at(namePart), 1e6), "64 parts; the store takes a megabyte"},
		{"configuration", "in force everywhere within 5 s", "see the proofs", "-", sourceUnknown, "-", "freshness bound"},
	}
}

func writeTarget(b *strings.Builder, measured map[string]series) {
	fmt.Fprintf(b, "\nFor %d instances, %d upstreams, %d adapters, %d requests a second and %d changes a day; limits for control on each instance: %.0f%% of a core, %s, %s/s. Each instance queries %d others a second, %d bytes of framing each (not measured).\n\n",
		targetInstances, targetUpstreams, targetAdapters, targetRequests, targetChanges, limitCore*100, megabytes(limitMemory), kilobytes(limitNetwork), queriesPerSecond, frameBytes)
	b.WriteString("| role | figure | arithmetic | value | source | within the limit | mechanism |\n|---|---|---|---|---|---|---|\n")
	for _, c := range cells(measured) {
		fmt.Fprintf(b, "| %s | %s | %s | %s | %s | %s | %s |\n", c.role, c.figure, c.arithmetic, c.value, c.source, c.verdict, c.mechanism)
	}
}

func meetsLimit(value, limit float64) string { return yesNo(value <= limit) }

func percent(share float64) string { return formatFigure(share*100) + "% of a core" }

func megabytes(bytes float64) string { return formatFigure(bytes/1e6) + " MB" }

func kilobytes(bytes float64) string { return formatFigure(bytes/1e3) + " KB" }
