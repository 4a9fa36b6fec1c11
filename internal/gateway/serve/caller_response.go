package serve

import (
	"io"
	"net/http"
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/forward"
)

// caller_response.go writes the response to the caller, and ends it so that a broken one does not look complete.

// start sends the header of the response. If the upstream's response ends with its connection, the caller's does too:
// with a length or chunks, the instance would claim that the response is complete, which the upstream has not stated.
func (j *job) start(response *forward.Response) {
	j.started = true
	j.status = response.Status
	header := j.writer.Header()
	if response.Framing == forward.FramingClose {
		header.Set("Transfer-Encoding", "identity") // net/http sends no chunks, and closes the connection afterwards
	}
	framed := header.Get("Content-Length") != "" || j.acceptsChunks && response.Framing != forward.FramingClose
	j.endsWithConnection = !framed
	if j.endsWithConnection {
		j.beginUnframed(response)
	}
	j.writer.WriteHeader(response.Status)
}

// beginUnframed prepares and records a response that ends with its connection. If this process ends before the response does, this line is the
// only one about it.
func (j *job) beginUnframed(response *forward.Response) {
	j.resetUntilWhole()
	j.handler.unframed.Add(1)
	j.step("unframed").Str("Framing", string(response.Framing)).Bool("CallerTakesChunks", j.acceptsChunks).Msg("Decision")
}

func (j *job) endUnframed() {
	if j.endsWithConnection {
		j.handler.unframed.Add(-1)
	}
}

// abort ends a started response that cannot be completed, so that it does not look complete. If it ends with its
// connection, the connection has to be reset.
func (j *job) abort() {
	if j.endsWithConnection {
		j.resetConnection()
	}
	panic(http.ErrAbortHandler)
}

func (j *job) resetConnection() {
	if connection := j.hijack(); connection != nil {
		setLinger(connection, resetsOnClose)
		_ = connection.Close()
	}
}

// lingerTime is how long the end of a response is awaited at the caller: until it has closed the connection.
const lingerTime = 500 * time.Millisecond

// closeInOrder ends a complete response that ends with its connection. Closing a connection resets it if the caller has sent
// bytes that were not read, such as its next request, and a response that ends with a reset counts as broken. So the end is
// sent first, and what the caller still sends is read and dropped. Only here is the response whole, so that closing the
// connection may no longer reset it.
func (j *job) closeInOrder() {
	control := http.NewResponseController(j.writer)
	if err := control.Flush(); err != nil {
		return // the connection is broken already
	}
	connection := j.hijack()
	if connection == nil {
		return
	}
	defer connection.Close()
	setLinger(connection, sendsOnClose)
	tcp, ok := connection.(interface{ CloseWrite() error })
	if !ok || tcp.CloseWrite() != nil || connection.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, connection) // until the caller closes the connection
}

func (j *job) write(data []byte) error {
	if j.handler.Memory.IsBounded() {
		j.writing.begin()
		defer j.writing.end()
	}
	n, err := j.writer.Write(data)
	j.bytes += int64(n)
	return err
}
