package serve

import (
	"context"
	"net"
	"net/http"
)

// caller_connection.go has a caller's connection reset whenever it is closed before a response that ends with it is whole.
//
// The kernel closes the connections of a process that ends in order, whatever ended it, and a caller takes that for the end of
// such a response. Nothing can be done about it when the process is killed, so the connection is prepared when the response
// begins: with a linger time of 0, closing resets it.

// connectionKey is the key of a caller's connection in the contexts of its requests.
type connectionKey struct{}

// WithConnection returns a context with the connection of a caller. It is the ConnContext of an HTTP server: without it,
// connections are reset only if a response breaks while the process runs.
func WithConnection(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, connection)
}

// ConnectionOf returns the connection of the request with that context, nil if there is none.
func ConnectionOf(ctx context.Context) net.Conn {
	connection, _ := ctx.Value(connectionKey{}).(net.Conn)
	return connection
}

// Linger times in seconds, as net.TCPConn.SetLinger takes them.
const (
	// resetsOnClose drops what was not acknowledged, and resets the connection.
	resetsOnClose = 0
	// sendsOnClose has the kernel send all that was written, and then the end.
	sendsOnClose = -1
)

// lingerer is a connection whose behaviour on closing can be set.
type lingerer interface{ SetLinger(seconds int) error }

// setLinger sets what closing a connection does, and reports whether it could be set.
func setLinger(connection net.Conn, seconds int) bool {
	tcp, ok := connection.(lingerer)
	return ok && tcp.SetLinger(seconds) == nil
}

// resetUntilWhole has the caller's connection reset if it is closed before the response is whole.
func (j *job) resetUntilWhole() {
	if connection := ConnectionOf(j.caller); connection != nil && !setLinger(connection, resetsOnClose) {
		j.handler.Log.Debug().Msg("NoReset") // the connection is broken already
	}
}

// hijack takes the caller's connection over from the HTTP server, nil if it is broken already.
func (j *job) hijack() net.Conn {
	connection, _, err := http.NewResponseController(j.writer).Hijack()
	if err != nil {
		return nil
	}
	return connection
}
