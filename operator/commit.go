package operator

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"celeryhead.dev/celeryhead/chunker"
	"celeryhead.dev/celeryhead/collector"
	"celeryhead.dev/celeryhead/composer"
	"celeryhead.dev/celeryhead/recorder"
	"celeryhead.dev/celeryhead/storer"
	"celeryhead.dev/celeryhead/timer"
)

// proposal is a checked change.
type proposal struct {
	Change
	config composer.Config
	// tree holds the canonical text.
	tree *chunker.Tree
	// ahead holds the keys of the chunks that were committed before the change.
	ahead map[string]bool
	// warnings belong to the attempt that was committed last.
	warnings []string
	// uncertain is true while an earlier commit may still take effect.
	uncertain bool
	// uncertainOn is the heads version that the uncertain commit checked.
	uncertainOn uint64
}

func propose(c Change) (*proposal, error) {
	config, err := composer.Parse(c.Text)
	if err != nil {
		return nil, merry.Wrap(ErrInvalid, merry.WithCause(err))
	}
	if err = config.Check(); err != nil {
		return nil, merry.Wrap(ErrInvalid, merry.WithCause(err))
	}
	text, err := composer.Encode(config)
	if err != nil {
		return nil, merry.Wrap(ErrInvalid, merry.WithCause(err))
	}
	if len(text) > chunker.MaxText {
		return nil, merry.Append(ErrInvalid, "text is too large")
	}
	return &proposal{Change: c, config: config, tree: chunker.New(text, chunker.DefaultSizes), ahead: map[string]bool{}}, nil
}

// made is a change that took effect.
type made struct {
	version uint64
	// newest is at least as new as version.
	newest Commit
}

// commit makes p, or finds that an earlier attempt made it.
func (o *Operator) commit(ctx context.Context, p *proposal) (made, error) {
	var last error
	for i := range o.config.Attempts {
		if i > 0 {
			if err := o.pause(ctx, i); err != nil {
				break
			}
		}
		m, done, err := o.attempt(ctx, p)
		if done {
			return m, err
		}
		last = err
	}
	switch {
	case p.uncertain:
		return made{}, merry.Wrap(ErrOutcomeUnknown, merry.WithCause(last))
	case last != nil:
		return made{}, merry.Wrap(ErrStoreDown, merry.WithCause(last))
	default:
		return made{}, merry.Wrap(ErrBusy)
	}
}

// attempt reports done if the outcome is final; otherwise err is an error of the store, or nil after a lost race.
func (o *Operator) attempt(ctx context.Context, p *proposal) (m made, done bool, err error) {
	s, err := o.snapshot(ctx, p)
	if err != nil {
		return made{}, errors.Is(err, recorder.ErrCorrupt), err
	}
	// A transaction that checked an older version of the heads row can no longer take effect.
	if s.row.Version != p.uncertainOn {
		p.uncertain = false
	}
	if s.madeVersion != 0 {
		m, err = o.found(ctx, p, s)
		return m, true, err
	}
	if s.heads.ConfigVersion != p.BaseVersion {
		return made{}, true, o.conflict(ctx, s.heads.ConfigVersion)
	}
	base, err := o.base(ctx, s)
	if err != nil {
		return made{}, errors.Is(err, recorder.ErrCorrupt), err
	}
	t, heads, err := o.transaction(p, s, base)
	if err != nil {
		return made{}, true, err
	}
	chunks := collector.Writes(s.writtenOf(base).Chunk, p.tree)
	if err = o.writeAhead(ctx, p, chunks[:len(chunks)-1]); err != nil {
		return made{}, false, err
	}
	t.Writes = append(chunks[len(chunks)-1], t.Writes...)
	r, err := o.try(ctx, t)
	if err != nil {
		p.uncertain, p.uncertainOn = true, s.row.Version
		return made{}, false, err
	}
	if !r.Committed {
		return made{}, false, nil
	}
	version := p.BaseVersion + 1
	row := storer.Row{Key: recorder.HeadsKey, Version: storer.ByKey(r.Rows)[recorder.HeadsKey].Version, Value: heads}
	return made{version: version, newest: Commit{Heads: row, ConfigVersion: version, Text: p.tree.Text}}, true, nil
}

