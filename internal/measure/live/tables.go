package live

import (
	"fmt"
	"strings"
	"time"
)

// tables.go renders the measurements and extrapolates the slopes to the target's load.

// The target's peak load, as set by the users.
const (
	targetRequests  = 5300
	targetTokens    = 1_100_000
	targetInstances = 330
)

func tables(idle []idleUsage, short, long loadUsage) string {
	var out strings.Builder
	line := func(format string, values ...any) { fmt.Fprintf(&out, format+"\n", values...) }
	line("Real processes on loopback, one machine. Idle, mean of all instances over %s:", idlePeriod)
	line("")
	line("| instances | core | control bytes per second, both directions | resident MB | store calls a second, whole fleet |")
	line("|---|---|---|---|---|")
	for _, r := range idle {
		line("| %d | %.2f%% | %.0f | %.1f | %.1f |",
			r.instances, 100*r.cores, r.bytesPerSecond, r.resident/(1<<20), r.storeCalls)
	}
	perToken := (long.cpu - short.cpu) / time.Duration(requestCount*(long.tokens-short.tokens))
	perRequest := short.cpu/requestCount - perToken*time.Duration(short.tokens)
	line("")
	line("Under load, one instance, %d streamed requests from %d callers each:", requestCount, callerCount)
	line("")
	line("| tokens an answer | processor time | requests a second reached |")
	line("|---|---|---|")
	for _, l := range []loadUsage{short, long} {
		line("| %d | %s | %.0f |", l.tokens, l.cpu, requestCount/l.took.Seconds())
	}
	line("")
	line("| slope | measured | at the target, extrapolated |")
	line("|---|---|---|")
	requestCores := targetRequests * perRequest.Seconds()
	tokenCores := targetTokens * perToken.Seconds()
	line("| processor time a request | %s | %d requests/s x %s = %.1f cores, %.4f an instance |",
		perRequest, targetRequests, perRequest, requestCores, requestCores/targetInstances)
	line("| processor time a streamed token | %s | %d tokens/s x %s = %.1f cores, %.4f an instance |",
		perToken, targetTokens, perToken, tokenCores, tokenCores/targetInstances)
	return out.String()
}
