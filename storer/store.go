package storer

import "context"

// Row is one row of the table; the store raises Version with every write of the key.
type Row struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// ByKey returns rows by their keys; the zero Row stands for an absent one, as in a failed check.
func ByKey(rows []Row) map[string]Row {
	m := make(map[string]Row, len(rows))
	for _, r := range rows {
		m[r.Key] = r
	}
	return m
}

// Check is a condition of a transaction: the row has this version, or is absent if Version is 0.
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

// Result reports the outcome of a transaction.
type Result struct {
	Committed bool `json:"committed"`
	// Rows holds the written rows after a commit (without values), or the rows whose checks failed (absent ones with Version 0).
	Rows []Row `json:"rows"`
}

// Store is the platform's transactional table service.
type Store interface {
	// Read returns the rows that exist among keys, in the order of keys, from one snapshot.
	Read(ctx context.Context, keys ...string) ([]Row, error)
	// List returns up to limit rows whose keys have the prefix and sort after the key after, in key order.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies t. After ErrNotSent and ErrRejected it has no effect; after any other error its effect is unknown.
	Commit(ctx context.Context, t Txn) (Result, error)
}
