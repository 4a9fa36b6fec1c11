package backlog

import (
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sys/unix"
)

// uncountedConnection is one on a system that does not tell what is unacknowledged. It takes nothing at first.
type uncountedConnection struct {
	net.Conn
	waits int
	got   strings.Builder
}

func (c *uncountedConnection) WriteImmediately([]byte) (int, error) { return 0, nil }
func (c *uncountedConnection) Unacknowledged() (int, error)         { return 0, unix.ENOTTY }
func (c *uncountedConnection) CloseWrite() error                    { return nil }
func (c *uncountedConnection) SetLinger(int) error                  { return nil }
func (c *uncountedConnection) SetWriteDeadline(time.Time) error     { return nil }

func (c *uncountedConnection) Write(data []byte) (int, error) {
	if c.waits > 0 {
		c.waits--
		return 0, errors.WithStack(os.ErrDeadlineExceeded)
	}
	return c.got.Write(data)
}

// Guards against a slow caller that loses its response at the first check of its progress, where the system does not tell how much
// is unacknowledged.
func TestSlowCallerWithoutACountOfUnacknowledgedBytes(t *testing.T) {
	is := is.New(t)
	inner := &uncountedConnection{waits: maxStalls - 1}
	c := newConnection(&Backlogs{Scope: tally.NoopScope}, inner)
	is.NoErr(c.send([]byte("response")))
	is.Equal(inner.got.String(), "response")
	inner.waits = maxStalls
	is.True(errors.Is(c.send([]byte("response")), errStalled))
}
