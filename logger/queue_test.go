package logger_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/logger"
)

// stalled is a reader of logs that does not read until released.
type stalled struct {
	released chan struct{}

	mu sync.Mutex
	b  bytes.Buffer
}

func (s *stalled) Write(p []byte) (int, error) {
	<-s.released
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

// Guards against a process that stands still because nobody reads its log, and against lines that are left out unsaid.
func TestQueueNeverBlocks(t *testing.T) {
	w := &stalled{released: make(chan struct{})}
	q := logger.NewQueue(w)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 100_000 {
			_, _ = q.Write([]byte(strings.Repeat("x", 99) + "\n"))
		}
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Fatal("writing blocks while nobody reads")
	}
	if q.Dropped() == 0 {
		t.Error("10 MB were kept for a reader that does not read")
	}
	close(w.released)
	q.Close(30 * time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !strings.Contains(w.b.String(), "log lines left out") {
		t.Error("the log does not say that lines were left out")
	}
}
