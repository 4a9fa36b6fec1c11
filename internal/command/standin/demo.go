package standin

// The verb demo: starts a deployment, demonstrates the main functions and stops it. It prints each request,
// its response, and the instance and engine that handled it.

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/standin/deployment"
	"lacewingrock.example/lacewingrock/internal/standin/engine"
	"lacewingrock.example/lacewingrock/internal/standin/service"
)

const (
	// withdrawalTimeout is the longest wait until a withdrawn key is refused.
	withdrawalTimeout = 20 * time.Second
	demoCallTimeout   = 30 * time.Second
	maxShownBytes     = 200
)

type demoVerb struct{ flags deploymentFlags }

func (*demoVerb) Name() string     { return "demo" }
func (*demoVerb) Synopsis() string { return "start a deployment, run a demonstration on it, stop it" }

func (*demoVerb) Usage() string {
	return "demo [flags]\n\tStart a deployment, run a demonstration (completions, a booking sent twice, a withdrawn key), stop it.\n"
}
func (v *demoVerb) SetFlags(flags *flag.FlagSet) { v.flags.register(flags) }

func (v *demoVerb) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return exitStatus(v.run(ctx))
}

func (v *demoVerb) run(ctx context.Context) (err error) {
	fmt.Println("Starting a key-value store, an instance list, a weight store, engines, services and entry instances on loopback.")
	environment, err := v.flags.start(ctx)
	if err != nil {
		return err
	}
	defer func() {
		stopped := v.flags.stop(context.WithoutCancel(ctx))
		if err == nil {
			err = stopped
		}
		if err == nil {
			fmt.Println("Stopped everything.")
		}
	}()
	demo := &tour{Environment: environment, client: &http.Client{Timeout: demoCallTimeout}}
	return demo.run(ctx)
}

// tour is one run of the demonstration.
type tour struct {
	deployment.Environment
	client *http.Client
}

