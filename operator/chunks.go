package operator

import (
	"context"
	"slices"

	"celeryhead.dev/celeryhead/storer"
)

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
