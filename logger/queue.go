package logger

import (
	"io"
	"strconv"
	"sync"
	"time"
)

const (
	// queueBytes bounds what waits to be written; at a usual line of 300 bytes that is 3,000 lines.
	queueBytes = 1 << 20
	// queueRate bounds what is written in the long run, in bytes per second.
	queueRate = 256 << 10
	// queueFlush is the pause between writes, which costs one system call for many lines.
	queueFlush = 100 * time.Millisecond
)

// Queue is a writer that never blocks; lines that do not fit are counted and left out.
type Queue struct {
	out io.Writer

	mu      sync.Mutex
	waiting []byte
	tokens  float64
	filled  time.Time
	dropped uint64
	told    uint64
	closed  chan struct{}
	done    chan struct{}
}

// NewQueue returns a queue that writes to out until Close.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{out: out, tokens: queueBytes, filled: time.Now(), closed: make(chan struct{}), done: make(chan struct{})}
	go q.run()
	return q
}

// Write takes one line over; it never fails.
func (q *Queue) Write(p []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.tokens = min(queueBytes, q.tokens+queueRate*now.Sub(q.filled).Seconds())
	q.filled = now
	if float64(len(p)) > q.tokens || len(q.waiting)+len(p) > queueBytes {
		q.dropped++
		return len(p), nil
	}
	q.tokens -= float64(len(p))
	q.waiting = append(q.waiting, p...)
	return len(p), nil
}

// Dropped returns the number of lines that were left out.
func (q *Queue) Dropped() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.dropped
}

// Close writes what waits, for at most the given time.
func (q *Queue) Close(limit time.Duration) {
	close(q.closed)
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-q.done:
	case <-t.C:
	}
}

func (q *Queue) run() {
	defer close(q.done)
	k := time.NewTicker(queueFlush)
	defer k.Stop()
	for {
		select {
		case <-k.C:
			q.flush()
		case <-q.closed:
			q.flush()
			return
		}
	}
}

func (q *Queue) flush() {
	q.mu.Lock()
	b := q.waiting
	q.waiting = nil
	if q.dropped > q.told {
		b = append(b, `{"message":"log lines left out","lines":`+strconv.FormatUint(q.dropped-q.told, 10)+"}\n"...)
		q.told = q.dropped
	}
	q.mu.Unlock()
	if len(b) == 0 {
		return
	}
	// A log that cannot be written has nowhere to say so.
	_, _ = q.out.Write(b)
}
