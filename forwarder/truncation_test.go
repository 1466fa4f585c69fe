package forwarder_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/forwarder"
	"celeryhead.dev/celeryhead/guarder"
	"celeryhead.dev/celeryhead/logger"
	"celeryhead.dev/celeryhead/responder"
)

// truncatedAnswer is an answer that a server cuts.
type truncatedAnswer struct {
	name, method string
	// head and rest are the bytes of the answer.
	head, rest string
	body       string
	// unframed is true if only the end of the connection ends the answer.
	unframed bool
}

const truncatedHead = "HTTP/1.1 200 OK\r\nTag: mine\r\nX-Last: 1234\r\n"

var truncatedAnswers = []truncatedAnswer{
	{name: "length", head: truncatedHead + "Content-Length: 12\r\n\r\n", rest: "abcdefghijkl", body: "abcdefghijkl"},
	{name: "length first", head: "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nTag: mine\r\n\r\n", rest: "abcdefghijkl", body: "abcdefghijkl"},
	{name: "empty", head: truncatedHead + "Content-Length: 0\r\n\r\n"},
	{
		name: "chunks", head: truncatedHead + "Transfer-Encoding: chunked\r\n\r\n",
		rest: "5\r\nabcde\r\n00a;x=y\r\nfghijklmno\r\n0\r\n\r\n", body: "abcdefghijklmno",
	},
	{
		name: "trailers", head: truncatedHead + "Trailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n",
		rest: "5\r\nabcde\r\n0\r\nX-Sum: 7\r\nX-More: 8\r\n\r\n", body: "abcde",
	},
	{name: "no length", head: truncatedHead + "Connection: close\r\n\r\n", rest: "abcdefghijkl", body: "abcdefghijkl", unframed: true},
	{name: "blank line last", head: "HTTP/1.1 200 OK\r\nTag: mine\r\nX-Last: \r\n\t \r\n\r\n", rest: "abc", body: "abc", unframed: true},
	{name: "post", method: http.MethodPost, head: truncatedHead + "Content-Length: 3\r\n\r\n", rest: "abc", body: "abc"},
	{name: "post without length", method: http.MethodPost, head: truncatedHead + "\r\n", rest: "abc", body: "abc", unframed: true},
	{name: "head", method: http.MethodHead, head: truncatedHead + "Content-Length: 12\r\n\r\n"},
	{name: "no content", head: "HTTP/1.1 204 None\r\nTag: mine\r\n\r\n"},
	{name: "not modified", head: "HTTP/1.1 304 Same\r\nTag: mine\r\nContent-Length: 12\r\n\r\n"},
	{name: "hints", head: "HTTP/1.1 103 Hints\r\nLink: </x>\r\n\r\n" + truncatedHead + "Content-Length: 3\r\n\r\n", rest: "abc", body: "abc"},
	{
		name: "hints without length", head: "HTTP/1.1 103 Hints\r\nLink: </x>\r\n\r\n" + truncatedHead + "\r\n",
		rest: "abc", body: "abc", unframed: true,
	},
	{
		name: "continue", method: http.MethodPost, head: "HTTP/1.1 100 Continue\r\n\r\n" + truncatedHead + "\r\n",
		rest: "abc", body: "abc", unframed: true,
	},
}

