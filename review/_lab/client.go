package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// request is what a client sends.
type request struct {
	id, method, path, body string
	deadline               time.Duration
	header                 string
}

// answer is what a client got. Status is 0 if the connection ended without a whole answer.
type answer struct {
	request
	node   string
	status int
	stamp  string
	sent   time.Duration
	end    time.Duration
	err    error
}

// text returns the bytes of a request.
func (q request) text() string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s",
		q.method, q.path, host, q.id, q.deadline.Milliseconds(), key, q.header, len(q.body), q.body)
}

// send sends a request on a connection of its own and waits for the answer.
func (l *lab) send(n *node, q request) answer {
	a := answer{request: q, node: n.name, sent: time.Since(l.started)}
	defer func() {
		a.end = time.Since(l.started)
		l.note("%s %s to %s sent at %.3f s: status %d, stamp %t, %v", q.id, q.path, n.name, a.sent.Seconds(), a.status, a.stamp != "", a.err)
	}()
	c, err := net.DialTimeout("tcp", n.front(), time.Second)
	if err != nil {
		a.err = fmt.Errorf("not connected: %w", err)
		return a
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(q.deadline + time.Second))
	if _, err = io.WriteString(c, q.text()); err != nil {
		a.err = err
		return a
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = r.Body.Close() }()
	if _, err = io.Copy(io.Discard, r.Body); err != nil {
		a.err = err
		return a
	}
	a.status, a.stamp = r.StatusCode, r.Header.Get("Server-Stamp")
	return a
}
