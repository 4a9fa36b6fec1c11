//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"
)

// client.go has the stand-in of clients.

// request is what a client sends. patience is how long it waits for the first byte of the answer, and pause how long for more.
type request struct {
	method, target, id, header, body string
	deadline, patience, pause        time.Duration
}

// seen is what a client has seen of an answer.
type seen struct {
	status int
	stamp  string
	length int64
	body   []byte
	// whole: the answer looks complete. left: the client has closed the connection itself.
	whole, left bool
	end         string
	took        time.Duration
}

// send sends a request to a machine on a connection of its own, and reads the answer up to its end.
func send(m *machine, q request) (s seen) {
	began := time.Now()
	defer func() {
		s.took = time.Since(began)
		note("client: request %s to %s: status %d, %d bytes, end: %s, after %.1f s", q.id, m.name, s.status, len(s.body), s.end, s.took.Seconds())
	}()
	connection, err := net.DialTimeout("tcp", m.frontend, time.Second)
	if err != nil {
		return seen{end: err.Error()}
	}
	defer connection.Close()
	note("client: sends request %s to %s: %s %s", q.id, m.name, q.method, q.target)
	fmt.Fprintf(connection, "%s %s HTTP/1.1\r\nHost: lines.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		q.method, q.target, q.id, q.deadline.Milliseconds(), q.header, len(q.body), q.body)
	reader := bufio.NewReader(connection)
	_ = connection.SetReadDeadline(began.Add(q.patience))
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		s.end, s.left = endOf(err)
		return s
	}
	s.status, s.stamp, s.length = response.StatusCode, response.Header.Get("X-Server-Stamp"), response.ContentLength
	buffer := make([]byte, 32<<10)
	for err == nil {
		_ = connection.SetReadDeadline(time.Now().Add(q.pause))
		var n int
		n, err = response.Body.Read(buffer)
		s.body = append(s.body, buffer[:n]...)
	}
	s.whole = errors.Is(err, io.EOF)
	s.end, s.left = endOf(err)
	return s
}

func endOf(err error) (text string, left bool) {
	switch {
	case errors.Is(err, io.EOF):
		return "the machine closed the connection in order", false
	case errors.Is(err, io.ErrUnexpectedEOF):
		return "the machine closed the connection before the end of the answer", false
	case errors.Is(err, syscall.ECONNRESET):
		return "reset", false
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "the client has left", true
	}
	return err.Error(), false
}
