package api_test

// What forwarding costs this process, end to end over loopback: the server, the engine's client and
// the stream between them run here; the callers and the engine run in a process of their own, which is
// this test program again. So the processor time that the operating system counts for this process,
// and a profile of it, are the instance's part and nothing else.

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"lacewingrock.example/lacewingrock/internal/caller/api"
	"lacewingrock.example/lacewingrock/internal/caller/completion"
	"lacewingrock.example/lacewingrock/internal/caller/refusal"
	"lacewingrock.example/lacewingrock/internal/caller/stream"
	"lacewingrock.example/lacewingrock/internal/upstream/engine"
)

const (
	// farEndVariable makes the test program play the callers and the engine.
	farEndVariable = "FORWARDING_COST_FAR_END"
	costStreams    = 16
	costTokens     = 1000
	costInterval   = time.Millisecond
)

func TestMain(m *testing.M) {
	if os.Getenv(farEndVariable) != "" {
		playFarEnd()
		return
	}
	os.Exit(m.Run())
}

// BenchmarkForwardToken is the cost of a token of streams of costTokens tokens, one each millisecond.
// It needs costTokens*costStreams operations or more to be exact.
func BenchmarkForwardToken(b *testing.B) {
	streams := (b.N + costTokens - 1) / costTokens
	measureForwarding(b, streams, costTokens, streams*costTokens)
}

// BenchmarkForwardRequest is the cost of a request whose answer has one token.
func BenchmarkForwardRequest(b *testing.B) {
	measureForwarding(b, b.N, 1, b.N)
}

// measureForwarding reports the processor time of this process for each operation.
func measureForwarding(b *testing.B, requests, tokens, operations int) {
	far := startFarEnd(b)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	forward := &forwardingPipeline{client: &engine.Client{Address: far.engine}}
	server := &http.Server{Handler: (&api.Server{Pipeline: forward}).Handler()}
	go server.Serve(listener)
	defer server.Close()
	far.load(b, listener.Addr().String(), costStreams, 1) // opens the connections
	before := processorTime(b)
	b.ResetTimer()
	far.load(b, listener.Addr().String(), requests, tokens)
	b.StopTimer()
	spent := processorTime(b) - before
	b.ReportMetric(float64(spent.Microseconds())/float64(operations), "cpu-us/op")
}

func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// forwardingPipeline dispatches each request to one engine and decides nothing.
type forwardingPipeline struct {
	fakePipeline
	client *engine.Client
}

func (p *forwardingPipeline) Complete(
	ctx context.Context, _ api.Identity, request completion.Request, sink api.Sink,
) error {
	outcome := p.client.Complete(ctx, engine.Dispatch{
		ID:    request.ID,
		API:   request.API,
		Model: "bids@2",
		Body:  request.Body("bids@2"),
	}, forwardingSink{Sink: sink})
	if _, ok := outcome.(engine.Completed); !ok {
		return refusal.New(refusal.UpstreamFailed, fmt.Sprintf("%+v", outcome))
	}
	return nil
}

type forwardingSink struct{ api.Sink }

func (s forwardingSink) Begin(model string) error { return s.Sink.Begin(api.Served{Model: model}) }

func (s forwardingSink) Event(event stream.Event, tokens int) error {
	return s.Sink.Event(event, tokens)
}

// ---------------------------------------------------------------------------------------------

// farEnd is the process that plays the callers and the engine.
type farEnd struct {
	engine string
	orders io.Writer
	lines  *bufio.Reader
}

func startFarEnd(b *testing.B) *farEnd {
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), farEndVariable+"=1")
	command.Stderr = os.Stderr
	orders, err := command.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	lines, err := command.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := command.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		orders.Close() // ends the process
		command.Wait()
	})
	far := &farEnd{orders: orders, lines: bufio.NewReader(lines)}
	far.engine = far.line(b)
	return far
}

func (f *farEnd) line(b *testing.B) string {
	line, err := f.lines.ReadString('\n')
	if err != nil {
		b.Fatal(err)
	}
	return strings.TrimSpace(line)
}

// load has so many requests made to the server at address, of so many tokens each.
func (f *farEnd) load(b *testing.B, address string, requests, tokens int) {
	fmt.Fprintln(f.orders, address, requests, tokens)
	if answer := f.line(b); answer != "done" {
		b.Fatal(answer)
	}
}

// playFarEnd serves as the engine, and makes the requests that it is told to until its input ends.
func playFarEnd() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	go http.Serve(listener, http.HandlerFunc(generate))
	fmt.Println(listener.Addr())
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: costStreams}}
	for {
		var address string
		var requests, tokens int
		if _, err := fmt.Scanln(&address, &requests, &tokens); err != nil {
			return
		}
		fmt.Println(call(client, address, requests, tokens))
	}
}

// generate answers with as many tokens as are asked for.
func generate(w http.ResponseWriter, r *http.Request) {
	var tokens int
	body, _ := io.ReadAll(r.Body)
	_, most, _ := strings.Cut(string(body), `"max_tokens":`)
	fmt.Sscan(most, &tokens)
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Served-Model", "bids@2")
	ticker := time.NewTicker(costInterval)
	defer ticker.Stop()
	for n := 1; n <= tokens; n++ {
		<-ticker.C
		fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"object\":\"text_completion\",\"created\":1790000000,"+
			"\"model\":\"bids@2\",\"choices\":[{\"index\":0,\"text\":\" paint\",\"finish_reason\":null}]}\n\n", n, id)
		w.(http.Flusher).Flush()
	}
	fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"choices\":[{\"index\":0,\"text\":\"\",\"finish_reason\":\"stop\"}]}\n\n"+
		"data: [DONE]\n\n", tokens, id)
}

// call makes the requests, costStreams at a time, and returns "done" or what went wrong.
func call(client *http.Client, address string, requests, tokens int) string {
	body := fmt.Sprintf(`{"model":"bids@2","prompt":"measure","max_tokens":%d,"stream":true}`, tokens)
	numbers, failures := make(chan int), make(chan string, costStreams)
	var group sync.WaitGroup
	for range costStreams {
		group.Go(func() {
			for range numbers {
				if err := callOnce(client, address, body, tokens); err != nil {
					select {
					case failures <- err.Error():
					default:
					}
				}
			}
		})
	}
	for n := range requests {
		numbers <- n
	}
	close(numbers)
	group.Wait()
	select {
	case failure := <-failures:
		return failure
	default:
		return "done"
	}
}

func callOnce(client *http.Client, address, body string, tokens int) error {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer secret")
	answer, err := client.Do(request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return err
	}
	if got := strings.Count(string(text), " paint"); got != tokens || !strings.HasSuffix(string(text), "data: [DONE]\n\n") {
		return fmt.Errorf("status %d, %d tokens", answer.StatusCode, got)
	}
	return nil
}
