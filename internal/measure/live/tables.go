package live

import (
	"fmt"
	"strings"
	"time"
)

// tables.go writes what was measured, and works out the target's load from the slopes.

// The target's peak, from the users' letter.
const (
	targetRequests  = 5300
	targetTokens    = 1_100_000
	targetInstances = 330
)

func tables(resting []atRest, short, long underLoad) string {
	var out strings.Builder
	line := func(format string, values ...any) { fmt.Fprintf(&out, format+"\n", values...) }
	line("Real processes on loopback, one machine. At rest, mean of all instances over %s:", rest)
	line("")
	line("| instances | core | control bytes a second, both ways | resident MB | store calls a second, whole fleet |")
	line("|---|---|---|---|---|")
	for _, r := range resting {
		line("| %d | %.2f%% | %.0f | %.1f | %.1f |",
			r.instances, 100*r.core, r.bytesSecond, r.resident/(1<<20), r.storeCalls)
	}
	perToken := (long.cpu - short.cpu) / time.Duration(requests*(long.tokens-short.tokens))
	perRequest := short.cpu/requests - perToken*time.Duration(short.tokens)
	line("")
	line("Under load, one instance, %d streamed requests from %d callers each:", requests, callers)
	line("")
	line("| tokens an answer | processor time | requests a second reached |")
	line("|---|---|---|")
	for _, l := range []underLoad{short, long} {
		line("| %d | %s | %.0f |", l.tokens, l.cpu, requests/l.took.Seconds())
	}
	line("")
	line("| slope | measured | at the target, worked out |")
	line("|---|---|---|")
	requestCores := targetRequests * perRequest.Seconds()
	tokenCores := targetTokens * perToken.Seconds()
	line("| processor time a request | %s | %d requests/s x %s = %.1f cores, %.4f an instance |",
		perRequest, targetRequests, perRequest, requestCores, requestCores/targetInstances)
	line("| processor time a streamed token | %s | %d tokens/s x %s = %.1f cores, %.4f an instance |",
		perToken, targetTokens, perToken, tokenCores, tokenCores/targetInstances)
	return out.String()
}
