package standin

// The verb demo: up, a short tour of what the system does, down. It prints what is asked, what came
// back, and from which instance and engine.

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

// withdrawnWithin bounds the wait for a withdrawn key to be refused.
const (
	withdrawnWithin = 20 * time.Second
	demoCallLimit   = 30 * time.Second
	shownBytes      = 200
)

type demoVerb struct{ sizes sizes }

func (*demoVerb) Name() string     { return "demo" }
func (*demoVerb) Synopsis() string { return "start a deployment, take a short tour of it, stop it" }
func (*demoVerb) Usage() string {
	return "demo [flags]\n\tUp, a guided tour (completions, a booking sent twice, a withdrawn key), down.\n"
}
func (v *demoVerb) SetFlags(flags *flag.FlagSet) { v.sizes.set(flags) }

func (v *demoVerb) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return exit(v.run(ctx))
}

func (v *demoVerb) run(ctx context.Context) (err error) {
	fmt.Println("Starting a store, a list, a weight store, engines, a service and entry instances on loopback.")
	environment, err := v.sizes.start(ctx)
	if err != nil {
		return err
	}
	defer func() {
		stopped := v.sizes.stop(context.WithoutCancel(ctx))
		if err == nil {
			err = stopped
		}
		if err == nil {
			fmt.Println("Stopped everything.")
		}
	}()
	shown := &tour{Environment: environment, client: &http.Client{Timeout: demoCallLimit}}
	return shown.run(ctx)
}

// tour is one guided tour.
type tour struct {
	deployment.Environment
	client *http.Client
}

func (t *tour) run(ctx context.Context) error {
	for _, step := range []func(context.Context) error{t.completion, t.streamed, t.refusedForOther, t.booking, t.withdrawn} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// answer is what came back to one call.
type answer struct {
	status int
	header http.Header
	body   string
}

func (t *tour) call(ctx context.Context, instance int, key, path, body string, headers ...string) (came answer, err error) {
	defer func() { err = errors.WithMessage(err, path) }()
	process := t.Deployment.InstanceProcesses[instance%len(t.Deployment.InstanceProcesses)]
	url := "http://" + process.Announced("CallerAddress") + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return came, err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", "application/json")
	for _, header := range headers {
		name, value, _ := strings.Cut(header, ": ")
		request.Header.Set(name, value)
	}
	fmt.Printf("\nto %s: POST %s %s %s\n", process.Name, path, strings.Join(headers, " "), body)
	sent, err := t.client.Do(request)
	if err != nil {
		return came, err
	}
	defer sent.Body.Close()
	read, err := io.ReadAll(sent.Body)
	came = answer{status: sent.StatusCode, header: sent.Header, body: string(read)}
	t.show(ctx, came)
	return came, err
}

func (t *tour) show(ctx context.Context, came answer) {
	id := came.header.Get("X-Request-Id")
	fmt.Printf("  answer %d, request %s", came.status, id)
	if model := came.header.Get("X-Served-Model"); model != "" {
		fmt.Printf(", ran on %s at %s", model, t.ranAt(ctx, id))
	}
	if run := came.header.Get("X-Run"); run != "" {
		fmt.Printf(", X-Run: %s", run)
	}
	fmt.Printf("\n  %s\n", shorten(came.body))
}

func shorten(body string) string {
	body = strings.TrimSpace(body)
	if len(body) <= shownBytes {
		return body
	}
	return body[:shownBytes/2] + " ... " + body[len(body)-shownBytes/2:]
}

// ranAt asks the engines' own records which of them ran a request.
func (t *tour) ranAt(ctx context.Context, id string) string {
	for _, process := range t.Deployment.EngineProcesses {
		var record engine.Record
		if t.Deployment.Record(ctx, process, &record) != nil {
			continue
		}
		for _, request := range record.Requests {
			// The instance may add to the identity, one for each try.
			if strings.HasPrefix(request.RequestID, id) {
				return process.Name
			}
		}
	}
	return "an engine that does not know it"
}

// -----------------------------------------------------------------------------------------------

const (
	pathCompletions = "/v1/completions"
	pathChat        = "/v1/chat/completions"
	pathBooking     = "/services/" + deployment.BookingService + "/orders"
)

func (t *tour) completion(ctx context.Context) error {
	fmt.Println("\n1. A completion. The adapter's current version is loaded first, as no engine holds it yet.")
	came, err := t.call(ctx, 0, t.KeyA, pathCompletions,
		`{"model":"`+deployment.AdapterA+`","prompt":"Junction repainting, Half Way Tree","max_tokens":6}`)
	if err != nil {
		return err
	}
	return expect(came, http.StatusOK)
}

func (t *tour) streamed(ctx context.Context) error {
	fmt.Println("\n2. A streamed chat completion on another adapter, with usage, by another instance.")
	came, err := t.call(ctx, 1, t.KeyB, pathChat, `{"model":"`+deployment.AdapterB+`@1","stream":true,`+
		`"stream_options":{"include_usage":true},"max_tokens":6,`+
		`"messages":[{"role":"user","content":"Plan for a clay pitch"}]}`)
	if err != nil {
		return err
	}
	if !strings.HasSuffix(strings.TrimSpace(came.body), "data: [DONE]") {
		return errors.New("the stream did not come whole")
	}
	return expect(came, http.StatusOK)
}

func (t *tour) refusedForOther(ctx context.Context) error {
	fmt.Println("\n3. The first workspace's key asks for the second's adapter.")
	came, err := t.call(ctx, 2, t.KeyA, pathCompletions, `{"model":"`+deployment.AdapterB+`","prompt":"x"}`)
	if err != nil {
		return err
	}
	if came.status < http.StatusBadRequest {
		return errors.Errorf("answered %d, expected a refusal", came.status)
	}
	return nil
}

func (t *tour) booking(ctx context.Context) error {
	fmt.Println("\n4. A booking, sent twice with one idempotency key to two instances. It runs once.")
	for instance := range 2 {
		came, err := t.call(ctx, instance, t.KeyB, pathBooking, `{"Pallets":2}`,
			"Idempotency-Key: hotel-olympia-17")
		if err != nil {
			return err
		}
		if err := expect(came, http.StatusOK); err != nil {
			return err
		}
	}
	var record service.Record
	if err := t.Deployment.Record(ctx, t.Deployment.ServiceProcesses[0], &record); err != nil {
		return err
	}
	fmt.Printf("  the service's own record: %d call(s) ran\n", len(record.Calls))
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
	begun := time.Now()
	for instance := range t.Deployment.InstanceProcesses {
		if err := t.awaitRefusal(ctx, instance, begun); err != nil {
			return err
		}
	}
	return nil
}

func (t *tour) awaitRefusal(ctx context.Context, instance int, begun time.Time) error {
	for time.Since(begun) < withdrawnWithin {
		came, err := t.call(ctx, instance, t.KeyA, pathCompletions,
			`{"model":"`+deployment.AdapterA+`","prompt":"again","max_tokens":1}`)
		if err != nil {
			return err
		}
		if came.status == http.StatusUnauthorized || came.status == http.StatusForbidden {
			fmt.Printf("  refused %.1f s after the withdrawal was accepted\n", time.Since(begun).Seconds())
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("the withdrawn key still works")
}

func expect(came answer, status int) error {
	if came.status == status {
		return nil
	}
	var compact json.RawMessage
	if json.Unmarshal([]byte(came.body), &compact) == nil {
		return errors.Errorf("answered %d: %s", came.status, compact)
	}
	return errors.Errorf("answered %d", came.status)
}
