package forwarder_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"celeryhead.dev/celeryhead/forwarder"
	"celeryhead.dev/celeryhead/responder"
)

// endlessAnswer is an answer whose last part is repeated until the connection is closed.
type endlessAnswer struct {
	name, start, repeat string
	// inHead is true if the answer ends by the bound on its head, long before the deadline.
	inHead bool
	// shed is true if the server states that it did not run the request.
	shed bool
}

const (
	endlessHead    = "HTTP/1.1 200 OK\r\nTag: mine\r\n"
	endlessChunked = endlessHead + "Transfer-Encoding: chunked\r\n\r\n"
	foreignHead    = "HTTP/1.1 200 OK\r\nTag: other\r\n"
	shedHead       = "HTTP/1.1 429 Busy\r\nTag: mine\r\n"
)

var endlessAnswers = []endlessAnswer{
	{name: "no line", repeat: "x", inHead: true},
	{name: "blank lines", repeat: "\r\n", inHead: true},
	{name: "status line", start: "HTTP/1.1 200 ", repeat: "x", inHead: true},
	{name: "header line", start: endlessHead + "X: ", repeat: "x", inHead: true},
	{name: "blank header line", start: endlessHead + "X:", repeat: " ", inHead: true},
	{name: "header lines", start: endlessHead, repeat: "X: y\r\n", inHead: true},
	{name: "continuation lines", start: endlessHead + "X: y\r\n", repeat: " y\r\n", inHead: true},
	{name: "informational", repeat: "HTTP/1.1 103 Hints\r\n\r\n", inHead: true},
	{name: "informational head", start: "HTTP/1.1 103 Hints\r\n", repeat: "X: y\r\n", inHead: true},
	{name: "answers to others", repeat: foreignHead + "Content-Length: 1\r\n\r\nx", inHead: true},
	{name: "body of another's answer", start: foreignHead + "\r\n", repeat: "x", inHead: true},
	{name: "chunks of another's answer", start: foreignHead + "Transfer-Encoding: chunked\r\n\r\n", repeat: "1\r\nx\r\n", inHead: true},
	{name: "trailers of another's answer", start: foreignHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", repeat: "X: y\r\n", inHead: true},
	{name: "body without length", start: endlessHead + "\r\n", repeat: "x"},
	{name: "body with a false length", start: endlessHead + "Content-Length: 1000000000000\r\n\r\n", repeat: "x"},
	{name: "chunks", start: endlessChunked, repeat: "1\r\nx\r\n"},
	{name: "chunk size", start: endlessChunked, repeat: "0", inHead: true},
	{name: "chunk extension", start: endlessChunked + "1;", repeat: "x", inHead: true},
	{name: "chunk extensions", start: endlessChunked, repeat: "1;" + strings.Repeat("x", 99) + "\r\nx\r\n", inHead: true},
	{name: "past a chunk", start: endlessChunked + "1\r\n", repeat: "x", inHead: true},
	{name: "trailer line", start: endlessChunked + "0\r\nX: ", repeat: "x", inHead: true},
	{name: "trailers", start: endlessChunked + "0\r\n", repeat: "X: y\r\n", inHead: true},
	{name: "body of a refusal", start: shedHead + "\r\n", repeat: "x", inHead: true, shed: true},
	{name: "chunks of a refusal", start: shedHead + "Transfer-Encoding: chunked\r\n\r\n", repeat: "1\r\nx\r\n", inHead: true, shed: true},
	{name: "trailers of a refusal", start: shedHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", repeat: "X: y\r\n", inHead: true, shed: true},
}

// write sends the answer with size bytes in each step of a millisecond until the connection is closed.
func (e endlessAnswer) write(c net.Conn, size int) int {
	n, err := io.WriteString(c, e.start)
	b := strings.Repeat(e.repeat, 2*size/len(e.repeat)+1)
	for at := 0; err == nil; at = (at + size) % len(e.repeat) {
		<-time.After(time.Millisecond)
		var k int
		k, err = io.WriteString(c, b[at:at+size])
		n += k
	}
	return n
}

// Guards against an answer without end that holds a request beyond its deadline, fills the memory, looks whole, keeps its
// connection in use, or is reported as not run.
func TestAnswerWithoutEndIsGivenUp(t *testing.T) {
	const left, patience = 2 * time.Second, 200 * time.Millisecond
	for _, e := range endlessAnswers {
		for name, size := range map[string]int{"fast": 4 << 10, "slow": 1} {
			t.Run(e.name+" "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var written atomic.Int64
					s := &fakeServer{serve: func(n int, c net.Conn, r *bufio.Reader) {
						if _, err := http.ReadRequest(r); err != nil {
							return
						}
						if n > 0 {
							_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTag: mine\r\nContent-Length: 4\r\n\r\nnext")
							discardAll(r)
							return
						}
						written.Store(int64(e.write(c, size)))
					}}
					f := s.forwarder(forwarder.Config{Protocol: taggedProtocol{}})
					call := func() (string, error) {
						r := get("/")
						r.Header.Set("Tag", "mine")
						a, err := f.Do(context.Background(), forwarder.Call{
							Address: address, Request: r, Deadline: time.Now().Add(left), Patience: patience,
						})
						if err != nil {
							return "", err
						}
						defer func() { _ = a.Body.Close() }()
						b, err := io.ReadAll(a.Body)
						return string(b), err
					}
					start := time.Now()
					got, err := call()
					took := time.Since(start)
					e.check(t, got, err)
					if took > left+patience {
						t.Errorf("ended after %v", took)
					}
					if fast := size > 1; took > left/4 && (e.shed || e.inHead && fast) {
						t.Errorf("ended only after %v", took)
					}
					if got, err := call(); err != nil || got != "next" {
						t.Errorf("next request: %q, %v", got, err)
					}
					f.Close()
					s.live.Wait()
					if n := written.Load(); e.inHead && n > 1<<20 {
						t.Errorf("the server wrote %d bytes", n)
					}
				})
			})
		}
	}
}

