package operator

import (
	"context"

	"github.com/ansel1/merry/v2"

	"celeryhead.dev/celeryhead/recorder"
	"celeryhead.dev/celeryhead/storer"
)

// Heads returns the heads row; before the first change its version is 0. Errors: ErrStoreDown, recorder.ErrCorrupt.
func (o *Operator) Heads(ctx context.Context) (recorder.Heads, storer.Row, error) {
	rows, err := o.read(ctx, recorder.HeadsKey)
	if err != nil {
		return recorder.Heads{}, storer.Row{}, merry.Wrap(ErrStoreDown, merry.WithCause(err))
	}
	r := rows[recorder.HeadsKey]
	h, err := recorder.DecodeHeads(r.Value)
	return h, r, err
}

// Configuration returns the number and canonical text of a version, or of the newest if version is 0.
//
// Errors: ErrUnknownVersion, ErrStoreDown, recorder.ErrCorrupt.
func (o *Operator) Configuration(ctx context.Context, version uint64) (uint64, []byte, error) {
	if version == 0 {
		h, _, err := o.Heads(ctx)
		if err != nil {
			return 0, nil, err
		}
		version = h.ConfigVersion
	}
	v, err := o.stored(ctx, version)
	if err != nil {
		return 0, nil, readError(err)
	}
	if v == nil {
		return 0, nil, merry.Wrap(ErrUnknownVersion)
	}
	t, err := o.tree(ctx, v)
	if err != nil {
		return 0, nil, readError(err)
	}
	return version, t.Text, nil
}

// Audit returns up to limit audit rows of versions above after, in order of version; a limit of 0 is 100. Errors: ErrStoreDown, recorder.ErrCorrupt.
func (o *Operator) Audit(ctx context.Context, after uint64, limit int) ([]recorder.Audit, error) {
	if limit <= 0 {
		limit = defaultAuditLimit
	}
	call, cancel := context.WithTimeout(ctx, o.config.Timeout)
	defer cancel()
	rows, err := o.config.Store.List(call, recorder.AuditPrefix, recorder.AuditKey(after), min(limit, maxAuditLimit))
	if err != nil {
		return nil, merry.Wrap(ErrStoreDown, merry.WithCause(err))
	}
	var out []recorder.Audit
	for _, r := range rows {
		a, err := recorder.DecodeAudit(r.Value)
		if err != nil {
			return nil, err
		}
		out = append(out, a)
	}
	return out, nil
}

// read returns the rows by key; an absent row is the zero Row.
func (o *Operator) read(ctx context.Context, keys ...string) (map[string]storer.Row, error) {
	call, cancel := context.WithTimeout(ctx, o.config.Timeout)
	defer cancel()
	rows, err := o.config.Store.Read(call, keys...)
	if err != nil {
		return nil, err
	}
	return storer.ByKey(rows), nil
}
