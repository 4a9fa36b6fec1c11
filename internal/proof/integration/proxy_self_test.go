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

// Something between two ends forgets the connections that it tracks. Whoever sends on one waits for
// good, while a new connection is answered; a proof that relies on this needs the proxy to do it.
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
	between := newProxy(t, "list", server.Address)
	get := func(client *http.Client) error {
		answer, err := client.Get("http://" + between.address() + "/v1/members")
		if err != nil {
			return err
		}
		defer answer.Body.Close()
		_, err = io.Copy(io.Discard, answer.Body)
		return err
	}
	fresh := func(limit time.Duration) *http.Client {
		return &http.Client{Transport: &http.Transport{}, Timeout: limit}
	}
	old := fresh(500 * time.Millisecond)
	is.NoErr(get(old))
	between.silenceOpen()
	is.True(get(old) != nil)
	is.NoErr(get(fresh(settleLimit)))

	between.partition(true)
	is.True(get(fresh(500*time.Millisecond)) != nil)
	between.partition(false)
	is.NoErr(get(fresh(settleLimit)))

	between.refuse()
	is.True(get(fresh(settleLimit)) != nil)
	between.accept()
	is.NoErr(get(fresh(settleLimit)))

	between.cutAfter("downstream", 10)
	is.True(get(fresh(settleLimit)) != nil)
	between.mend()
	is.NoErr(get(fresh(settleLimit)))
}