// Guards against a connection that stays in use, or open, although its server sends bytes after a whole answer.
func TestBytesAfterTheAnswerCloseTheConnection(t *testing.T) {
	for _, start := range []string{
		endlessHead + "Content-Length: 2\r\n\r\nok",
		endlessChunked + "2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 204 None\r\nTag: mine\r\n\r\n",
	} {
		for _, size := range []int{4 << 10, 1} {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			ended := make(chan struct{}, 2)
			go func() {
				for range cap(ended) {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						_, _ = http.ReadRequest(bufio.NewReader(c))
						endlessAnswer{start: start, repeat: "x"}.write(c, size)
						_ = c.Close()
						ended <- struct{}{}
					}()
				}
			}()
			f := forwarder.New(forwarder.Config{Protocol: taggedProtocol{}, IdleLimit: 100 * time.Millisecond})
			for range cap(ended) {
				r := get("/")
				r.Header.Set("Tag", "mine")
				a, err := f.Do(t.Context(), forwarder.Call{
					Address: netip.MustParseAddrPort(l.Addr().String()), Request: r, Deadline: time.Now().Add(10 * time.Second),
				})
				if err != nil {
					t.Fatal(err)
				}
				if b, err := io.ReadAll(a.Body); err != nil || string(b) != "ok" && a.Status != http.StatusNoContent {
					t.Errorf("%q, %v", b, err)
				}
				time.Sleep(50 * time.Millisecond) // The next bytes arrive.
			}
			limit, ticks := time.After(10*time.Second), time.Tick(50*time.Millisecond)
			for n := 0; n < cap(ended); {
				select {
				case <-ended:
					n++
				case <-ticks:
					f.Tick()
				case <-limit:
					t.Fatalf("%d of %d writers ended", n, cap(ended))
				}
			}
			f.Close()
			_ = l.Close()
		}
	}
}

// check examines the outcome of the request that got the answer.
func (e endlessAnswer) check(t *testing.T, got string, err error) {
	t.Helper()
	var x *forwarder.Failure
	switch {
	case !errors.As(err, &x):
		t.Errorf("looks whole with %d bytes, %v", len(got), err)
	case e.shed && !errors.Is(err, forwarder.ErrShed), !e.shed && x.Ran != responder.Unknown:
		t.Error(fmt.Errorf("failure: %w", err))
	}
}
