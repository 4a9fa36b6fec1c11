package integration

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/standin/list"
)

// A middlebox that loses its connection state silently drops all packets of existing connections, while new
// connections work. Tests rely on the proxy to reproduce this.
func TestProxySilencesOldConnectionsOnly(t *testing.T) {
	is := is.New(t)
	server := &list.Server{}
	is.NoErr(server.Listen())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx) }()
	defer func() {
		cancel()
		is.NoErr(<-ended)
	}()
	p := newProxy(t, "list", server.Address)
	get := func(client *http.Client) error {
		answer, err := client.Get("http://" + p.address() + "/v1/members")
		if err != nil {
			return err
		}
		defer answer.Body.Close()
		_, err = io.Copy(io.Discard, answer.Body)
		return err
	}
	newClient := func(limit time.Duration) *http.Client {
		return &http.Client{Transport: &http.Transport{}, Timeout: limit}
	}
	old := newClient(500 * time.Millisecond)
	is.NoErr(get(old))
	p.silenceOpen()
	is.True(get(old) != nil)
	is.NoErr(get(newClient(settleLimit)))

	p.partition(true)
	is.True(get(newClient(500*time.Millisecond)) != nil)
	p.partition(false)
	is.NoErr(get(newClient(settleLimit)))

	p.refuse()
	is.True(get(newClient(settleLimit)) != nil)
	p.accept()
	is.NoErr(get(newClient(settleLimit)))

	p.cutAfter("downstream", 10)
	is.True(get(newClient(settleLimit)) != nil)
	p.endCut()
	is.NoErr(get(newClient(settleLimit)))
}
