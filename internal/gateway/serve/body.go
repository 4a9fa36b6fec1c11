package serve

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/caller/refusal"
	"lacewingrock.example/lacewingrock/internal/gateway/memory"
)

// body.go reads the bodies of requests, within the account of what the instance holds.

const (
	// defaultBodyBytes bounds a body if the configuration states no limit.
	defaultBodyBytes = 4 << 20
	// bodyStep is how many bytes at a time are reserved for a body without a stated length.
	bodyStep = memory.SmallBodyBytes
	// memoryRetryAfter is the retry time if there is no room for a body. A body is held until its request ends,
	// typically after about a second.
	memoryRetryAfter = time.Second
)

// bodyReservation is what is reserved in the account for the body of a request.
type bodyReservation struct {
	small, large int64
}

// reserve reserves bytes for the body, or for more of it.
func (b *bodyReservation) reserve(account *memory.Account, bytes int64) bool {
	kind := memory.BodyKind(b.small + b.large + bytes)
	if !account.Reserve(kind, bytes) {
		account.RecordRefusal(kind)
		return false
	}
	if kind == memory.LargeBody {
		b.large += bytes
	} else {
		b.small += bytes
	}
	return true
}

func (b *bodyReservation) release(account *memory.Account) {
	account.Release(memory.SmallBody, b.small)
	account.Release(memory.LargeBody, b.large)
	*b = bodyReservation{}
}

// readBody reads the whole body before the request is sent: a retry needs it, and a slow caller must not occupy an
// upstream while it sends its body.
func (j *job) readBody(r *http.Request) error {
	limit := j.table.Configuration.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if r.ContentLength > limit {
		return refusal.New(refusal.BodyTooLarge, "the body is longer than the limit")
	}
	body, err := j.receiveRequestBody(r.ContentLength, http.MaxBytesReader(j.writer, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errNoMemory):
		return j.refuseForMemory(r)
	case errors.As(err, &tooLarge):
		return refusal.New(refusal.BodyTooLarge, "the body is longer than the limit")
	case err != nil:
		return refusal.New(refusal.BadRequest, "the body could not be read")
	}
	j.call.Body = body
	j.clearReadDeadline()
	return nil
}

var errNoMemory = errors.New("no room in the account")

// receiveRequestBody reads a body with a stated length, or one without if that is negative.
func (j *job) receiveRequestBody(length int64, reader io.Reader) (body []byte, err error) {
	if length >= 0 {
		if !j.body.reserve(j.handler.Memory, length) {
			return nil, errNoMemory
		}
		return j.receiveStatedBody(length, reader)
	}
	for !errors.Is(err, io.EOF) {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		for int64(cap(body)) > j.body.small+j.body.large {
			if !j.body.reserve(j.handler.Memory, bodyStep) {
				return nil, errNoMemory
			}
		}
		var n int
		n, err = reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, err
		}
	}
	return body, nil
}

// receiveStatedBody reads a body with a stated length. Within a bounded account its room is reserved, and one buffer of that
// length spares the copies of a growing one. Without a bound the buffer grows with what has arrived: a few callers that state
// a length and send nothing would otherwise hold more memory than a small instance has.
func (j *job) receiveStatedBody(length int64, reader io.Reader) (body []byte, err error) {
	if j.handler.Memory.IsBounded() {
		body = make([]byte, length)
		_, err = io.ReadFull(reader, body)
		return body, err
	}
	body, err = io.ReadAll(reader)
	if err == nil && int64(len(body)) < length {
		err = io.ErrUnexpectedEOF
	}
	return body, err
}

// refuseForMemory refuses a request whose body has no room, and closes its connection.
func (j *job) refuseForMemory(r *http.Request) error {
	length := r.ContentLength
	j.writer.Header().Set("Connection", "close")
	j.refusedBody = r.Body
	j.body.release(j.handler.Memory) // what was read is dropped
	if err := http.NewResponseController(j.writer).EnableFullDuplex(); err != nil {
		j.handler.Log.Debug().Err(err).Msg("NoFullDuplex")
	}
	held, _ := j.handler.Memory.Total()
	j.step("memory").Int64("Bytes", length).Int64("Held", held).Int64("Limit", j.handler.Memory.Limit).Msg("Decision")
	return refusal.New(refusal.Busy, "the instance has no memory left for the body").WithRetryAfter(memoryRetryAfter)
}

// discardTime bounds how long the rest of a refused body is read.
const discardTime = time.Second

// discardBody reads what the caller still sends of a body that was refused, and drops it. Many callers read no
// response until they have sent their body, and would see nothing but a broken connection.
func (j *job) discardBody() {
	control := http.NewResponseController(j.writer)
	if control.Flush() != nil || control.SetReadDeadline(time.Now().Add(discardTime)) != nil {
		return // the connection is broken already
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(j.refusedBody, defaultBodyBytes)) // until the caller ends it, or closes the connection
}

// keep keeps the failure of an attempt in place of an earlier one.
func (j *job) keep(failed *attempt) {
	if j.failure != nil {
		j.failure.releaseHeld()
	}
	j.failure = failed
}

// releaseMemory releases what is reserved for the request and for a failure that was kept.
func (j *job) releaseMemory() {
	j.body.release(j.handler.Memory)
	if j.failure != nil {
		j.failure.releaseHeld()
	}
}
