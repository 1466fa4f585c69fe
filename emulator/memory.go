package emulator

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"

	"celeryhead.dev/celeryhead/storer"
)

// Memory is a table service in memory; it is safe for concurrent use.
type Memory struct {
	mu       sync.Mutex
	rows     map[string]storer.Row
	revision uint64
	faults   MemoryFaults
}

// MemoryFaults are called without the lock of the table held; a nil function injects nothing.
type MemoryFaults struct {
	// BeforeRead makes Read and List fail. For List the key is its prefix.
	BeforeRead func(keys []string) error
	// BeforeCommit makes a commit fail before it takes effect.
	BeforeCommit func(t storer.Txn) error
	// AfterCommit makes the reply get lost after the commit took effect, or was refused by its checks.
	AfterCommit func(t storer.Txn, r storer.Result) error
}

// NewMemory returns an empty table.
func NewMemory() *Memory {
	return &Memory{rows: make(map[string]storer.Row)}
}

// Inject replaces the faults.
func (m *Memory) Inject(f MemoryFaults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
}

// Read returns the rows that exist among keys, in the order of keys, from one snapshot.
func (m *Memory) Read(ctx context.Context, keys ...string) ([]storer.Row, error) {
	if err := m.beforeRead(ctx, keys); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []storer.Row
	for _, k := range keys {
		if r, ok := m.rows[k]; ok {
			out = append(out, cloned(r))
		}
	}
	return out, nil
}

// List returns up to limit rows whose keys have the prefix and sort after the key after, in key order.
func (m *Memory) List(ctx context.Context, prefix, after string, limit int) ([]storer.Row, error) {
	if err := m.beforeRead(ctx, []string{prefix}); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []storer.Row
	for _, k := range slices.Sorted(maps.Keys(m.rows)) {
		if len(out) == limit {
			break
		}
		if strings.HasPrefix(k, prefix) && k > after {
			out = append(out, cloned(m.rows[k]))
		}
	}
	return out, nil
}

// Commit applies t if all its checks hold.
func (m *Memory) Commit(ctx context.Context, t storer.Txn) (storer.Result, error) {
	f := m.injected()
	if err := ctx.Err(); err != nil {
		return storer.Result{}, err
	}
	if f.BeforeCommit != nil {
		if err := f.BeforeCommit(t); err != nil {
			return storer.Result{}, err
		}
	}
	r := m.apply(t)
	if f.AfterCommit != nil {
		if err := f.AfterCommit(t, r); err != nil {
			return storer.Result{}, err
		}
	}
	return r, nil
}

func (m *Memory) apply(t storer.Txn) storer.Result {
	m.mu.Lock()
	defer m.mu.Unlock()
	var failed []storer.Row
	for _, c := range t.Checks {
		r := m.rows[c.Key]
		if r.Version != c.Version {
			r.Key = c.Key
			failed = append(failed, cloned(r))
		}
	}
	if len(failed) > 0 {
		return storer.Result{Rows: failed}
	}
	var written []storer.Row
	for _, w := range t.Writes {
		// One counter for all rows keeps the versions of a key rising after it was deleted.
		m.revision++
		r := storer.Row{Key: w.Key, Version: m.revision}
		written = append(written, r)
		if w.Delete {
			delete(m.rows, w.Key)
			continue
		}
		r.Value = bytes.Clone(w.Value)
		m.rows[w.Key] = r
	}
	return storer.Result{Committed: true, Rows: written}
}

func (m *Memory) beforeRead(ctx context.Context, keys []string) error {
	f := m.injected()
	if err := ctx.Err(); err != nil {
		return err
	}
	if f.BeforeRead == nil {
		return nil
	}
	return f.BeforeRead(keys)
}

func (m *Memory) injected() MemoryFaults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults
}

func cloned(r storer.Row) storer.Row {
	r.Value = bytes.Clone(r.Value)
	return r
}
