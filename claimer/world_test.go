package claimer_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"celeryhead.dev/celeryhead/claimer"
	"celeryhead.dev/celeryhead/emulator"
	"celeryhead.dev/celeryhead/storer"
)

// world is a table service with faults; it must be used inside a synctest bubble.
type world struct {
	seed uint64
	// rtt is the round trip of a call without a fault.
	rtt time.Duration
	// faulty is the share of commits with a fault.
	faulty float64
	// lateness bounds the time after which a commit with an unknown effect may still be applied.
	lateness time.Duration

	table *emulator.Memory

	applying sync.Mutex
	wrong    []string

	mu          sync.Mutex
	outageUntil time.Time
	late        sync.WaitGroup
}

func newWorld(seed uint64, rtt time.Duration) *world {
	return &world{seed: seed, rtt: rtt, lateness: time.Minute, table: emulator.NewMemory()}
}

func (w *world) apply(t storer.Txn) storer.Result {
	w.applying.Lock()
	defer w.applying.Unlock()
	before := map[string][]byte{}
	for _, x := range t.Writes {
		before[x.Key] = w.value(x.Key)
	}
	// Without faults of its own the table always answers.
	r, _ := w.table.Commit(context.Background(), t)
	if !r.Committed {
		return r
	}
	for _, x := range t.Writes {
		if strings.HasPrefix(x.Key, "claim/") && !x.Delete && !lawful(before[x.Key], x.Value) {
			w.wrong = append(w.wrong, fmt.Sprintf("row %.12s: %s replaced by %s", x.Key, before[x.Key], x.Value))
		}
	}
	return r
}

// lawful reports whether a claim row may replace another: only its own claim may end a claim, and an outcome stays.
func lawful(before, after []byte) bool {
	s, id := claimer.Row(after)
	if before == nil {
		return s != "done"
	}
	old, oldID := claimer.Row(before)
	switch old {
	case "abandoned":
		return s != "done"
	case "claimed":
		return s != "claimed" && id == oldID
	default:
		return false
	}
}

func (w *world) value(key string) []byte {
	rows, _ := w.table.Read(context.Background(), key)
	if len(rows) == 0 {
		return nil
	}
	return rows[0].Value
}

// faults returns the unlawful changes of claim rows.
func (w *world) faults() []string {
	w.applying.Lock()
	defer w.applying.Unlock()
	return w.wrong
}

func (w *world) down() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Now().Before(w.outageUntil)
}

// heal ends the faults of commits.
func (w *world) heal() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faulty = 0
}

func (w *world) share() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faulty
}

func (w *world) setOutage(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outageUntil = time.Now().Add(d)
}

func (w *world) count(prefix string) int {
	rows, _ := w.table.List(context.Background(), prefix, "", math.MaxInt)
	return len(rows)
}

// link is the store as one instance sees it.
type link struct {
	world *world
	index uint64

	mu          sync.Mutex
	calls       uint64
	pausedUntil time.Time
	killed      bool
}

var _ storer.Store = (*link)(nil)

// gate holds a paused instance and reports whether it is alive.
func (l *link) gate() bool {
	for {
		l.mu.Lock()
		killed, wait := l.killed, time.Until(l.pausedUntil)
		l.mu.Unlock()
		if killed || wait <= 0 {
			return !killed
		}
		time.Sleep(wait)
	}
}

func (l *link) pause(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pausedUntil = time.Now().Add(d)
}

func (l *link) kill() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.killed = true
}

// draw returns the random source of the next call; it depends on the call and not on the schedule of goroutines.
func (l *link) draw() *rand.Rand {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	return rand.New(rand.NewPCG(l.world.seed, l.index<<32|l.calls))
}

func (l *link) Commit(ctx context.Context, t storer.Txn) (storer.Result, error) {
	if !l.gate() {
		return storer.Result{}, storer.ErrNotSent
	}
	r, err := l.send(ctx, t, l.draw())
	if !l.gate() {
		return storer.Result{}, storer.ErrUnknown
	}
	return r, err
}

func (l *link) send(ctx context.Context, t storer.Txn, r *rand.Rand) (storer.Result, error) {
	w := l.world
	if w.down() && r.IntN(2) == 0 {
		return storer.Result{}, storer.ErrNotSent
	}
	if !w.down() && r.Float64() >= w.share() {
		time.Sleep(w.rtt / 2)
		x := w.apply(t)
		time.Sleep(w.rtt / 2)
		return x, nil
	}
	switch r.IntN(4) {
	case 0:
		return storer.Result{}, storer.ErrNotSent
	case 1:
		time.Sleep(w.rtt)
		w.apply(t)
	case 2:
		later := time.Duration(r.Int64N(int64(w.lateness)))
		w.late.Go(func() {
			time.Sleep(later)
			w.apply(t)
		})
	}
	if r.IntN(2) == 0 {
		wait(ctx, time.Second)
	}
	return storer.Result{}, storer.ErrUnknown
}

func (l *link) Read(ctx context.Context, keys ...string) ([]storer.Row, error) {
	time.Sleep(l.world.rtt)
	if l.world.down() || !l.gate() {
		return nil, storer.ErrUnknown
	}
	return l.world.table.Read(ctx, keys...)
}

func (l *link) List(ctx context.Context, prefix, after string, limit int) ([]storer.Row, error) {
	return l.world.table.List(ctx, prefix, after, limit)
}

func wait(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	<-ctx.Done()
}
