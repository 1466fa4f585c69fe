package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// client is a caller with one connection.
type client struct {
	record *record
	conn   net.Conn
	reader *bufio.Reader
}

func (f *fleet) dial(n *instance) (*client, error) {
	c, err := net.DialTimeout("tcp", f.at(n, portFront), time.Second)
	if err != nil {
		return nil, err
	}
	return &client{record: f.record, conn: c, reader: bufio.NewReader(c)}, nil
}

// sending is a request of a client.
type sending struct {
	method, path, id, key, object, body string
	// extra are further header lines.
	extra []string
	left  time.Duration
}

// send writes a request in one piece.
func (c *client) send(s sending) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAffinity-Key: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		s.method, s.path, host, s.id, s.object, s.left.Milliseconds(), s.key)
	for _, l := range s.extra {
		b.WriteString(l + "\r\n")
	}
	if s.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(s.body))
	}
	b.WriteString("\r\n" + s.body)
	c.record.addf("client sends %s: %s %s %v to %s", s.id, s.method, s.path, s.extra, c.conn.RemoteAddr())
	_, err := io.WriteString(c.conn, b.String())
	return err
}

// receive reads an answer; status is 0 if the connection ended before the end of one.
func (c *client) receive(s sending) (status int, signed bool, err error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(s.left + 2*time.Second))
	p, err := http.ReadResponse(c.reader, &http.Request{Method: s.method})
	if err != nil {
		c.record.addf("client gets no answer to %s: %v", s.id, err)
		return 0, false, err
	}
	b, err := io.ReadAll(p.Body)
	if err != nil {
		c.record.addf("client gets no whole answer to %s: %v", s.id, err)
		return 0, false, err
	}
	signed = p.Header.Get("Server-Stamp") != ""
	c.record.addf("client gets %d to %s; signed: %v, body %q", p.StatusCode, s.id, signed, b)
	return p.StatusCode, signed, nil
}

func (c *client) close() { _ = c.conn.Close() }
