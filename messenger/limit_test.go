package messenger_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"celeryhead.dev/celeryhead/messenger"
	"celeryhead.dev/celeryhead/platform/imitator"
)

// Guards against a part of a response that a generated client takes for a whole one: a message that ends after any of its fields can be
// decoded.
func TestPartOfResponseIsNoAnswer(t *testing.T) {
	reply := &messenger.StatusReply{AnsweredBy: "west-1", ConfigVersion: 7}
	whole, err := proto.Marshal(reply)
	if err != nil {
		t.Fatal(err)
	}
	part, err := proto.Marshal(&messenger.StatusReply{AnsweredBy: reply.AnsweredBy})
	if err != nil {
		t.Fatal(err)
	}
	const fields = "Content-Type: application/protobuf\r\n"
	length := fmt.Sprintf("%sContent-Length: %d\r\n", fields, len(whole))
	chunks := fields + "Transfer-Encoding: chunked\r\n"
	for _, a := range []imitator.BrokenAnswer{
		{Name: "no length", Fields: fields, Body: string(part)},
		{Name: "no length, empty", Fields: fields},
		{Name: "length", Fields: length, Body: string(part)},
		{Name: "chunks", Fields: chunks, Body: fmt.Sprintf("%x\r\n%s\r\n", len(part), part)},
		{Name: "whole length", Fields: length, Body: string(whole), Whole: true},
		{Name: "whole chunks", Fields: chunks, Body: fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(whole), whole), Whole: true},
	} {
		for name, end := range map[string]func(*net.TCPConn){"ended": func(c *net.TCPConn) { _ = c.Close() }, "reset": imitator.Reset} {
			a.Status, a.End = "200 OK", end
			s := httptest.NewServer(a)
			client := &http.Client{Transport: messenger.LimitResponses(&http.Transport{}, 1<<20)}
			p, err := messenger.NewOperatorProtobufClient(s.URL, client).Status(t.Context(), &messenger.Empty{})
			if a.Whole != (err == nil) || err == nil && !proto.Equal(p, reply) {
				t.Errorf("%s, %s: %v, %v", a.Name, name, p, err)
			}
			s.Close()
		}
	}
}

// Guards against a generated client that reads an answer without end, and against a bound that refuses one that fits.
func TestResponsesAreLimited(t *testing.T) {
	const limit, slack = 1 << 20, 16 << 20
	client := &http.Client{Transport: messenger.LimitResponses(&http.Transport{}, limit)}
	for _, e := range imitator.EndlessBodies("", "x") {
		s := httptest.NewServer(e)
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		p, err := messenger.NewOperatorProtobufClient(s.URL, client).Status(ctx, &messenger.Empty{})
		cancel()
		if n := e.Written(); err == nil || n > limit+slack {
			t.Errorf("%s: answer %v, %d bytes were taken", e.Name, p, n)
		}
		s.Close()
	}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, limit)) }))
	defer s.Close()
	q, err := client.Get(s.URL)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = q.Body.Close() }()
	if n, err := io.Copy(io.Discard, q.Body); n != limit || err != nil {
		t.Errorf("%d bytes, %v", n, err)
	}
}
