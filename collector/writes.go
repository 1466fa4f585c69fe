package collector

import (
	"celeryhead.dev/celeryhead/chunker"
	"celeryhead.dev/celeryhead/recorder"
	"celeryhead.dev/celeryhead/storer"
)

// Bounds of the rows of chunks in one transaction. The rows of a change itself come on top, of which the manifests are
// the largest. At the target size a transaction stays below 2 MB with its encoding in base64.
const (
	maxTxnChunks = 200
	maxTxnBytes  = 1 << 20
)

// Writes returns the writes of the chunks of trees that are not held, by transaction; the last transaction is for the change.
//
// All rows but those of the last one are written ahead. They hold what their keys say, so that it does no harm
// to write one again, late, or for a change that is not made.
func Writes(held func(chunker.Name) ([]byte, bool), trees ...*chunker.Tree) [][]storer.Write {
	out := [][]storer.Write{nil}
	seen := map[chunker.Name]bool{}
	size := 0
	for _, t := range trees {
		for n, b := range t.Chunks() {
			if _, ok := held(n); ok || seen[n] {
				continue
			}
			seen[n] = true
			last := len(out) - 1
			if size+len(b) > maxTxnBytes || len(out[last]) == maxTxnChunks {
				out = append(out, nil)
				last++
				size = 0
			}
			out[last] = append(out[last], storer.Write{Key: recorder.ChunkKey(n), Value: b})
			size += len(b)
		}
	}
	return out
}
