package live

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/standin/deployment"
)

// load.go measures one instance under a load of short streamed answers and under one of long ones. The difference
// is the cost of the tokens; the remainder is the cost of the requests.

// measureLoad runs both loads on one instance. The engines generate tokens at a high rate, so that the instance
// is measured and not the engines.
func measureLoad(ctx context.Context, options Options) (short, long loadUsage, err error) {
	fast := []string{"-token=1ms", "-first-token=1ms"}
	err = withDeployment(ctx, options, 1, fast, func(d *deployment.Deployment) error {
		key, err := d.Grant(ctx, "w", "load")
		if err != nil {
			return err
		}
		if err := d.AwaitKeys(ctx, key); err != nil {
			return err
		}
		caller := &caller{address: d.InstanceProcesses[0].Announced("CallerAddress"), key: key}
		// The first call waits until the instance has its share of the rate limit, and loads the adapter.
		if err := d.Retry(ctx, func() error { return caller.callOnce(ctx, 1) }); err != nil {
			return err
		}
		if short, err = caller.load(ctx, d, 1); err != nil {
			return err
		}
		long, err = caller.load(ctx, d, longAnswerTokens)
		return err
	})
	return short, long, err
}

// caller sends requests to one instance.
type caller struct {
	address string
	key     string
	client  http.Client
	next    atomic.Int64
}

func (c *caller) load(ctx context.Context, d *deployment.Deployment, tokens int) (loadUsage, error) {
	pid := d.InstanceProcesses[0].Pid()
	before, err := readUsage(pid)
	if err != nil {
		return loadUsage{}, err
	}
	began := time.Now()
	c.next.Store(0)
	failures := make(chan error, callerCount)
	var group sync.WaitGroup
	for range callerCount {
		group.Go(func() { c.run(ctx, tokens, failures) })
	}
	group.Wait()
	select {
	case err := <-failures:
		return loadUsage{}, err
	default:
	}
	took := time.Since(began)
	after, err := readUsage(pid)
	return loadUsage{tokens: tokens, cpu: after.cpu - before.cpu, took: took}, err
}

// run makes calls until the load is complete or a call fails.
func (c *caller) run(ctx context.Context, tokens int, failures chan<- error) {
	for c.next.Add(1) <= requestCount {
		if err := c.callOnce(ctx, tokens); err != nil {
			failures <- err
			return
		}
	}
}

func (c *caller) callOnce(ctx context.Context, tokens int) (err error) {
	defer func() { err = errors.WithMessage(err, "call") }()
	body := fmt.Sprintf(`{"model":"a","prompt":"measure","max_tokens":%d,"stream":true}`, tokens)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+c.address+"/v1/completions", bytes.NewReader([]byte(body)))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	answer, err := c.client.Do(request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", answer.StatusCode)
	}
	_, err = io.Copy(io.Discard, answer.Body)
	return err
}
