package operator

import (
	"context"
	"slices"

	"celeryhead.dev/celeryhead/chunker"
	"celeryhead.dev/celeryhead/recorder"
	"celeryhead.dev/celeryhead/storer"
)

// Bounds of the rows of chunks in one transaction. The rows of the change itself come on top: up to four, of which the
// heads row is the largest. At the target size a transaction stays below 2 MB with its encoding in base64.
const (
	maxTxnChunks = 200
	maxTxnBytes  = 1 << 20
)

// newChunks returns the writes of the chunks of t that base lacks, by transaction; the last transaction is for the change.
//
// All rows but those of the last one are written ahead. They hold what their keys say, so that it does no harm
// to write one again, late, or for a change that is not made.
func newChunks(base, t *chunker.Tree) [][]storer.Write {
	out := [][]storer.Write{nil}
	size := 0
	for n, b := range t.Chunks() {
		if _, ok := base.Chunk(n); ok {
			continue
		}
		last := len(out) - 1
		if size+len(b) > maxTxnBytes || len(out[last]) == maxTxnChunks {
			out = append(out, nil)
			last++
			size = 0
		}
		out[last] = append(out[last], storer.Write{Key: recorder.ChunkKey(n), Value: b})
		size += len(b)
	}
	return out
}

// writeAhead commits the transactions that precede the change, without the rows that an earlier attempt wrote.
func (o *Operator) writeAhead(ctx context.Context, p *proposal, ahead [][]storer.Write) error {
	for _, l := range ahead {
		l = slices.DeleteFunc(l, func(w storer.Write) bool { return p.ahead[w.Key] })
		if len(l) == 0 {
			continue
		}
		if _, err := o.try(ctx, storer.Txn{Writes: l}); err != nil {
			return err
		}
		for _, w := range l {
			p.ahead[w.Key] = true
		}
	}
	return nil
}
