package storer

import "context"

// Row is one row of the table. Every write of a key increases its Version.
type Row struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// ByKey indexes rows by key. A missing key yields the zero Row, which also represents an absent row in the result of a
// failed check.
func ByKey(rows []Row) map[string]Row {
	m := make(map[string]Row, len(rows))
	for _, r := range rows {
		m[r.Key] = r
	}
	return m
}

// Check is a condition of a transaction: the row has this Version, or is absent if Version is 0.
type Check struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write sets or deletes a row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is a conditional transaction.
type Txn struct {
	Checks []Check `json:"checks,omitempty"`
	Writes []Write `json:"writes"`
}

// Result is the result of a transaction.
type Result struct {
	Committed bool `json:"committed"`
	// Rows contains the written rows without values if the transaction was committed. Otherwise it contains the rows whose
	// checks failed; absent rows have Version 0.
	Rows []Row `json:"rows"`
}

// Store is the platform's transactional table service.
type Store interface {
	// Read returns the existing rows among keys, in the order of keys, from one snapshot.
	Read(ctx context.Context, keys ...string) ([]Row, error)
	// List returns up to limit rows in key order whose keys start with prefix and sort after the key after.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies t. After ErrNotSent or ErrRejected it has no effect; after any other error its effect is unknown.
	Commit(ctx context.Context, t Txn) (Result, error)
}
