package serve_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// lockedBuffer is a buffer for the log of a handler.
type lockedBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

// Write adds a line.
func (b *lockedBuffer) Write(line []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.Write(line)
}

// requestLine returns the line at the end of a request, empty if it has not ended yet.
func (b *lockedBuffer) requestLine() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, line := range strings.Split(b.buffer.String(), "\n") {
		if strings.Contains(line, `"message":"Request"`) {
			return line
		}
	}
	return ""
}

// Guards against logs that do not show who ended a response before it was complete, and how far it was.
func TestLogNamesWhoEndedAResponse(t *testing.T) {
	hangs := func(rw http.ResponseWriter, r *http.Request) {
		respondInChunks(rw, r, event(1))
		<-r.Context().Done()
	}
	for _, c := range []struct {
		name    string
		respond http.HandlerFunc
		leaves  bool
		ender   string
	}{
		{"the upstream resets its connection", func(rw http.ResponseWriter, r *http.Request) {
			respondInChunks(rw, r, event(1))
			time.Sleep(30 * time.Millisecond)
			reset(rw, r)
		}, false, "upstream"},
		{"the caller leaves", hangs, true, "caller"},
		{"the deadline passes", hangs, false, "deadline"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newHarness(t, c.respond)
			log := &lockedBuffer{}
			h.handler.Log = zerolog.New(log)
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			response, err := http.DefaultClient.Do(h.request("/single/", "b", headerTimeout, "600").WithContext(ctx))
			is.NoErr(err)
			defer response.Body.Close()
			if c.leaves {
				leave()
			}
			_, err = io.ReadAll(response.Body)
			is.True(err != nil)
			for log.requestLine() == "" {
				time.Sleep(10 * time.Millisecond)
			}
			is.True(strings.Contains(log.requestLine(), `"EndedBy":"`+c.ender+`"`))
			is.True(strings.Contains(log.requestLine(), `"LastSent":"1"`))
			is.True(strings.Contains(log.requestLine(), `"ConfigurationAtEnd":3`))
		})
	}
}
