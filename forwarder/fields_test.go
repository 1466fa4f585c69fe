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
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"celeryhead.dev/celeryhead/forwarder"
)

// fieldLines returns n different header fields.
func fieldLines(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "x%d:\r\n", i)
	}
	return b.String()
}

// receiveText returns what a caller gets when the server sends a text in answer to a request whose tag is "mine".
func receiveText(t *testing.T, text string) (body string, err error) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &fakeServer{serve: func(_ int, c net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err == nil {
				_, _ = io.WriteString(c, text)
				discardAll(r)
			}
		}}
		f := s.forwarder(forwarder.Config{Protocol: taggedProtocol{}})
		defer f.Close()
		r := get("/")
		r.Header.Set("Tag", "mine")
		var a *forwarder.Answer
		if a, err = f.Do(context.Background(), forwarder.Call{Address: address, Request: r, Deadline: time.Now().Add(2 * time.Second)}); err != nil {
			return
		}
		defer func() { _ = a.Body.Close() }()
		var b []byte
		b, err = io.ReadAll(a.Body)
		body = string(b)
	})
	return body, err
}

// Guards against a head of many short fields, which takes eighty times its size in memory, and against counting what is no field
// of the head.
func TestFieldsOfHeadAreBounded(t *testing.T) {
	const end, most = "Tag: mine\r\nContent-Length: 3000\r\n\r\n", forwarder.DefaultMaxFields
	body := strings.Repeat("\nx\n", 1000)
	for name, c := range map[string]struct {
		text string
		want bool
	}{
		"as many as allowed":     {"HTTP/1.1 200 OK\r\n" + fieldLines(most-2) + end + body, true},
		"one more":               {"HTTP/1.1 200 OK\r\n" + fieldLines(most-1) + end + body, false},
		"one more, bare LF":      {strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+fieldLines(most-1)+end, "\r", "") + body, false},
		"several heads":          {strings.Repeat("HTTP/1.1 103 Hints\r\n"+fieldLines(most)+"\r\n", 3) + "HTTP/1.1 200 OK\r\n" + end + body, true},
		"continuation lines":     {"HTTP/1.1 200 OK\r\nX: y\r\n" + strings.Repeat(" y\r\n", most) + end + body, false},
		"many in another's head": {"HTTP/1.1 200 OK\r\nTag: other\r\n" + fieldLines(most) + "\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := receiveText(t, c.text)
			if ok := err == nil && got == body; ok != c.want {
				t.Errorf("%d bytes, %v", len(got), err)
			}
			if !c.want && !errors.Is(err, forwarder.ErrHeaderTooLarge) {
				t.Errorf("error %v", err)
			}
		})
	}
}

// Guards against a head of many fields that stalls before its end and keeps what was read of it.
func TestStalledHeadTakesLittleMemory(t *testing.T) {
	const held, most = 16, 4 << 20
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	text := "HTTP/1.1 200 OK\r\nTag: mine\r\n" + fieldLines(7000)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				_, _ = io.WriteString(c, text)
				discardAll(c)
			}()
		}
	}()
	f := forwarder.New(forwarder.Config{Protocol: taggedProtocol{}, MaxConnections: held})
	defer f.Close()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, held)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for range held {
		go func() {
			r := get("/")
			r.Header.Set("Tag", "mine")
			_, err := f.Do(ctx, forwarder.Call{Address: netip.MustParseAddrPort(l.Addr().String()), Request: r, Deadline: time.Now().Add(time.Minute)})
			done <- err
		}()
	}
	<-time.After(500 * time.Millisecond)
	runtime.GC()
	runtime.ReadMemStats(&after)
	cancel()
	for range held {
		if err := <-done; !errors.Is(err, forwarder.ErrHeaderTooLarge) {
			t.Errorf("error %v", err)
		}
	}
	if n := int64(after.HeapAlloc) - int64(before.HeapAlloc); n > most {
		t.Errorf("%d heads of %d bytes take %d bytes", held, len(text), n)
	}
}