func (t *tour) run(ctx context.Context) error {
	for _, step := range []func(context.Context) error{t.completion, t.streamed, t.otherWorkspace, t.booking, t.withdrawn} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// callResponse is the response to one call.
type callResponse struct {
	status int
	header http.Header
	body   string
}

func (t *tour) call(ctx context.Context, instance int, key, path, body string, headers ...string) (response callResponse, err error) {
	defer func() { err = errors.WithMessage(err, path) }()
	process := t.Deployment.InstanceProcesses[instance%len(t.Deployment.InstanceProcesses)]
	url := "http://" + process.Announced("CallerAddress") + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return response, err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", "application/json")
	for _, header := range headers {
		name, value, _ := strings.Cut(header, ": ")
		request.Header.Set(name, value)
	}
	fmt.Printf("\nto %s: POST %s %s %s\n", process.Name, path, strings.Join(headers, " "), body)
	answer, err := t.client.Do(request)
	if err != nil {
		return response, err
	}
	defer answer.Body.Close()
	read, err := io.ReadAll(answer.Body)
	response = callResponse{status: answer.StatusCode, header: answer.Header, body: string(read)}
	t.show(ctx, response)
	return response, err
}

func (t *tour) show(ctx context.Context, response callResponse) {
	id := response.header.Get("X-Request-Id")
	fmt.Printf("  answer %d, request %s", response.status, id)
	if model := response.header.Get("X-Served-Model"); model != "" {
		fmt.Printf(", ran on %s at %s", model, t.findEngine(ctx, id))
	}
	if run := response.header.Get("X-Run"); run != "" {
		fmt.Printf(", X-Run: %s", run)
	}
	fmt.Printf("\n  %s\n", shorten(response.body))
}

func shorten(body string) string {
	body = strings.TrimSpace(body)
	if len(body) <= maxShownBytes {
		return body
	}
	return body[:maxShownBytes/2] + " ... " + body[len(body)-maxShownBytes/2:]
}

// findEngine searches the records of the engines for the one that ran a request.
func (t *tour) findEngine(ctx context.Context, id string) string {
	for _, process := range t.Deployment.EngineProcesses {
		var record engine.Record
		if t.Deployment.Record(ctx, process, &record) != nil {
			continue
		}
		for _, request := range record.Requests {
			// The instance may append a suffix to the ID for each try.
			if strings.HasPrefix(request.RequestID, id) {
				return process.Name
			}
		}
	}
	return "an unknown engine"
}

// -----------------------------------------------------------------------------------------------

const (
	pathCompletions = "/v1/completions"
	pathChat        = "/v1/chat/completions"
	pathBooking     = "/services/" + deployment.BookingService + "/orders"
)

func (t *tour) completion(ctx context.Context) error {
	fmt.Println("\n1. A completion. The adapter's current version is loaded first, because no engine has it loaded.")
	response, err := t.call(ctx, 0, t.KeyA, pathCompletions,
		`{"model":"`+deployment.AdapterA+`","prompt":"Junction repainting, Half Way Tree","max_tokens":6}`)
	if err != nil {
		return err
	}
	return expectStatus(response, http.StatusOK)
}

func (t *tour) streamed(ctx context.Context) error {
	fmt.Println("\n2. A streamed chat completion on another adapter, with usage, through another instance.")
	response, err := t.call(ctx, 1, t.KeyB, pathChat, `{"model":"`+deployment.AdapterB+`@1","stream":true,`+
		`"stream_options":{"include_usage":true},"max_tokens":6,`+
		`"messages":[{"role":"user","content":"Plan for a clay pitch"}]}`)
	if err != nil {
		return err
	}
	if !strings.HasSuffix(strings.TrimSpace(response.body), "data: [DONE]") {
		return errors.New("the stream is incomplete: it does not end with data: [DONE]")
	}
	return expectStatus(response, http.StatusOK)
}

func (t *tour) otherWorkspace(ctx context.Context) error {
	fmt.Println("\n3. The first workspace's key requests the second workspace's adapter; the request is refused.")
	response, err := t.call(ctx, 2, t.KeyA, pathCompletions, `{"model":"`+deployment.AdapterB+`","prompt":"x"}`)
	if err != nil {
		return err
	}
	if response.status < http.StatusBadRequest {
		return errors.Errorf("answered %d, expected a refusal", response.status)
	}
	return nil
}

func (t *tour) booking(ctx context.Context) error {
	fmt.Println("\n4. A booking, sent twice with one idempotency key to two instances. It runs once.")
	for instance := range 2 {
		response, err := t.call(ctx, instance, t.KeyB, pathBooking, `{"Pallets":2}`,
			"Idempotency-Key: hotel-olympia-17")
		if err != nil {
			return err
		}
		if err := expectStatus(response, http.StatusOK); err != nil {
			return err
		}
	}
	var record service.Record
	if err := t.Deployment.Record(ctx, t.Deployment.ServiceProcesses[0], &record); err != nil {
		return err
	}
	fmt.Printf("  the record of the service: %d call(s) ran\n", len(record.Calls))
	if len(record.Calls) != 1 {
		return errors.Errorf("the booking ran %d times", len(record.Calls))
	}
	return nil
}

func (t *tour) withdrawn(ctx context.Context) error {
	fmt.Println("\n5. The first workspace's key is withdrawn while it is in use.")
	if _, err := t.Deployment.Operate(ctx, 0, "key", "withdraw", "-name", "key-a"); err != nil {
		return err
	}
	start := time.Now()
	for instance := range t.Deployment.InstanceProcesses {
		if err := t.awaitRefusal(ctx, instance, start); err != nil {
			return err
		}
	}
	return nil
}

func (t *tour) awaitRefusal(ctx context.Context, instance int, start time.Time) error {
	for time.Since(start) < withdrawalTimeout {
		response, err := t.call(ctx, instance, t.KeyA, pathCompletions,
			`{"model":"`+deployment.AdapterA+`","prompt":"again","max_tokens":1}`)
		if err != nil {
			return err
		}
		if response.status == http.StatusUnauthorized || response.status == http.StatusForbidden {
			fmt.Printf("  refused %.1f s after the withdrawal was accepted\n", time.Since(start).Seconds())
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("the withdrawn key is still accepted")
}

func expectStatus(response callResponse, status int) error {
	if response.status == status {
		return nil
	}
	var compact json.RawMessage
	if json.Unmarshal([]byte(response.body), &compact) == nil {
		return errors.Errorf("answered %d: %s", response.status, compact)
	}
	return errors.Errorf("answered %d", response.status)
}
