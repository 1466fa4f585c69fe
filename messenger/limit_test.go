package messenger_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/messenger"
	"celeryhead.dev/celeryhead/platform/imitator"
)

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
