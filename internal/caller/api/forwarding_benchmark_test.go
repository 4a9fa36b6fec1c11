package api_test

// The processor cost of forwarding, end to end over loopback. The server, the engine's client and the stream between them
// run in this process. The callers and the engine run in a second process of the same test program. The processor time
// that the operating system counts for this process, and a profile of it, are therefore those of the instance only.

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
	// remoteVariable makes the test program run as the callers and the engine.
	remoteVariable   = "FORWARDING_COST_FAR_END"
	benchmarkStreams = 16
	benchmarkTokens  = 1000
	tokenInterval    = time.Millisecond
)

func TestMain(m *testing.M) {
	if os.Getenv(remoteVariable) != "" {
		runRemote()
		return
	}
	os.Exit(m.Run())
}

// BenchmarkForwardToken measures the cost of a token in streams of benchmarkTokens tokens, one each millisecond. It
// needs at least benchmarkTokens*benchmarkStreams operations for an exact result.
func BenchmarkForwardToken(b *testing.B) {
	streams := (b.N + benchmarkTokens - 1) / benchmarkTokens
	measureForwarding(b, streams, benchmarkTokens, streams*benchmarkTokens)
}

// BenchmarkForwardRequest measures the cost of a request whose answer has one token.
func BenchmarkForwardRequest(b *testing.B) {
	measureForwarding(b, b.N, 1, b.N)
}

// measureForwarding reports the processor time of this process per operation.
func measureForwarding(b *testing.B, requests, tokens, operations int) {
	remoteEnd := startRemote(b)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	forward := &forwardingPipeline{client: &engine.Client{Address: remoteEnd.engine}}
	server := &http.Server{Handler: (&api.Server{Pipeline: forward}).Handler()}
	go server.Serve(listener)
	defer server.Close()
	remoteEnd.sendRequests(b, listener.Addr().String(), benchmarkStreams, 1) // open the connections before measuring
	before := processorTime(b)
	b.ResetTimer()
	remoteEnd.sendRequests(b, listener.Addr().String(), requests, tokens)
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

// forwardingPipeline sends each request to one engine, without admission or placement.
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

// remote is the process that runs the callers and the engine.
type remote struct {
	engine   string
	commands io.Writer
	output   *bufio.Reader
}

func startRemote(b *testing.B) *remote {
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), remoteVariable+"=1")
	command.Stderr = os.Stderr
	commands, err := command.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	output, err := command.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := command.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		commands.Close() // the process exits when its input ends
		command.Wait()
	})
	remoteEnd := &remote{commands: commands, output: bufio.NewReader(output)}
	remoteEnd.engine = remoteEnd.readLine(b)
	return remoteEnd
}

func (f *remote) readLine(b *testing.B) string {
	line, err := f.output.ReadString('\n')
	if err != nil {
		b.Fatal(err)
	}
	return strings.TrimSpace(line)
}

// sendRequests has the remote process send requests to the server at address, each for the given number of tokens.
func (f *remote) sendRequests(b *testing.B, address string, requests, tokens int) {
	fmt.Fprintln(f.commands, address, requests, tokens)
	if answer := f.readLine(b); answer != "done" {
		b.Fatal(answer)
	}
}

// runRemote serves as the engine, and sends the requests that it reads from its input until that ends.
func runRemote() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	go http.Serve(listener, http.HandlerFunc(generateTokens))
	fmt.Println(listener.Addr())
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchmarkStreams}}
	for {
		var address string
		var requests, tokens int
		if _, err := fmt.Scanln(&address, &requests, &tokens); err != nil {
			return
		}
		fmt.Println(sendAll(client, address, requests, tokens))
	}
}

// generateTokens answers with the requested number of tokens.
func generateTokens(w http.ResponseWriter, r *http.Request) {
	var tokens int
	body, _ := io.ReadAll(r.Body)
	_, most, _ := strings.Cut(string(body), `"max_tokens":`)
	fmt.Sscan(most, &tokens)
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Served-Model", "bids@2")
	ticker := time.NewTicker(tokenInterval)
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

// sendAll sends the requests, benchmarkStreams at a time, and returns "done" or the first error.
func sendAll(client *http.Client, address string, requests, tokens int) string {
	body := fmt.Sprintf(`{"model":"bids@2","prompt":"measure","max_tokens":%d,"stream":true}`, tokens)
	numbers, failures := make(chan int), make(chan string, benchmarkStreams)
	var group sync.WaitGroup
	for range benchmarkStreams {
		group.Go(func() {
			for range numbers {
				if err := sendOne(client, address, body, tokens); err != nil {
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

func sendOne(client *http.Client, address, body string, tokens int) error {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer secret")
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if got := strings.Count(string(text), " paint"); got != tokens || !strings.HasSuffix(string(text), "data: [DONE]\n\n") {
		return fmt.Errorf("status %d, %d tokens", response.StatusCode, got)
	}
	return nil
}