// snapshot is what an attempt depends on.
type snapshot struct {
	// row is the heads row; its version is 0 before the first change.
	row   storer.Row
	heads recorder.Heads
	// madeVersion is the version that the operation made earlier, or 0.
	madeVersion uint64
	// base is the version that the change was made against; nil before the first one.
	base *version
}

func (o *Operator) snapshot(ctx context.Context, p *proposal) (snapshot, error) {
	operation := recorder.OperationKey(p.OperationID)
	rows, err := o.read(ctx, append(keysOf(p.BaseVersion), recorder.HeadsKey, operation)...)
	if err != nil {
		return snapshot{}, err
	}
	s := snapshot{row: rows[recorder.HeadsKey]}
	if s.base, err = versionIn(rows, p.BaseVersion); err != nil {
		return snapshot{}, err
	}
	if s.heads, err = recorder.DecodeHeads(s.row.Value); err != nil {
		return snapshot{}, err
	}
	if r := rows[operation]; r.Version != 0 {
		s.madeVersion, err = recorder.DecodeVersion(r.Value)
	}
	return s, err
}

// base returns the text that a change is made against, or nil before the first version.
func (o *Operator) base(ctx context.Context, s snapshot) (*chunker.Tree, error) {
	if s.heads.ConfigVersion == 0 {
		return nil, nil //nolint:nilnil // Documented.
	}
	if s.base == nil {
		return nil, merry.Append(recorder.ErrCorrupt, "no text of the base version")
	}
	return o.tree(ctx, s.base)
}

// writtenOf returns the tree whose chunks have rows: none if the row of the base version holds its whole text.
func (s snapshot) writtenOf(base *chunker.Tree) *chunker.Tree {
	if s.base == nil || s.base.manifest == nil {
		return nil
	}
	return base
}

// transaction also returns the new value of the heads row; the chunks are not in it.
func (o *Operator) transaction(p *proposal, s snapshot, t *chunker.Tree) (storer.Txn, []byte, error) {
	version := p.BaseVersion + 1
	var base composer.Config
	var err error
	if t != nil {
		if base, err = composer.Parse(t.Text); err != nil {
			return storer.Txn{}, nil, merry.Wrap(recorder.ErrCorrupt, merry.WithCause(err))
		}
	}
	if err = composer.CheckChange(base, p.config); err != nil {
		return storer.Txn{}, nil, merry.Wrap(ErrInvalid, merry.WithCause(err))
	}
	changes := composer.Diff(base, p.config)
	p.warnings = warnings(p, base, changes)
	audit, err := recorder.Audit{
		Version:     version,
		BaseVersion: p.BaseVersion,
		Operator:    p.Operator,
		Reason:      p.Reason,
		Kind:        string(p.Kind),
		Time:        o.config.Now().UTC(),
		Changes:     lines(changes),
		OperationID: p.OperationID,
		Instance:    o.config.Instance,
	}.Encode()
	if err != nil {
		return storer.Txn{}, nil, err
	}
	h := s.heads.Clone()
	h.ConfigVersion, h.ConfigDigest = version, recorder.Digest(p.tree.Manifest.TextDigest)
	h.Shifts = carry(base, p.config, h.Shifts)
	heads, err := h.Encode()
	if err != nil {
		return storer.Txn{}, nil, err
	}
	manifest, err := p.tree.Manifest.Encode()
	if err != nil {
		return storer.Txn{}, nil, err
	}
	return storer.Txn{
		Checks: []storer.Check{
			{Key: recorder.HeadsKey, Version: s.row.Version},
			{Key: recorder.OperationKey(p.OperationID)},
		},
		Writes: []storer.Write{
			{Key: recorder.ManifestKey(version), Value: manifest},
			{Key: recorder.AuditKey(version), Value: audit},
			{Key: recorder.OperationKey(p.OperationID), Value: recorder.EncodeVersion(version)},
			{Key: recorder.HeadsKey, Value: heads},
		},
	}, heads, nil
}

