package indexer_test

import (
	"testing"

	"pgregory.net/rapid"

	"celeryhead.dev/celeryhead/indexer"
)

// Guards against lost or reordered entities after deletions and compaction.
func TestTableMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := indexer.New[int, int]()
		var order []int
		m := map[int]int{}
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			k := rapid.IntRange(0, 15).Draw(t, "key")
			if rapid.Bool().Draw(t, "delete") {
				_, ok := m[k]
				if a.Delete(k) != ok {
					t.Fatalf("Delete(%d) differs from model", k)
				}
				delete(m, k)
				order = without(order, k)
				continue
			}
			v := rapid.Int().Draw(t, "value")
			if _, ok := m[k]; !ok {
				order = append(order, k)
			}
			m[k] = v
			a.Put(k, v)
		}
		var got []int
		for k, v := range a.All() {
			got = append(got, k)
			if *v != m[k] || *a.Get(k) != m[k] {
				t.Fatalf("value of %d differs from model", k)
			}
		}
		if len(got) != len(order) || a.Len() != len(order) {
			t.Fatalf("keys %v, want %v", got, order)
		}
		for i := range got {
			if got[i] != order[i] {
				t.Fatalf("order %v, want %v", got, order)
			}
		}
	})
}

// Guards against a skipped entity when the loop body deletes the current one.
func TestAllAllowsDelete(t *testing.T) {
	a := indexer.New[int, int]()
	for i := range 100 {
		a.Put(i, i)
	}
	n := 0
	for k := range a.All() {
		n++
		a.Delete(k)
	}
	if n != 100 || a.Len() != 0 {
		t.Fatalf("visited %d, left %d", n, a.Len())
	}
}

func without(s []int, k int) []int {
	var r []int
	for _, v := range s {
		if v != k {
			r = append(r, v)
		}
	}
	return r
}

func BenchmarkGet(b *testing.B) {
	a := indexer.New[int, int]()
	for i := range 1000 {
		a.Put(i, i)
	}
	for i := 0; b.Loop(); i++ {
		a.Get(i % 1000)
	}
}