// truncatingServer answers /warm in full, and /ANSWER/CUT with the first bytes of an answer, after which it closes or
// resets the connection.
func truncatingServer(t *testing.T, reset bool) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		r := bufio.NewReader(c)
		for {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, q.Body)
			if q.URL.Path == "/warm" {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTag: mine\r\nContent-Length: 4\r\n\r\nwarm")
				continue
			}
			var answer, cut int
			if _, err := fmt.Sscanf(q.URL.Path, "/%d/%d", &answer, &cut); err != nil {
				return
			}
			a := truncatedAnswers[answer]
			_, _ = io.WriteString(c, (a.head + a.rest)[:cut])
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			return
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// callOnce sends a request on a connection of its own and returns the response as this version of HTTP frames it.
func callOnce(t *testing.T, front, version, method, path string) (receivedResponse, error) {
	t.Helper()
	c, err := net.Dial("tcp", front)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	body := ""
	if method == http.MethodPost {
		body = "body"
	}
	if _, err := fmt.Fprintf(c, "%s %s %s\r\nHost: h\r\nTag: mine\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		method, path, version, len(body), body); err != nil {
		return receivedResponse{}, err
	}
	r := bufio.NewReader(c)
	for {
		p, err := http.ReadResponse(r, &http.Request{Method: method})
		if err != nil {
			return receivedResponse{}, err
		}
		if p.StatusCode < http.StatusOK {
			continue
		}
		b, err := io.ReadAll(p.Body)
		return receivedResponse{status: p.StatusCode, header: p.Header, body: string(b)}, errors.Join(err, p.Body.Close())
	}
}

// Guards against an answer that broke off anywhere in its head or body and looks whole to the caller, and against the
// claim that its request did not run.
func TestAnswerCutAtAnyByteIsNotWhole(t *testing.T) {
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for _, reset := range []bool{false, true} {
			for _, kept := range []bool{false, true} {
				if kept && version == "HTTP/1.0" {
					continue
				}
				for name, p := range map[string]forwarder.Protocol{"native": nil, "tagged": taggedProtocol{}} {
					t.Run(fmt.Sprintf("%s reset=%t kept=%t %s", version, reset, kept, name), func(t *testing.T) {
						t.Parallel()
						f := forwarder.New(forwarder.Config{Protocol: p})
						t.Cleanup(f.Close)
						h := httptest.NewServer(guarder.LogPanics(logger.Discard(), proxy(f, truncatingServer(t, reset))))
						t.Cleanup(h.Close)
						for i, a := range truncatedAnswers {
							whole := 0
							for cut := range len(a.head+a.rest) + 1 {
								front := h.Listener.Addr().String()
								f.RetireAll()
								if kept {
									warm(t, front)
								}
								if cutLooksWhole(t, a, cut, reset, front, version, "/"+strconv.Itoa(i)+"/"+strconv.Itoa(cut)) {
									whole++
								}
							}
							if refused := a.unframed && p == nil; whole == 0 && !reset && !refused {
								t.Errorf("%s: no whole answer", a.name)
							}
						}
					})
				}
			}
		}
	}
}

// warm leaves an idle connection to the server.
func warm(t *testing.T, front string) {
	t.Helper()
	if p, err := callOnce(t, front, "HTTP/1.1", http.MethodGet, "/warm"); err != nil || p.body != "warm" {
		t.Fatalf("%q, %v", p.body, err)
	}
}

// cutLooksWhole reports whether the answer to a request, of which the server sent a part, looks whole.
func cutLooksWhole(t *testing.T, a truncatedAnswer, cut int, reset bool, front, version, path string) bool {
	t.Helper()
	method := a.method
	if method == "" {
		method = http.MethodGet
	}
	p, err := callOnce(t, front, version, method, path)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		t.Errorf("%s cut at %d: no end", a.name, cut)
		return false
	case err != nil:
		return false
	case p.status == http.StatusBadGateway:
		if ran := p.header.Get(responder.HeaderRan); ran != string(responder.Unknown) {
			t.Errorf("%s cut at %d: refused as %q", a.name, cut, ran)
		}
		return false
	}
	full := a.head + a.rest
	got := a.body
	if a.unframed && !reset && cut >= len(a.head) {
		// The end of the connection is the end of the answer.
		got = full[len(a.head):cut]
	} else if cut < len(full) {
		t.Errorf("%s cut at %d, after %q: status %d with body %q looks whole", a.name, cut, full[max(cut-8, 0):cut], p.status, p.body)
		return true
	}
	if p.body != got || !strings.Contains(full, " "+strconv.Itoa(p.status)+" ") {
		t.Errorf("%s cut at %d: status %d with body %q, want %q", a.name, cut, p.status, p.body, got)
	}
	return true
}
