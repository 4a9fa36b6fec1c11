package node_test

// Declarations and a dialect for these tests only, so that they do not depend on the names of any platform.

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/call"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// Keys of the declared items.
const (
	keyConfiguration  = "declared/configuration"
	prefixUpstreams   = "declared/upstreams/"
	prefixEvacuations = "declared/evacuations/"
)

const (
	headerID     = "Call-Id"
	headerSigned = "Reply-Signed"
	// headerBackpressure is a number of milliseconds, with a refusal.
	headerBackpressure = "Reply-Backpressure-Ms"
	headerLeaving      = "Reply-Leaving"
	// headerAdapter names the adapter of model m that a call asks for.
	headerAdapter = "Call-Adapter"
	// headerLastEvent is the last event that the caller has, of the stream that the request headerResumes began.
	headerLastEvent = "Call-Last-Event"
	headerResumes   = "Call-Resumes"
	pathReady       = "/ready"
	// headerKey is the key of the caller.
	headerKey = "Call-Key"
	// headerCallerTimeout is how long the caller waits, as a Go duration.
	headerCallerTimeout = "Call-Timeout"
)

// pathLong is the path of requests that take longDelay at the upstreams of newUpstream, longer than callers still arrive
// in a planned stop.
const (
	pathLong  = "/p/long/"
	longDelay = 3400 * time.Millisecond
)

// pathStream is the path of streams that may be taken up, and are not continued within their response.
const pathStream = "/p/stream/"

// streamTimeout is the time of streams; their callers may take them up some seconds longer.
const streamTimeout = 5 * time.Second

// configuration has one public route to a plain service, one below it with more time, one for requests
// that may run once, one to a service with engines, and one to a service that streams.
func configuration(version int, prefix string) string {
	route := func(name, prefix, service string) traffic.Route {
		return traffic.Route{
			Name: name, Host: "a.example", Prefix: prefix, Execution: traffic.Idempotent, Timeout: 2 * time.Second,
			Targets: []traffic.Target{{Service: service, Weight: 1}}, MaxAttempts: 1, Public: true,
		}
	}
	long := route("l", prefix+"long/", "app")
	long.Timeout = 2 * longDelay
	once := route("o", prefix+"once/", "app")
	once.Execution = traffic.AtMostOnce
	stream := route("s", prefix+"stream/", "streams")
	stream.Execution, stream.Resumable, stream.Timeout = traffic.Streaming, true, streamTimeout
	return encoded(traffic.Configuration{
		Version: int64(version),
		Routes:  []traffic.Route{route("r", prefix, "app"), long, once, route("g", prefix+"generate/", "llm"), stream},
		Services: map[string]traffic.Service{
			"app": {Name: "app"}, "streams": {Name: "streams"},
			"llm": {Name: "llm", Engine: &traffic.Engine{BatchSlots: 8, AdapterSlots: 8, Models: []traffic.Model{{Name: "m"}}}},
		},
	})
}

func upstreamEntry(service, address string) string {
	return encoded(traffic.Upstream{Service: service, Address: address, DataCentre: "here", BatchSlots: 6, StartedMillis: 1})
}

func encoded(value any) string {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return string(text)
}

type decoder struct{}

// Decode returns the declaration of an item.
func (decoder) Decode(key string, value []byte) (traffic.Declaration, error) {
	if key == keyConfiguration {
		var configuration traffic.Configuration
		err := json.Unmarshal(value, &configuration)
		return configuration, err
	}
	id, found := strings.CutPrefix(key, prefixUpstreams)
	if !found {
		return nil, nil
	}
	var upstream traffic.Upstream
	err := json.Unmarshal(value, &upstream)
	upstream.ID = id
	return upstream, err
}

// UpstreamID returns the upstream that a key belongs to.
func (decoder) UpstreamID(key string) (id string, ok bool) {
	return strings.CutPrefix(key, prefixUpstreams)
}

// EvacuatedDataCentre returns the data centre that a key evacuates.
func (decoder) EvacuatedDataCentre(key string) (dataCentre string, ok bool) {
	return strings.CutPrefix(key, prefixEvacuations)
}

type dialect struct{}

func (dialect) Decode(request *http.Request) (call.Call, error) {
	c := call.Call{
		ID: request.Header.Get(headerID), Method: request.Method, Host: request.Host, Target: request.RequestURI,
		Path: request.URL.Path, Header: request.Header.Clone(),
		LastEventID: request.Header.Get(headerLastEvent), Resumes: request.Header.Get(headerResumes),
		Key: request.Header.Get(headerKey),
	}
	c.CallerTimeout, _ = time.ParseDuration(request.Header.Get(headerCallerTimeout)) // 0 without the header
	if name := request.Header.Get(headerAdapter); name != "" {
		c.Generation.Adapter = traffic.Adapter{Model: "m", Name: name}
	}
	return c, nil
}

func (dialect) RequestHeader(c call.Call, attempt call.Attempt) http.Header {
	header := c.Header.Clone()
	header.Set(headerLastEvent, attempt.LastEventID)
	return header
}

func (dialect) ParseResponse(response *http.Response) call.ResponseInfo {
	backpressure, _ := strconv.Atoi(response.Header.Get(headerBackpressure)) // 0 without the header
	return call.ResponseInfo{
		ID: response.Header.Get(headerID), Signed: response.Header.Get(headerSigned) != "",
		NotRun: backpressure > 0, RetryAfter: time.Duration(backpressure) * time.Millisecond,
		Leaving: response.Header.Get(headerLeaving) != "",
	}
}

func (dialect) SetRefusalHeader(header http.Header, id string, _ time.Duration) {
	header.Set(headerID, id)
}
