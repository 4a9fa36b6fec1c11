package daemon

import (
	"bufio"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/residence"
	"lacewingrock.example/lacewingrock/platform"
)

// Guards against an order that arrives after those of the next holder, as the kernel goes on sending it once its sender has given
// it up.
func TestOrderThatIsGivenUpIsReset(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	orders := &platform.Orders{Client: newOrderClient(), Timeout: 50 * time.Millisecond}
	given := make(chan residence.Outcome)
	go func() {
		response, _ := orders.Order(t.Context(), traffic.Upstream{ID: "u", Address: listener.Addr().String()}, "a", 1, residence.Order{})
		given <- response.Outcome
	}()
	connection, err := listener.Accept()
	is.NoErr(err)
	defer connection.Close()
	reader := bufio.NewReader(connection)
	_, err = http.ReadRequest(reader) // and no response
	is.NoErr(err)
	is.Equal(<-given, residence.NoAnswer)
	is.NoErr(connection.SetReadDeadline(time.Now().Add(time.Second)))
	for err == nil {
		_, err = reader.ReadByte() // the rest of the request
	}
	is.True(errors.Is(err, syscall.ECONNRESET))
}
