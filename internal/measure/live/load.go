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

// load.go puts one instance under a load of short and one of long streamed answers. The difference of
// the two is the cost of the tokens, what is left the cost of the requests.

// measureLoad runs both loads on one instance. The engines generate as fast as they can: the instance is
// to be measured, not they.
func measureLoad(ctx context.Context, options Options) (short, long underLoad, err error) {
	fast := []string{"-token=1ms", "-first-token=1ms"}
	err = within(ctx, options, 1, fast, func(d *deployment.Deployment) error {
		key, err := d.Grant(ctx, "w", "load")
		if err != nil {
			return err
		}
		if err := d.AwaitKeys(ctx, key); err != nil {
			return err
		}
		caller := &caller{address: d.InstanceProcesses[0].Announced("CallerAddress"), key: key}
		// The first call waits for the instance's share and loads the adapter.
		if err := d.Retry(ctx, func() error { return caller.callOnce(ctx, 1) }); err != nil {
			return err
		}
		if short, err = caller.load(ctx, d, 1); err != nil {
			return err
		}
		long, err = caller.load(ctx, d, longAnswer)
		return err
	})
	return short, long, err
}

// caller calls one instance.
type caller struct {
	address string
	key     string
	client  http.Client
	next    atomic.Int64
}

func (c *caller) load(ctx context.Context, d *deployment.Deployment, tokens int) (underLoad, error) {
	pid := d.InstanceProcesses[0].Pid()
	before, err := usageOf(pid)
	if err != nil {
		return underLoad{}, err
	}
	began := time.Now()
	c.next.Store(0)
	failures := make(chan error, callers)
	var group sync.WaitGroup
	for range callers {
		group.Go(func() { c.run(ctx, tokens, failures) })
	}
	group.Wait()
	select {
	case err := <-failures:
		return underLoad{}, err
	default:
	}
	took := time.Since(began)
	after, err := usageOf(pid)
	return underLoad{tokens: tokens, cpu: after.cpu - before.cpu, took: took}, err
}

// run makes calls until the load is done or one fails.
func (c *caller) run(ctx context.Context, tokens int, failures chan<- error) {
	for c.next.Add(1) <= requests {
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
