package pacer

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrStalled means that an answer did not begin in time or arrived too slowly.
var ErrStalled = merry.Sentinel("answer did not arrive in time")

// Config configures the bounds of a call.
type Config struct {
	// Begin is the time until the first byte.
	Begin time.Duration
	// Pause is the longest time between two bytes.
	Pause time.Duration
	// Rate is the smallest mean rate after Begin, in bytes a second; 0 means that there is none.
	Rate float64
}

// Bound returns a context that ends with the cause ErrStalled when the bounds of a call that begins now are exceeded. Readers
// of Reader report the call's progress. The returned function releases the context.
func Bound(ctx context.Context, c Config) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	p := &progress{config: c, start: time.Now()}
	p.timer = time.AfterFunc(c.Begin, func() { cancel(ErrStalled) })
	return context.WithValue(ctx, progressKey{}, p), func() {
		p.stop()
		cancel(context.Canceled)
	}
}

type progressKey struct{}

// progress is what has arrived of an answer.
type progress struct {
	config Config
	start  time.Time

	mu      sync.Mutex
	timer   *time.Timer
	bytes   int64
	stopped bool
}

// add records bytes that arrived and moves the end of the call.
func (p *progress) add(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped || n == 0 {
		return
	}
	p.bytes += int64(n)
	left := p.config.Pause
	if r := p.config.Rate; r > 0 {
		allowed := p.config.Begin + time.Duration(float64(p.bytes)/r*float64(time.Second))
		left = min(left, allowed-time.Since(p.start))
	}
	// The timer does not run again after it fired, since the context has ended.
	if p.timer.Stop() {
		p.timer.Reset(max(left, 0))
	}
}

func (p *progress) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	p.timer.Stop()
}

// Reader returns a reader of r that reports progress to the bounds in ctx, if there are any.
func Reader(ctx context.Context, r io.Reader) io.Reader {
	p, ok := ctx.Value(progressKey{}).(*progress)
	if !ok {
		return r
	}
	return &reader{reader: r, progress: p}
}

type reader struct {
	reader   io.Reader
	progress *progress
}

// Read reads from the reader and reports the bytes as progress.
func (r *reader) Read(b []byte) (int, error) {
	n, err := r.reader.Read(b)
	r.progress.add(n)
	return n, err
}