// warnings adds to those of composer the keys that a rollback brings back.
func warnings(p *proposal, base composer.Config, changes []composer.Change) []string {
	out := composer.Warnings(base, p.config)
	if p.Kind != KindRollback {
		return out
	}
	for _, n := range composer.NewKeys(changes) {
		out = append(out, "key "+n+" of the earlier version is valid again")
	}
	return out
}

func lines(changes []composer.Change) []string {
	out := []string{}
	for i, c := range changes {
		if i == MaxChangeLines {
			return append(out, "and more; compare the configurations")
		}
		out = append(out, c.String())
	}
	return out
}

// found returns the earlier effect of p, and refuses an operation id whose earlier change differs from p.
func (o *Operator) found(ctx context.Context, p *proposal, s snapshot) (made, error) {
	audit := recorder.AuditKey(s.madeVersion)
	rows, err := o.read(ctx, slices.Concat(keysOf(s.madeVersion), keysOf(s.heads.ConfigVersion), []string{audit})...)
	if err != nil {
		return made{}, merry.Wrap(ErrOutcomeUnknown, merry.WithCause(err))
	}
	a, err := recorder.DecodeAudit(rows[audit].Value)
	if err != nil {
		return made{}, err
	}
	v, err := versionIn(rows, s.madeVersion)
	if err != nil {
		return made{}, err
	}
	same := v != nil && v.digest() == p.tree.Manifest.TextDigest && a.BaseVersion == p.BaseVersion && a.Operator == p.Operator
	if !same {
		return made{}, merry.Wrap(ErrOperationReused)
	}
	text, err := o.newest(ctx, p, rows, s.heads.ConfigVersion)
	if err != nil {
		return made{}, err
	}
	return made{version: s.madeVersion, newest: Commit{Heads: s.row, ConfigVersion: s.heads.ConfigVersion, Text: text}}, nil
}

// newest returns the text of a version that is at least as new as p. Errors: recorder.ErrCorrupt, ErrOutcomeUnknown.
func (o *Operator) newest(ctx context.Context, p *proposal, rows map[string]storer.Row, number uint64) ([]byte, error) {
	v, err := versionIn(rows, number)
	switch {
	case err != nil:
		return nil, err
	case v == nil:
		return nil, merry.Append(recorder.ErrCorrupt, "no text of the newest version")
	case v.digest() == p.tree.Manifest.TextDigest:
		return p.tree.Text, nil
	}
	t, err := o.tree(ctx, v)
	if errors.Is(err, recorder.ErrCorrupt) {
		return nil, err
	}
	if err != nil {
		return nil, merry.Wrap(ErrOutcomeUnknown, merry.WithCause(err))
	}
	return t.Text, nil
}

func (o *Operator) conflict(ctx context.Context, version uint64) error {
	c := &Conflict{Version: version}
	rows, err := o.read(ctx, recorder.AuditKey(version))
	if err != nil {
		return merry.Wrap(c)
	}
	a, err := recorder.DecodeAudit(rows[recorder.AuditKey(version)].Value)
	if err != nil {
		return merry.Wrap(c)
	}
	c.Operator, c.Reason, c.Time = a.Operator, a.Reason, a.Time
	return merry.Wrap(c)
}

func (o *Operator) try(ctx context.Context, t storer.Txn) (storer.Result, error) {
	call, cancel := context.WithTimeout(ctx, o.config.Timeout)
	defer cancel()
	return o.config.Store.Commit(call, t)
}

// pause waits before attempt i, for half to three halves of the backoff, so that operators who race part.
func (o *Operator) pause(ctx context.Context, i int) error {
	mean := o.config.Backoff
	for range i - 1 {
		mean = min(2*mean, maxBackoff)
	}
	// The jitter protects nothing, so a predictable source is enough.
	jitter := rand.Int64N(int64(mean) + 1) //nolint:gosec // not a secret
	return timer.Sleep(ctx, mean/2+time.Duration(jitter))
}
