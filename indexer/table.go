package indexer

import "iter"

// Table maps keys to entities and iterates over them in insertion order.
type Table[K comparable, V any] struct {
	rows  map[K]int
	items []entry[K, V]
	holes int
}

type entry[K comparable, V any] struct {
	key   K
	value *V
}

// New returns an empty table.
func New[K comparable, V any]() *Table[K, V] {
	return &Table[K, V]{rows: make(map[K]int)}
}

// Len returns the number of entities.
func (t *Table[K, V]) Len() int {
	return len(t.rows)
}

// Get returns the entity stored under k, or nil.
func (t *Table[K, V]) Get(k K) *V {
	i, ok := t.rows[k]
	if !ok {
		return nil
	}
	return t.items[i].value
}

// Put stores v under k and returns the stored entity.
func (t *Table[K, V]) Put(k K, v V) *V {
	if i, ok := t.rows[k]; ok {
		*t.items[i].value = v
		return t.items[i].value
	}
	t.rows[k] = len(t.items)
	t.items = append(t.items, entry[K, V]{key: k, value: &v})
	return &v
}

// Delete removes the entity stored under k and reports whether there was one.
func (t *Table[K, V]) Delete(k K) bool {
	i, ok := t.rows[k]
	if !ok {
		return false
	}
	delete(t.rows, k)
	t.items[i].value = nil
	t.holes++
	if t.holes > len(t.items)/2 {
		t.compact()
	}
	return true
}

// All iterates over the entities in insertion order; the loop body may delete the current one.
func (t *Table[K, V]) All() iter.Seq2[K, *V] {
	return func(yield func(K, *V) bool) {
		for _, e := range t.items {
			if e.value != nil && !yield(e.key, e.value) {
				return
			}
		}
	}
}

// compact copies the entities into a new slice, so that a loop over the old one stays valid.
func (t *Table[K, V]) compact() {
	m := make([]entry[K, V], 0, len(t.rows))
	for _, e := range t.items {
		if e.value == nil {
			continue
		}
		t.rows[e.key] = len(m)
		m = append(m, e)
	}
	t.items, t.holes = m, 0
}
