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

// faultyTable is a table service with injected faults. It must be used inside a synctest bubble.
type faultyTable struct {
	seed uint64
	// rtt is the round trip time of a call without a fault.
	rtt time.Duration
	// faultRate is the probability that a commit is faulty.
	faultRate float64
	// maxDelay is the maximum delay after which a commit with an unknown effect may still be applied.
	maxDelay time.Duration

	memory *emulator.Memory

	applyMu sync.Mutex
	invalid []string

	mu          sync.Mutex
	outageUntil time.Time
	delayed     sync.WaitGroup
}

func newFaultyTable(seed uint64, rtt time.Duration) *faultyTable {
	return &faultyTable{seed: seed, rtt: rtt, maxDelay: time.Minute, memory: emulator.NewMemory()}
}

func (w *faultyTable) apply(t storer.Txn) storer.Result {
	w.applyMu.Lock()
	defer w.applyMu.Unlock()
	before := map[string][]byte{}
	for _, x := range t.Writes {
		before[x.Key] = w.value(x.Key)
	}
	// The error is always nil, because the table injects no faults of its own.
	r, _ := w.memory.Commit(context.Background(), t)
	if !r.Committed {
		return r
	}
	for _, x := range t.Writes {
		if strings.HasPrefix(x.Key, "claim/") && !x.Delete && !validTransition(before[x.Key], x.Value) {
			w.invalid = append(w.invalid, fmt.Sprintf("row %.12s: %s replaced by %s", x.Key, before[x.Key], x.Value))
		}
	}
	return r
}

// validTransition reports whether a claim row may replace another one: a claim is ended only by itself, and an outcome is final.
func validTransition(before, after []byte) bool {
	s, id := claimer.DecodeRowState(after)
	if before == nil {
		return s != "done"
	}
	old, oldID := claimer.DecodeRowState(before)
	switch old {
	case "abandoned":
		return s != "done"
	case "claimed":
		return s != "claimed" && id == oldID
	default:
		return false
	}
}

func (w *faultyTable) value(key string) []byte {
	rows, _ := w.memory.Read(context.Background(), key)
	if len(rows) == 0 {
		return nil
	}
	return rows[0].Value
}

// invalidChanges returns the invalid transitions of claim rows.
func (w *faultyTable) invalidChanges() []string {
	w.applyMu.Lock()
	defer w.applyMu.Unlock()
	return w.invalid
}

func (w *faultyTable) inOutage() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Now().Before(w.outageUntil)
}

// endFaults stops injecting faults into commits.
func (w *faultyTable) endFaults() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faultRate = 0
}

func (w *faultyTable) currentFaultRate() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faultRate
}

func (w *faultyTable) setOutage(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outageUntil = time.Now().Add(d)
}

func (w *faultyTable) countRows(prefix string) int {
	rows, _ := w.memory.List(context.Background(), prefix, "", math.MaxInt)
	return len(rows)
}

// instanceStore is the store as seen by one instance.
type instanceStore struct {
	table *faultyTable
	index uint64

	mu          sync.Mutex
	calls       uint64
	pausedUntil time.Time
	killed      bool
}

var _ storer.Store = (*instanceStore)(nil)

// awaitAlive blocks while the instance is paused and returns false if it was killed.
func (l *instanceStore) awaitAlive() bool {
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

func (l *instanceStore) pause(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pausedUntil = time.Now().Add(d)
}

func (l *instanceStore) kill() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.killed = true
}

// nextRandom returns the random source of the next call. It is seeded by the call number, so that it does not depend on the
// scheduling of goroutines.
func (l *instanceStore) nextRandom() *rand.Rand {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	return rand.New(rand.NewPCG(l.table.seed, l.index<<32|l.calls))
}

func (l *instanceStore) Commit(ctx context.Context, t storer.Txn) (storer.Result, error) {
	if !l.awaitAlive() {
		return storer.Result{}, storer.ErrNotSent
	}
	r, err := l.send(ctx, t, l.nextRandom())
	if !l.awaitAlive() {
		return storer.Result{}, storer.ErrUnknown
	}
	return r, err
}

func (l *instanceStore) send(ctx context.Context, t storer.Txn, r *rand.Rand) (storer.Result, error) {
	w := l.table
	if w.inOutage() && r.IntN(2) == 0 {
		return storer.Result{}, storer.ErrNotSent
	}
	if !w.inOutage() && r.Float64() >= w.currentFaultRate() {
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
		later := time.Duration(r.Int64N(int64(w.maxDelay)))
		w.delayed.Go(func() {
			time.Sleep(later)
			w.apply(t)
		})
	}
	if r.IntN(2) == 0 {
		waitFor(ctx, time.Second)
	}
	return storer.Result{}, storer.ErrUnknown
}

func (l *instanceStore) Read(ctx context.Context, keys ...string) ([]storer.Row, error) {
	time.Sleep(l.table.rtt)
	if l.table.inOutage() || !l.awaitAlive() {
		return nil, storer.ErrUnknown
	}
	return l.table.memory.Read(ctx, keys...)
}

func (l *instanceStore) List(ctx context.Context, prefix, after string, limit int) ([]storer.Row, error) {
	return l.table.memory.List(ctx, prefix, after, limit)
}

func waitFor(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	<-ctx.Done()
}
