package node_test

// Declarations and a dialect for these tests only, so that they do not depend on the names of any platform.

import (
	"encoding/json"
	"net/http"
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
	pathReady    = "/ready"
)

// configuration has one public route to a plain service, and a service with engines.
func configuration(version int, prefix string) string {
	return encoded(traffic.Configuration{
		Version: int64(version),
		Routes: []traffic.Route{{
			Name: "r", Host: "a.example", Prefix: prefix, Execution: traffic.Idempotent, Timeout: 2 * time.Second,
			Targets: []traffic.Target{{Service: "app", Weight: 1}}, MaxAttempts: 1, Public: true,
		}},
		Services: map[string]traffic.Service{
			"app": {Name: "app"},
			"llm": {Name: "llm", Engine: &traffic.Engine{BatchSlots: 8, AdapterSlots: 2, Models: []traffic.Model{{Name: "m"}}}},
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
	return call.Call{
		ID: request.Header.Get(headerID), Method: request.Method, Host: request.Host, Target: request.RequestURI,
		Path: request.URL.Path, Header: request.Header.Clone(),
	}, nil
}

func (dialect) RequestHeader(c call.Call, _ call.Attempt) http.Header { return c.Header.Clone() }

func (dialect) ParseResponse(response *http.Response) call.ResponseInfo {
	return call.ResponseInfo{ID: response.Header.Get(headerID), Signed: response.Header.Get(headerSigned) != ""}
}

func (dialect) SetRefusalHeader(header http.Header, id string, _ time.Duration) {
	header.Set(headerID, id)
}
